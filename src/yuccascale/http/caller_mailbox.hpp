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
/// \brief Where other loops and threads leave what happened to a request.

namespace yuccascale::http {

/// \brief Hands the events of one request to its loop, in order. put() is thread-safe.
class caller_mailbox : public std::enable_shared_from_this<caller_mailbox>
{
public:
    using letter = std::variant<kernel::requests::event, kernel::requests::endpoint_assignment>;
    using reader = std::function<void(letter)>;

    caller_mailbox(net::io_context &loop, reader take)
        : m_loop(loop)
        , m_take(std::move(take))
    { }

    void put(letter content)
    {
        boost::asio::post(m_loop,
                          [self = shared_from_this(), content = std::move(content)]() mutable {
                              if (self->m_take)
                                  self->m_take(std::move(content));
                          });
    }

    /// \brief Drops what comes from now on. On the loop only.
    void close() { m_take = nullptr; }

private:
    net::io_context &m_loop;
    reader m_take;
};

} // namespace yuccascale::http
