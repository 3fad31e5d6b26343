#pragma once

#include "yuccascale/kernel/events.hpp"

/// \file
/// \brief Log events of requests and routing, 2000 to 2999.

namespace yuccascale::kernel::requests {

inline const event_kind requestRouted{2001, "request_routed", severity::Info,
                                      "A request was sent to an endpoint; the reason says why."};
inline const event_kind requestQueued{2002, "request_queued", severity::Debug,
                                      "A request waits at this entry for an endpoint."};
inline const event_kind requestRefused{2003, "request_refused", severity::Info,
                                       "A request was refused; may_have_run says if it can have "
                                       "run."};
inline const event_kind requestAnswered{2004, "request_answered", severity::Info,
                                        "A request got its whole answer."};
inline const event_kind attemptFailed{2005, "attempt_failed", severity::Warning,
                                      "An endpoint failed a request; it is sent elsewhere if it "
                                      "may run again."};
inline const event_kind requestCancelled{2006, "request_cancelled", severity::Info,
                                         "The caller left or the deadline passed; the endpoint was "
                                         "told to stop."};
inline const event_kind claimDecided{2010, "claim_decided", severity::Info,
                                     "The log answered the claim of a non-idempotent request."};
inline const event_kind claimSettled{2011, "claim_settled", severity::Debug,
                                     "The end of a claimed request was committed."};
inline const event_kind usageDelayed{2012, "usage_delayed", severity::Warning,
                                     "A usage batch is not committed yet and holds back last "
                                     "pieces; look at the control leader."};
inline const event_kind endpointSick{2020, "endpoint_sick", severity::Warning,
                                     "An endpoint failed repeatedly and gets only trial requests."};
inline const event_kind endpointRecovered{2021, "endpoint_recovered", severity::Info,
                                          "An endpoint answered its trial requests."};
inline const event_kind endpointSuspected{2026, "endpoint_suspected", severity::Warning,
                                          "Other entries saw this endpoint fail requests; for some "
                                          "seconds, requests that may run once "
                                          "only go elsewhere while another one has room."};
inline const event_kind endpointCrashed{2022, "endpoint_crashed", severity::Warning,
                                        "An endpoint went away while it ran requests; they are "
                                        "suspects until they finish elsewhere."};
inline const event_kind requestGuilty{2023, "request_guilty", severity::Error,
                                      "A request was running at two crashes and is stopped "
                                      "everywhere; change it before sending it again."};
inline const event_kind endpointLeaving{2024, "endpoint_leaving", severity::Info,
                                        "An endpoint gave notice and gets no new work."};
inline const event_kind answerDoubtful{2025, "answer_doubtful", severity::Warning,
                                       "An answer was short, crossed or out of order; its "
                                       "connection was closed."};
inline const event_kind entryLeaving{2030, "entry_leaving", severity::Info,
                                     "This entry left the addresses and finishes its requests."};

} // namespace yuccascale::kernel::requests
