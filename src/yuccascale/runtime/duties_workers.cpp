#include "yuccascale/runtime/duties_workers.hpp"

#include <utility>

namespace yuccascale::runtime {

duties_workers::duties_workers(std::size_t threads, std::shared_ptr<worker_threads> shared)
    : m_pool(threads, std::move(shared))
{ }

duties_workers::~duties_workers()
{
    m_stopped = true;
    m_pool.shutdown();
}

void duties_workers::run(job newJob)
{
    m_pool.run([this, next = std::move(newJob)] {
        if (m_stopped)
            return;
        completion done = next();
        if (!done)
            return;
        const std::scoped_lock guard(m_mutex);
        m_completions.push_back(std::move(done));
    });
}

std::vector<duties_workers::completion> duties_workers::takeCompletions()
{
    const std::scoped_lock guard(m_mutex);
    return std::exchange(m_completions, {});
}

} // namespace yuccascale::runtime
