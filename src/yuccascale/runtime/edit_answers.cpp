#include "yuccascale/runtime/edit_answers.hpp"

#include "yuccascale/runtime/events.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace yuccascale::runtime {

using kernel::instant;
using kernel::milliseconds;

edit_answers::edit_answers(kernel::clock &clock, kernel::event_sink &events, hooks hooks)
    : m_clock(clock)
    , m_events(events)
    , m_hooks(std::move(hooks))
{ }

edit_answers::~edit_answers()
{
    stop();
}

void edit_answers::add(committed_edit edit)
{
    const held_edit held{std::move(edit), m_clock.now(), m_hooks.slowest()};
    if (!hold(held))
        return finish(held, false);
    m_changed.notify_all();
    check();
}

/// \returns false when no more edits are held.
bool edit_answers::hold(const held_edit &held)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopped)
        return false;
    m_held.push_back(held);
    if (!m_thread.joinable())
        m_thread = std::thread([this] { run(); });
    return true;
}

void edit_answers::check()
{
    if (!newest())
        return;
    const std::uint64_t settled = m_hooks.settled();
    const instant now = m_clock.now();
    const auto isSettled = [&](const held_edit &held) {
        return held.edit.revision <= settled || held.edit.settledBy <= now;
    };
    std::vector<held_edit> done;
    {
        const std::lock_guard lock(m_mutex);
        const auto ended = std::partition(m_held.begin(), m_held.end(), [&](const held_edit &held) {
            return !isSettled(held) && now < std::min(held.edit.deadline, m_end);
        });
        std::move(ended, m_held.end(), std::back_inserter(done));
        m_held.erase(ended, m_held.end());
        ++m_checks;
    }
    for (const held_edit &held : done)
        finish(held, isSettled(held));
    {
        const std::lock_guard lock(m_mutex);
        --m_checks;
    }
    m_changed.notify_all();
}

std::optional<instant> edit_answers::newest() const
{
    const std::lock_guard lock(m_mutex);
    const auto found = std::ranges::max_element(m_held, {}, &held_edit::since);
    if (found == m_held.end())
        return std::nullopt;
    return found->since;
}

void edit_answers::answerBefore(instant end)
{
    {
        const std::lock_guard lock(m_mutex);
        m_end = end;
    }
    m_changed.notify_all();
}

void edit_answers::stop()
{
    std::vector<held_edit> givenUp;
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
        givenUp = std::exchange(m_held, {});
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
    for (const held_edit &held : givenUp)
        finish(held, false);
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_checks == 0; });
}

/// Requires m_mutex to be held.
instant edit_answers::nextEnd() const
{
    instant next = m_held.empty() ? instant::max() : m_end;
    for (const held_edit &held : m_held)
        next = std::min({next, held.edit.settledBy, held.edit.deadline});
    return next;
}

void edit_answers::run()
{
    constexpr kernel::seconds longestSleep{3'600};
    std::unique_lock lock(m_mutex);
    while (!m_stopped) {
        const instant now = m_clock.now();
        const instant next = std::min(nextEnd(), now + longestSleep);
        if (now < next) {
            m_changed.wait_for(lock, next - now);
            continue;
        }
        lock.unlock();
        check();
        lock.lock();
    }
}

void edit_answers::finish(const held_edit &held, bool settled)
{
    const auto waited
            = std::chrono::duration_cast<milliseconds>(m_clock.now() - held.since).count();
    m_events.record(editSettled,
                    {{"revision", held.edit.revision},
                     {"outcome", settled ? "settled" : "given up"},
                     {"waited_ms", waited},
                     {"slowest", held.slowest}});
    held.edit.answer(settled);
}

} // namespace yuccascale::runtime
