#pragma once

#include "yuccascale/kernel/events.hpp"

/// \file
/// \brief Events of the node: 1000 to 1999.

namespace yuccascale::runtime {

using kernel::event_kind;
using kernel::severity;

inline const event_kind nodeStarted{1001, "node_started", severity::Info,
                                    "The node started and listens on its addresses."};
inline const event_kind nodeLeaving{
        1002, "node_leaving", severity::Info,
        "A graceful shutdown began: the node is withdrawn from the address list and finishes the "
        "requests in flight."};
inline const event_kind nodeStopped{1003, "node_stopped", severity::Info,
                                    "The shutdown is complete; the process exits."};
inline const event_kind settingsReloaded{
        1004, "settings_reloaded", severity::Info,
        "The settings file was read again. When it is refused, the old settings stay in force and "
        "the field 'problem' lists its errors."};
inline const event_kind revisionInForce{
        1010, "revision_in_force", severity::Info,
        "A newer revision of the tables or of the endpoint list is in force on this node. 'keys' "
        "are valid; requests to 'open_routes' need none."};
inline const event_kind freshnessLost{
        1011, "freshness_lost", severity::Warning,
        "No leader confirmed the tables within the freshness time: keyed requests are refused as "
        "not run until one does. Check the control nodes and the network."};
inline const event_kind freshnessGained{
        1012, "freshness_gained", severity::Info,
        "A leader has confirmed the tables: keyed requests are served."};
inline const event_kind feedLoad{
        1013, "feed_load", severity::Info,
        "This node has sent tables or endpoints to other nodes since its last such line. 'replies' "
        "counts all replies to polls, 'with_tables' those that held tables, 'tables_encoded' how "
        "often tables were encoded for them, 'peers' the nodes that poll this one, "
        "'endpoint_lists' and 'node_lists' the replies with a whole list, 'endpoint_changes' and "
        "'node_changes' those with changes only."};
inline const event_kind feedPolled{1014, "feed_polled", severity::Info,
                                   "A poll of a control node had another outcome than the one "
                                   "before. 'behind': its tables were confirmed "
                                   "'lag_ms' before the answer, too long ago, or it holds an older "
                                   "revision, and another node is "
                                   "asked; 'unanswered': it was given up after 'took_ms'."};
inline const event_kind endpointListOld{
        1031, "endpoint_list_old", severity::Warning,
        "The platform was asked for this node's list of endpoints longer ago than "
        "promises.drain_notice: a draining endpoint may still be taken for a ready one. Requests "
        "are served; those that run once go to endpoints that were heard from, while one has room. "
        "Check the control nodes and their path to the platform. 'age_ms' -1: not known."};
inline const event_kind endpointListRenewed{1032, "endpoint_list_renewed", severity::Info,
                                            "The list of endpoints is young enough again."};
inline const event_kind endpointListReadByFollower{
        1033, "endpoint_list_read_by_follower", severity::Info,
        "This control node does not lead and has read the list of endpoints itself, since the "
        "platform was last asked for its copy 'age_ms' ago."};
inline const event_kind badMessage{1020, "bad_message", severity::Warning,
                                   "A message from another node could not be decoded and was "
                                   "dropped. Upgrade the older of the two nodes."};

inline const event_kind linkFramesDropped{
        1024, "link_frames_dropped", severity::Warning,
        "Messages to other nodes were dropped because the send queue of a link was full: 'frames' "
        "since the last such line, the last of them to 'peer' on 'channel'. That node or the path "
        "to it is too slow. Such messages are sent again or replaced by later ones."};

inline const event_kind unexpectedException{1021, "unexpected_exception", severity::Error,
                                            "Work on a request failed in a way that the program "
                                            "does not foresee; the request ends by its "
                                            "timeout. Report this line."};
inline const event_kind editSettled{
        1022, "edit_settled", severity::Info,
        "An edit's answer was put off after its commit until no node could use older tables for "
        "longer than promised, for 'waited_ms'; 'slowest' is the node that was behind when the "
        "wait "
        "began, as far as known. 'given up': the node stops; the operator is told to send it "
        "again."};
inline const event_kind oldTablesUsed{
        1023, "old_tables_used", severity::Info,
        "A request was admitted by tables that were confirmed 'tables_age_ms' before, longer ago "
        "than "
        "an edit takes to be in force everywhere. It is right as long as no edit was acknowledged "
        "since 'revision': compare edit_settled. Many of them: the entry is cut off."};
inline const event_kind linesDropped{1030, "lines_dropped", severity::Warning,
                                     "Log lines were dropped because the log's reader was too slow "
                                     "or its disk was full; the field 'count' says how "
                                     "many."};

} // namespace yuccascale::runtime
