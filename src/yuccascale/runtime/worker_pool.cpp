#include "yuccascale/runtime/worker_pool.hpp"

#include <utility>

namespace yuccascale::runtime {

worker_pool::worker_pool(std::size_t maxThreads, std::shared_ptr<worker_threads> shared)
    : m_maxThreads(maxThreads)
    , m_threads(shared ? std::move(shared) : std::make_shared<worker_threads>(maxThreads))
{ }

worker_pool::~worker_pool()
{
    shutdown();
}

void worker_pool::run(task work)
{
    const std::scoped_lock guard(m_mutex);
    if (m_stopping)
        return;
    if (!m_lane)
        m_lane = m_threads->open(m_maxThreads);
    m_threads->run(*m_lane, std::move(work));
}

void worker_pool::shutdown()
{
    std::shared_ptr<worker_threads::lane> opened;
    {
        const std::scoped_lock guard(m_mutex);
        m_stopping = true;
        opened = m_lane;
    }
    if (opened)
        m_threads->close(opened);
}

std::size_t worker_pool::load() const
{
    const std::scoped_lock guard(m_mutex);
    return m_lane ? m_threads->load(*m_lane) : 0;
}

} // namespace yuccascale::runtime
