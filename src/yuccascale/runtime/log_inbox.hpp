#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/consensus/messages.hpp"
#include "yuccascale/kernel/error.hpp"
#include "yuccascale/runtime/log_request.hpp"

#include <condition_variable>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief What waits for the thread of the replicated log.

namespace yuccascale::runtime {

/// \brief Bounded queues that any thread fills and the log's thread empties. Closed at first.
class log_inbox
{
public:
    struct content
    {
        std::vector<kernel::consensus::message> messages; ///< of other replicas
        std::vector<log_request_pointer> proposals;
        std::vector<log_request_pointer> reads;

        [[nodiscard]] bool empty() const noexcept
        {
            return messages.empty() && proposals.empty() && reads.empty();
        }
    };

    /// \param replica named in errors
    explicit log_inbox(std::string replica)
        : m_replica(std::move(replica))
    { }

    /// \brief Accepts messages and requests from now on, unless stop() was called.
    void open();

    /// \brief Refuses messages and requests until the next open().
    /// \returns what was not taken.
    [[nodiscard]] content close();

    /// \brief Refuses messages and requests and wakes the log's thread, which is to end.
    void stop();

    /// \brief Adds a message; it is dropped when the inbox is closed or full.
    void addMessage(kernel::consensus::message received);

    /// \returns error_kind::Unavailable when closed, error_kind::Overloaded when full.
    [[nodiscard]] kernel::result<void> addProposal(log_request_pointer proposal);

    /// \returns error_kind::Unavailable when closed, error_kind::Overloaded when full.
    [[nodiscard]] kernel::result<void> addRead(log_request_pointer read);

    /// \brief Waits at most \a timeout for something to arrive, and takes everything.
    /// \returns false once the inbox is closed or stopped.
    [[nodiscard]] bool take(content &taken, kernel::nanoseconds timeout);

    /// \returns true when stop() was called before the end of \a timeout.
    [[nodiscard]] bool waitForStop(kernel::nanoseconds timeout);

private:
    [[nodiscard]] kernel::result<void> addRequest(std::vector<log_request_pointer> content::*queue,
                                                  log_request_pointer request);

    std::string m_replica;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    content m_content;
    bool m_open = false;
    bool m_stopped = false;
};

} // namespace yuccascale::runtime
