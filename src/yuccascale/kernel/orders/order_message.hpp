#pragma once

#include "yuccascale/kernel/state/order_ledger.hpp"

#include <string>

/// \file
/// \brief Builds an order's message from its log record alone, so that every leader sends the same
/// bytes.

namespace yuccascale::kernel::orders {

/// \brief The HTTP request of an order.
struct order_message
{
    std::uint64_t orderId = 0;
    std::string address; ///< IP:port of the engine; empty: the platform
    std::string method;
    std::string path;
    std::string body; ///< JSON text, or empty

    [[nodiscard]] bool operator==(const order_message &) const = default;
};

/// \returns true when the order goes to the platform and not to the engine itself.
[[nodiscard]] bool goesToPlatform(state::order_kind kind) noexcept;

/// \returns the name of \a kind on the wire, such as "change_role".
[[nodiscard]] std::string orderKindName(state::order_kind kind);

/// \returns the target of an order to start an endpoint: "platform/ZONE/KIND".
[[nodiscard]] std::string startTarget(const std::string &zone, const std::string &kind);

/// \returns the message of \a order.
[[nodiscard]] order_message messageOf(const state::order_record &order);

} // namespace yuccascale::kernel::orders
