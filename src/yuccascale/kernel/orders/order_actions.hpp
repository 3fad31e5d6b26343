#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/orders/order_message.hpp"
#include "yuccascale/kernel/state/commands.hpp"

#include <cstdint>
#include <string>
#include <variant>

/// \file
/// \brief What the order driver asks its owner to do. Each answer is handed back by its ticket.

namespace yuccascale::kernel::orders {

/// \brief Ask the target what became of the order.
struct query_order
{
    std::uint64_t ticket = 0;
    std::uint64_t orderId = 0;
    std::string address; ///< empty: the platform
};

/// \brief Read what the endpoint runs now.
struct inspect_target
{
    std::uint64_t ticket = 0;
    std::uint64_t orderId = 0;
    std::string address;
};

/// \brief Ask the weight store to bring a model to the endpoint.
struct fetch_weights
{
    std::uint64_t ticket = 0;
    std::uint64_t fence = 0; ///< of the asking leader
    instant decidedAt{};
    std::uint64_t orderId = 0;
    std::string model;
    std::string endpoint;
};

/// \brief Send these bytes, if the authority with this fence still holds at the first byte.
struct send_order
{
    std::uint64_t ticket = 0;
    std::uint64_t fence = 0; ///< of the sending leader
    instant decidedAt{};
    order_message message;
};

/// \brief Commit this command.
struct submit_command
{
    std::uint64_t ticket = 0;
    state::command command;
};

using order_action
        = std::variant<query_order, inspect_target, fetch_weights, send_order, submit_command>;

} // namespace yuccascale::kernel::orders
