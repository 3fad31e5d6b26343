#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/error.hpp"

#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

/// \file
/// \brief Interface for messages between nodes.

namespace yuccascale::kernel {

/// \brief Purpose of a message; a node has one handler for each channel.
enum class channel : std::uint8_t {
    Consensus = 1, ///< log replication and elections
    Submit = 2,    ///< a command for the leader
    Feed = 3,      ///< tables in force and the freshness lease
    Load = 4,      ///< costs that entries charged to organisations
    Demand = 5,    ///< demand on the pools, sent to the leader
    Streams = 6,   ///< which endpoints began a stream, between entries
};

/// \brief How long to wait for the reply of a call.
struct call_timeout
{
    /// \brief Waits for the whole time, whether bytes of the reply arrive or not.
    template<typename Rep, typename Period>
    call_timeout(std::chrono::duration<Rep, Period> time)
        : total(time)
        , silent(time)
    { }

    /// \param silentTime ends the call earlier when nothing arrives from the peer for so long; for
    ///        replies that may be long
    call_timeout(nanoseconds time, nanoseconds silentTime)
        : total(time)
        , silent(silentTime)
    { }

    nanoseconds total;
    nanoseconds silent;
};

/// \brief Sends to other nodes. Thread-safe.
class transport
{
public:
    /// \param peer authenticated name of the node that sent the message
    /// \returns the reply; ignored for post()
    using handler = std::function<std::string(std::string_view peer, std::string_view payload)>;

    /// Passes the reply of a message on, once, from any thread.
    using reply_function = std::function<void(std::string reply)>;

    /// Returns at once and calls \a reply later.
    using later_handler = std::function<void(std::string_view peer, std::string_view payload,
                                             reply_function reply)>;

    virtual ~transport() = default;

    /// \brief Sets the handler of a channel. Must be called before the transport is started. The
    ///        handler of channel::Consensus must not wait for anything.
    virtual void handle(channel channel, handler handler) = 0;

    /// \brief As handle(), for replies that take long: no thread waits for them.
    virtual void handleLater(channel channel, later_handler handler)
    {
        handle(channel,
               [waited = std::move(handler)](std::string_view peer, std::string_view payload) {
                   const auto answer = std::make_shared<std::promise<std::string>>();
                   waited(peer, payload,
                          [answer](std::string reply) { answer->set_value(std::move(reply)); });
                   return answer->get_future().get();
               });
    }

    /// \brief Sends without a reply. The message may be lost, and is dropped when the send queue is
    /// full.
    virtual void post(std::string_view node, channel channel, std::string payload) = 0;

    /// \brief Sends and waits for the reply.
    /// \returns error_kind::Unavailable when the message was certainly not sent,
    /// error_kind::OutcomeUnknown when it was sent and no reply came in time.
    [[nodiscard]] virtual result<std::string> call(std::string_view node, channel channel,
                                                   std::string payload, call_timeout timeout)
            = 0;

    /// \returns a number that grows with the bytes that arrive as replies of \a node on \a channel.
    [[nodiscard]] virtual std::uint64_t bytesReceived(std::string_view node, channel channel) const
    {
        static_cast<void>(node);
        static_cast<void>(channel);
        return 0;
    }
};

} // namespace yuccascale::kernel
