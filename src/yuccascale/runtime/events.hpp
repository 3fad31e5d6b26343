#pragma once

#include "yuccascale/kernel/events.hpp"

/// \file
/// \brief Events of the node: 1000 to 1999.

namespace yuccascale::runtime {

using kernel::event_kind;
using kernel::severity;

inline const event_kind nodeStarted{1001, "node_started", severity::Info,
                                    "The node listens on its addresses."};
inline const event_kind nodeLeaving{
        1002, "node_leaving", severity::Info,
        "A graceful shutdown began: the node left the addresses and finishes what runs."};
inline const event_kind nodeStopped{1003, "node_stopped", severity::Info,
                                    "The node has finished and exits."};
inline const event_kind settingsReloaded{
        1004, "settings_reloaded", severity::Info,
        "The settings file was read again; a refused one changes nothing and names its problems."};
inline const event_kind revisionInForce{1010, "revision_in_force", severity::Info,
                                        "A newer revision of the tables came in force here."};
inline const event_kind freshnessLost{
        1011, "freshness_lost", severity::Warning,
        "No leader confirmed the tables in time: keyed requests are refused as not run until one "
        "does. Check the control nodes and the network."};
inline const event_kind freshnessGained{
        1012, "freshness_gained", severity::Info,
        "The tables are confirmed again: keyed requests are served."};
inline const event_kind badMessage{
        1020, "bad_message", severity::Warning,
        "A node sent a message that this version cannot read; it was dropped. Upgrade the older "
        "node."};

inline const event_kind linesDropped{
        1030, "lines_dropped", severity::Warning,
        "So many log lines were dropped because nobody read them in time."};

} // namespace yuccascale::runtime
