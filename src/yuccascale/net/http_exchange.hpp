#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/net/event_loops.hpp"
#include "yuccascale/net/http_message.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

/// \file
/// \brief One request of a caller and its answer.

namespace yuccascale::net {

/// \brief A request that waits for its answer. All calls are made on its connection's loop.
///
/// Calls after the answer has ended, or after the caller has disconnected, do nothing.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    /// \returns the request; its parts may be moved out.
    [[nodiscard]] virtual http_request &request() noexcept = 0;

    /// \returns the loop on which every call is made.
    [[nodiscard]] virtual io_context &loop() noexcept = 0;

    /// \returns the listening address that received the request.
    [[nodiscard]] virtual const std::string &listener() const noexcept = 0;

    /// \returns how long the end of the request had lain unread when it was read, as far as the
    ///          system tells; zero when it does not.
    [[nodiscard]] virtual kernel::nanoseconds unreadTime() const noexcept = 0;

    /// \brief Sends a whole answer.
    virtual void reply(http_reply answer) = 0;

    /// \brief Starts an answer that is sent in pieces.
    virtual void begin(int status, const header_list &headers) = 0;

    /// \brief Sends a piece of an answer that was begun.
    virtual void send(std::string_view bytes) = 0;

    /// \brief Ends an answer that was begun.
    virtual void finish() = 0;

    /// \brief Closes the connection, so that the answer does not look complete.
    virtual void abort() = 0;

    /// \brief Sets what runs once when the caller disconnects before the answer has ended.
    virtual void onCallerDisconnected(std::function<void()> action) = 0;

    /// \brief Counts further bytes that are held for the request, until the exchange is destroyed.
    /// \returns false when they do not fit into the process's memory: refuse the request then.
    [[nodiscard]] virtual bool holdRequest(std::size_t bytes) = 0;

    /// \brief Counts the bytes of an answer that are held until they can be sent. When they do not
    ///        fit into the process's memory the caller is disconnected, as it would have itself.
    virtual void holdAnswer(std::size_t bytes) = 0;

    /// \brief Reads what has arrived from the caller, so that the action above runs now if the
    /// caller has disconnected. On a loop that is late its own read may come much later.
    virtual void checkCaller() = 0;
};

using http_handler = std::function<void(const std::shared_ptr<http_exchange> &)>;

} // namespace yuccascale::net
