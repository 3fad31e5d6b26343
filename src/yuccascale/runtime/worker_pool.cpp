#include "yuccascale/runtime/worker_pool.hpp"

#include <utility>

namespace yuccascale::runtime {

worker_pool::worker_pool(thread_share share, std::shared_ptr<worker_threads> shared)
    : m_threads(shared ? std::move(shared) : std::make_shared<worker_threads>(share.most))
    , m_lane(m_threads->open(share))
{ }

worker_pool::~worker_pool()
{
    shutdown();
}

void worker_pool::run(task work)
{
    m_threads->run(*m_lane, std::move(work));
}

void worker_pool::shutdown()
{
    m_threads->close(m_lane);
}

std::size_t worker_pool::load() const
{
    return m_threads->load(*m_lane);
}

} // namespace yuccascale::runtime
