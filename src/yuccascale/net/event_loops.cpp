#include "yuccascale/net/event_loops.hpp"

#include <algorithm>
#include <exception>
#include <utility>

namespace yuccascale::net {

event_loops::event_loops(std::size_t count,
                         std::function<void(const std::string &problem)> onException)
    : m_onException(std::move(onException))
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
        m_threads.emplace_back([this, &context = *context] { run(context); });
}

void event_loops::run(io_context &context) const
{
    while (true) {
        try {
            context.run();
            return;
        } catch (const std::exception &problem) {
            if (!m_onException)
                throw;
            m_onException(problem.what());
        }
    }
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
