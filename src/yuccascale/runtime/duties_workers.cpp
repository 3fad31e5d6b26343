#include "yuccascale/runtime/duties_workers.hpp"

#include <utility>

namespace yuccascale::runtime {

duties_workers::duties_workers(std::size_t threads)
{
    for (std::size_t number = 0; number < threads; ++number)
        m_threads.emplace_back([this] { runJobs(); });
}

duties_workers::~duties_workers()
{
    {
        const std::scoped_lock guard(m_mutex);
        m_stopped = true;
    }
    m_wake.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
}

void duties_workers::run(job newJob)
{
    {
        const std::scoped_lock guard(m_mutex);
        m_jobs.push_back(std::move(newJob));
    }
    m_wake.notify_one();
}

std::vector<duties_workers::completion> duties_workers::takeCompletions()
{
    const std::scoped_lock guard(m_mutex);
    return std::exchange(m_completions, {});
}

void duties_workers::runJobs()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_stopped || !m_jobs.empty(); });
        if (m_stopped)
            return;
        const job next = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        completion done = next();
        lock.lock();
        if (done)
            m_completions.push_back(std::move(done));
    }
}

} // namespace yuccascale::runtime
