#pragma once

#include "yuccascale/kernel/requests/pool_scheduler.hpp"
#include "yuccascale/kernel/requests/request_actions.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <variant>

/// \file
/// \brief Where other threads leave what happened to a request.

namespace yuccascale::http {

/// \brief Events of one request, in order. Thread-safe.
class caller_mailbox
{
public:
    using letter = std::variant<kernel::requests::event, kernel::requests::scheduled_turn>;

    void put(letter content)
    {
        {
            const std::scoped_lock guard(m_mutex);
            m_letters.push_back(std::move(content));
        }
        m_arrived.notify_one();
    }

    /// \returns the oldest; nothing when none came within \a patience.
    [[nodiscard]] std::optional<letter> take(kernel::nanoseconds patience)
    {
        std::unique_lock guard(m_mutex);
        m_arrived.wait_for(guard, patience, [this] { return !m_letters.empty(); });
        if (m_letters.empty())
            return std::nullopt;
        letter first = std::move(m_letters.front());
        m_letters.pop_front();
        return first;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::deque<letter> m_letters;
};

} // namespace yuccascale::http
