#pragma once

#include "yuccascale/kernel/events.hpp"

/// \file
/// \brief Events 4000 to 4099: orders to engines and to the platform.

namespace yuccascale::kernel::orders {

inline const event_kind orderTakenUp{4001, "order_taken_up", severity::Info,
                                     "The leader works on an order that the log holds open; "
                                     "inherited tells whether an earlier leader wrote it."};
inline const event_kind orderSent{4002, "order_sent", severity::Info,
                                  "An order's bytes go to its target."};
inline const event_kind orderAnswerLost{4003, "order_answer_lost", severity::Warning,
                                        "No answer to an order came in time; the target is asked "
                                        "for the outcome. Nothing to do unless it repeats."};
inline const event_kind orderOutcome{4004, "order_outcome", severity::Info,
                                     "An order's outcome is known and goes into the log."};
inline const event_kind orderAbandoned{4005, "order_abandoned", severity::Warning,
                                       "An order ends without effect or with an unknown outcome; "
                                       "detail tells which and what to do."};
inline const event_kind orderWaitsForDrain{4006, "order_waits_for_drain", severity::Info,
                                           "An order waits until its endpoint runs no request."};
inline const event_kind fetchHeld{4007, "fetch_held", severity::Info,
                                  "The weight store asked for a pause; it is kept in the log, so "
                                  "that a new leader keeps it too."};
inline const event_kind ordersSuspended{4008, "orders_suspended", severity::Warning,
                                        "This node has lost its authority and gives no more "
                                        "orders; the open ones stay in the log."};

inline const event_kind orderDecided{4009, "order_decided", severity::Info,
                                     "A policy asked for an order; it is proposed to the log."};
inline const event_kind endpointLeaving{4010, "endpoint_leaving", severity::Info,
                                        "The platform's VM list says that an endpoint's VM leaves; "
                                        "the endpoint gets no new work."};
inline const event_kind commandRefused{4011, "duty_command_refused", severity::Warning,
                                       "The log refused a command of the leader's duties; message "
                                       "names the remedy."};
inline const event_kind platformSilent{4012, "platform_silent", severity::Warning,
                                       "An interface of the platform did not answer; check its "
                                       "address in the settings."};
inline const event_kind countOrdered{4014, "count_ordered", severity::Info,
                                     "A number of cheap endpoints was ordered in an availability "
                                     "zone; the outcome says if they are to be had."};
inline const event_kind platformHeard{4013, "platform_heard", severity::Info,
                                      "An interface of the platform answers again."};

} // namespace yuccascale::kernel::orders
