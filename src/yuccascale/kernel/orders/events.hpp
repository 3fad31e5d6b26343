#pragma once

#include "yuccascale/kernel/events.hpp"

/// \file
/// \brief Events 4000 to 4099: orders to engines and to the platform.

namespace yuccascale::kernel::orders {

inline const event_kind orderTakenUp{4001, "order_taken_up", severity::Info,
                                     "The leader started to process an open order of the log; "
                                     "'inherited' says whether an earlier leader wrote it."};
inline const event_kind orderSent{4002, "order_sent", severity::Info,
                                  "An order is being sent to its target."};
inline const event_kind orderAnswerLost{
        4003, "order_answer_lost", severity::Warning,
        "The target did not answer an order in time; it will be "
        "queried for the outcome. Nothing to do unless it repeats."};
inline const event_kind orderOutcome{4004, "order_outcome", severity::Info,
                                     "An order's outcome is known and will be written to the log."};
inline const event_kind orderAbandoned{4005, "order_abandoned", severity::Warning,
                                       "An order was given up without effect or with an unknown "
                                       "outcome; 'detail' says which and what to do."};
inline const event_kind orderWaitsForDrain{
        4006, "order_waits_for_drain", severity::Info,
        "An order is held back until its endpoint runs no request."};
inline const event_kind fetchHeld{4007, "fetch_held", severity::Info,
                                  "The weight store refused a fetch; fetches are held until "
                                  "the given time, which is kept in the log so that a new "
                                  "leader holds them too."};
inline const event_kind ordersSuspended{4008, "orders_suspended", severity::Warning,
                                        "This node lost its authority and sends no more orders; "
                                        "open orders stay in the log for the next leader."};

inline const event_kind orderDecided{
        4009, "order_decided", severity::Info,
        "A policy decided on an order; it will be proposed to the log."};
inline const event_kind endpointLeaving{4010, "endpoint_leaving", severity::Info,
                                        "The platform's VM list marks an endpoint's VM as leaving; "
                                        "the endpoint gets no new requests."};
inline const event_kind commandRefused{
        4011, "duty_command_refused", severity::Warning,
        "A command of the leader's background tasks was not accepted by the log; "
        "'message' names the remedy."};
inline const event_kind platformSilent{4012, "platform_silent", severity::Warning,
                                       "An interface of the platform did not answer; check its "
                                       "address in the settings."};
inline const event_kind listEntryIgnored{
        4019, "list_entry_ignored", severity::Warning,
        "An entry of the platform's list names no endpoint and is left out; the others hold. Check "
        "who wrote it."};
inline const event_kind countOrdered{4014, "count_ordered", severity::Info,
                                     "A number of cheap or steady endpoints was ordered in an "
                                     "availability zone, for 'reason'; the outcome says whether "
                                     "the platform has them. With policy.capacity follow_demand, "
                                     "capacity_planned has the figures."};
inline const event_kind capacityPlanned{
        4015, "capacity_planned", severity::Info,
        "The work that a pool's orders rest on, at most each 5 s: 'peak', 'mean' and 'steady' in "
        "engines (busiest second, mean, and what only steady endpoints may run), the entries that "
        "report, the prefill rate of an engine, shares of requests that are late, rejected by "
        "endpoints or waiting, planned and serving endpoints of both kinds. 'held' says why none "
        "is given back."};
inline const event_kind platformHeard{
        4013, "platform_heard", severity::Info,
        "An interface of the platform answers again after a failure."};

} // namespace yuccascale::kernel::orders
