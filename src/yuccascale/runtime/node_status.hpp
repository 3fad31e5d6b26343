#pragma once

#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"
#include "yuccascale/kernel/leadership.hpp"
#include "yuccascale/runtime/control_service.hpp"
#include "yuccascale/runtime/decision_memory.hpp"
#include "yuccascale/runtime/replicated_log.hpp"
#include "yuccascale/wire/tcp_transport.hpp"

#include <optional>
#include <string_view>
#include <vector>

/// \file
/// \brief What `yuccascale status` and `yuccascale explain` show of a node.

namespace yuccascale::runtime {

/// \brief One reading of a node's state.
struct node_snapshot
{
    const runtime::settings *settings = nullptr;
    kernel::instant now{};
    kernel::control_view view;
    std::vector<kernel::feed::node_report> nodes;      ///< those that ask here, and this node
    std::vector<kernel::feed::node_report> knownNodes; ///< all that run, as the leader told
    std::optional<replicated_log_status> replica;      ///< nothing without the control role
    std::optional<kernel::leadership> authority;
    const wire::transport_counters *links = nullptr;
};

/// \returns who leads, what is in force, what is degraded and what to do.
[[nodiscard]] kernel::json nodeStatus(const node_snapshot &snapshot);

/// \returns the recent events that name \a id here, and the ledger's story of an order.
/// \param control null on nodes without the control role
[[nodiscard]] kernel::json explainId(const recent_events &events, const control_service *control,
                                     std::string_view id);

} // namespace yuccascale::runtime
