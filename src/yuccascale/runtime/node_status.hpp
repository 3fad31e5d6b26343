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
/// \brief The node state that `yuccascale status` and `yuccascale explain` show.

namespace yuccascale::runtime {

/// \brief The state of a node at one moment.
struct node_snapshot
{
    const runtime::settings *settings = nullptr;
    kernel::instant now{};
    kernel::control_view view;
    std::vector<kernel::feed::node_report> nodes;      ///< those that poll this node, and itself
    std::vector<kernel::feed::node_report> knownNodes; ///< all running ones, from the leader
    std::optional<replicated_log_status> replica;      ///< empty without the control role
    std::optional<kernel::leadership> authority;
    const wire::transport_counters *links = nullptr;
};

/// \returns the leader, the revision in force and the degraded states, each with its remedy.
[[nodiscard]] kernel::json nodeStatus(const node_snapshot &snapshot);

/// \returns the recent events of this node that name \a id, and the ledger's record when \a id is
///          that of an order.
/// \param control null on nodes without the control role
[[nodiscard]] kernel::json explainId(const recent_events &events, const control_service *control,
                                     std::string_view id);

} // namespace yuccascale::runtime
