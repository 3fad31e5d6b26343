#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/orders/order_message.hpp"
#include "yuccascale/kernel/state/commands.hpp"

#include <cstdint>
#include <string>
#include <variant>

/// \file
/// \brief Actions that the order driver returns for its owner to carry out. The owner returns each
/// result with the ticket of its action.

namespace yuccascale::kernel::orders {

/// \brief Query the target for the state of the order.
struct query_order
{
    std::uint64_t ticket = 0;
    std::uint64_t orderId = 0;
    std::string address; ///< empty: the platform
};

/// \brief Read the load report of the endpoint.
struct inspect_target
{
    std::uint64_t ticket = 0;
    std::uint64_t orderId = 0;
    std::string address;
};

/// \brief Ask the weight store to transfer a model to the endpoint.
struct fetch_weights
{
    std::uint64_t ticket = 0;
    std::uint64_t fence = 0; ///< of the requesting leader
    instant decidedAt{};
    std::uint64_t orderId = 0;
    std::string model;
    std::string endpoint;
};

/// \brief Send the message, if this node still has authority under this fence right before the
/// first byte.
struct send_order
{
    std::uint64_t ticket = 0;
    std::uint64_t fence = 0; ///< of the sending leader
    instant decidedAt{};
    order_message message;
};

/// \brief Commit the command to the log.
struct submit_command
{
    std::uint64_t ticket = 0;
    state::command command;
};

using order_action
        = std::variant<query_order, inspect_target, fetch_weights, send_order, submit_command>;

} // namespace yuccascale::kernel::orders
