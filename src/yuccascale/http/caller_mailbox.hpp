#pragma once

#include "yuccascale/kernel/requests/pool_scheduler.hpp"
#include "yuccascale/kernel/requests/request_actions.hpp"
#include "yuccascale/net/event_loops.hpp"

#include <boost/asio/post.hpp>

#include <functional>
#include <memory>
#include <utility>
#include <variant>

/// \file
/// \brief Passes messages from other loops and threads to a request.

namespace yuccascale::http {

/// \brief Delivers the messages of one request on its loop, in order. post() is thread-safe.
class caller_mailbox : public std::enable_shared_from_this<caller_mailbox>
{
public:
    using message = std::variant<kernel::requests::event, kernel::requests::endpoint_assignment>;
    using message_handler = std::function<void(message)>;

    caller_mailbox(net::io_context &loop, message_handler handler)
        : m_loop(loop)
        , m_handler(std::move(handler))
    { }

    void post(message content)
    {
        boost::asio::post(m_loop,
                          [self = shared_from_this(), content = std::move(content)]() mutable {
                              if (self->m_handler)
                                  self->m_handler(std::move(content));
                          });
    }

    /// \brief Discards all later messages. On the loop only.
    void close() { m_handler = nullptr; }

private:
    net::io_context &m_loop;
    message_handler m_handler;
};

} // namespace yuccascale::http
