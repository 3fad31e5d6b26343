#include "yuccascale/net/event_loops.hpp"

#include <algorithm>

namespace yuccascale::net {

event_loops::event_loops(std::size_t count)
{
    for (std::size_t index = 0; index < std::max<std::size_t>(count, 1); ++index) {
        m_contexts.push_back(std::make_unique<io_context>(1));
        m_guards.push_back(boost::asio::make_work_guard(*m_contexts.back()));
    }
}

event_loops::~event_loops()
{
    stop();
}

void event_loops::start()
{
    for (const auto &context : m_contexts)
        m_threads.emplace_back([&context = *context] { context.run(); });
}

void event_loops::stop()
{
    m_guards.clear();
    for (const auto &context : m_contexts)
        context->stop();
    for (std::thread &thread : m_threads)
        thread.join();
    m_threads.clear();
}

io_context &event_loops::next() noexcept
{
    return *m_contexts[m_next++ % m_contexts.size()];
}

} // namespace yuccascale::net
