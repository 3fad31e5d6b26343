#pragma once

#include "yuccascale/kernel/events.hpp"

/// \file
/// \brief Log events of consensus and leadership: numbers 3000 to 3999.

namespace yuccascale::kernel::consensus {

inline const event_kind electionStarted{
        3001, "election_started", severity::Info,
        "This replica got no message from a leader within the election timeout, so it requests "
        "votes; nothing to do unless it repeats."};
inline const event_kind leaderElected{3002, "leader_elected", severity::Info,
                                      "This replica won an election and leads the term; nothing "
                                      "to do."};
inline const event_kind leaderFollowed{3003, "leader_followed", severity::Info,
                                       "This replica follows another leader; nothing to do."};
inline const event_kind quorumLost{3004, "quorum_lost", severity::Warning,
                                   "This leader got no answer from a quorum within the election "
                                   "timeout and stepped down; check the "
                                   "network and the other control nodes."};
inline const event_kind leaderDeposed{3005, "leader_deposed", severity::Info,
                                      "This leader stepped down because a higher term exists; "
                                      "nothing to do."};
inline const event_kind clusterBootstrapped{
        3006, "cluster_bootstrapped", severity::Info,
        "All configured control nodes were empty, so this one started a new log; expected only at "
        "the first start of a cluster."};
inline const event_kind memberReplaced{3007, "member_replaced", severity::Warning,
                                       "A control node came back without its data and joins as a "
                                       "learner; keep the other control nodes up until it votes."};
inline const event_kind memberPromoted{3008, "member_promoted", severity::Info,
                                       "A learner caught up and becomes a voter; nothing to do."};
inline const event_kind snapshotSent{3009, "snapshot_sent", severity::Info,
                                     "A replica lacks log entries that were discarded already, so "
                                     "the leader sends it the snapshot; "
                                     "nothing to do."};
inline const event_kind snapshotInstalled{3010, "snapshot_installed", severity::Info,
                                          "This replica installed the leader's snapshot; nothing "
                                          "to do."};
inline const event_kind authorityGained{3011, "authority_gained", severity::Info,
                                        "This leader holds the lease and may give orders; nothing "
                                        "to do."};
inline const event_kind authorityLost{3012, "authority_lost", severity::Warning,
                                      "This node's lease ended and it gives no more orders; "
                                      "another leader is elected within seconds."};
inline const event_kind joinRefused{3013, "join_refused", severity::Warning,
                                    "A replica asked to join with an incarnation older than the "
                                    "one known for its name; stop the second process of that "
                                    "name, or correct its wall clock."};
inline const event_kind memberRemoved{
        3014, "member_removed", severity::Warning,
        "A replica did not answer and was not needed as a voter, so it was removed from the "
        "cluster; nothing to do unless it should still run."};
inline const event_kind tornTailDropped{3020, "torn_tail_dropped", severity::Warning,
                                        "The last write before the restart was incomplete and was "
                                        "dropped; it had not been acknowledged; nothing to do."};
inline const event_kind storeFailed{3021, "store_failed", severity::Error,
                                    "The data folder could not be written, so this replica stops "
                                    "voting until it can be written again; check the disk."};
inline const event_kind storeReopened{3024, "store_reopened", severity::Info,
                                      "The data folder can be written again, and this replica "
                                      "takes part in consensus again; nothing to do."};
inline const event_kind snapshotWritten{
        3022, "snapshot_written", severity::Info,
        "A snapshot of the state was saved and older log segments were removed; "
        "nothing to do."};
inline const event_kind logSetAside{3025, "log_set_aside", severity::Error,
                                    "The files of this replica's log could not be read; they were "
                                    "renamed to damaged-*, and the "
                                    "replica joins the others as a new member. Check the disk; "
                                    "remove the files once the status is "
                                    "no longer degraded."};
inline const event_kind logOpened{
        3026, "log_opened", severity::Info,
        "The replica has read its log and takes part; 'entries' follow the snapshot at 'snapshot', "
        "'took_ms' is the time since it began to read."};
inline const event_kind votersAwaited{3027, "voters_awaited", severity::Warning,
                                      "This candidate gets no answer from these voters. Start "
                                      "them, or repair their network, if a "
                                      "quorum of the others is not enough."};
inline const event_kind messageRefused{3023, "consensus_message_refused", severity::Warning,
                                       "A consensus message was malformed or named a wrong sender "
                                       "and was dropped; check the versions of the nodes."};

} // namespace yuccascale::kernel::consensus
