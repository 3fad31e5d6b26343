#include "yuccascale/runtime/periodic_task.hpp"

#include <utility>

namespace yuccascale::runtime {

periodic_task::periodic_task(kernel::milliseconds interval, std::function<void()> work,
                             std::shared_ptr<periodic_thread> shared)
    : m_thread(shared ? std::move(shared) : std::make_shared<periodic_thread>())
    , m_task{interval, std::move(work)}
{ }

periodic_task::~periodic_task()
{
    stop();
}

void periodic_task::start()
{
    m_thread->add(m_task);
}

void periodic_task::runSoon()
{
    m_thread->runSoon(m_task);
}

void periodic_task::runAgainAfter(kernel::milliseconds delay)
{
    m_thread->runAgainAfter(m_task, delay);
}

void periodic_task::stop()
{
    m_thread->remove(m_task);
}

} // namespace yuccascale::runtime
