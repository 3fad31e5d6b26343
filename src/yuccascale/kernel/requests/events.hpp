#pragma once

#include "yuccascale/kernel/events.hpp"

/// \file
/// \brief Log events of requests and routing, 2000 to 2999.

namespace yuccascale::kernel::requests {

inline const event_kind requestRouted{
        2001, "request_routed", severity::Info,
        "A request was sent to an endpoint; reason says why it was chosen. 'prefill_room' is how "
        "many prompts this entry could then still place at prefill engines, 'fetchable_tokens' "
        "what 'fetched_from' is believed to hold beyond 'cached_tokens'."};
inline const event_kind requestQueued{
        2002, "request_queued", severity::Debug,
        "A request is queued at this entry until an endpoint is assigned."};
inline const event_kind requestRefused{
        2003, "request_refused", severity::Info,
        "A request was refused; may_have_run says whether an endpoint may have run it."};
inline const event_kind requestAnswered{2004, "request_answered", severity::Info,
                                        "A request was answered completely."};
inline const event_kind attemptFailed{2005, "attempt_failed", severity::Warning,
                                      "An attempt at an endpoint failed; the request is retried at "
                                      "another endpoint if it may run again."};
inline const event_kind requestCancelled{
        2006, "request_cancelled", severity::Info,
        "A request was cancelled at its endpoint, for 'cause', 'after_ms' after the endpoint was "
        "chosen: the caller left, the deadline passed, the answer was out of order, the request "
        "was banned or may no longer be sent. 'send_delay_ms' is how long it had waited for a "
        "prefill and a new connection before it was sent; -1: it did not, or still did."};
inline const event_kind claimDecided{2010, "claim_decided", severity::Info,
                                     "The log answered the claim of a non-idempotent request."};
inline const event_kind claimSettled{2011, "claim_settled", severity::Debug,
                                     "The outcome of a claimed request was committed to the log."};
inline const event_kind usageDelayed{2012, "usage_delayed", severity::Warning,
                                     "A usage batch is not committed yet and delays the last "
                                     "pieces of answers; check the control leader."};
inline const event_kind endpointSick{
        2020, "endpoint_sick", severity::Warning,
        "An endpoint failed repeatedly or crashed; its circuit breaker opened "
        "and admits only trial requests."};
inline const event_kind endpointRecovered{
        2021, "endpoint_recovered", severity::Info,
        "An endpoint answered its trial requests; its circuit breaker closed."};
inline const event_kind endpointPaused{
        2027, "endpoint_paused", severity::Info,
        "An endpoint asked this entry for no requests for some time and gets none until then."};
inline const event_kind endpointHeaderIgnored{
        2028, "endpoint_header_ignored", severity::Warning,
        "A header of an endpoint's answer has a value that cannot be read and was ignored."};
inline const event_kind endpointSuspected{
        2026, "endpoint_suspected", severity::Warning,
        "Other entries reported failed requests at this endpoint; for a few seconds, "
        "non-idempotent requests go to other endpoints while one has room."};
inline const event_kind endpointCrashed{2022, "endpoint_crashed", severity::Warning,
                                        "An endpoint crashed while it ran requests; they are "
                                        "suspects until another endpoint answers them."};
inline const event_kind requestGuilty{2023, "request_guilty", severity::Error,
                                      "A request was running at two endpoint crashes and is banned "
                                      "at all entries; change it before sending it again."};
inline const event_kind promptPartBanned{
        2029, "prompt_part_banned", severity::Error,
        "Endpoints crashed again and again while they worked on prompts with these parts, and no "
        "such prompt was answered; requests with all of them are refused at all entries for an "
        "hour."};
inline const event_kind endpointLeaving{
        2024, "endpoint_leaving", severity::Info,
        "An endpoint announced that it is leaving and gets no new requests."};
inline const event_kind answerDoubtful{
        2025, "answer_doubtful", severity::Warning,
        "An answer was truncated, out of order or for another request; its connection was closed."};
inline const event_kind endpointLimited{
        2031, "endpoint_limited", severity::Info,
        "An endpoint named the requests a second that it accepts from all entries together."};
inline const event_kind endpointLimitLifted{
        2032, "endpoint_limit_lifted", severity::Info,
        "An endpoint that had named a limit of requests a second answered without one."};
inline const event_kind streamLocated{
        2033, "stream_located", severity::Info,
        "A caller takes up a stream: known says whether an entry knows which software version "
        "began it; if none does, the request is refused."};
inline const event_kind poolPaced{
        2052, "pool_paced", severity::Info,
        "An endpoint of the pool reported for the first time how long work takes there now; from "
        "now on the pool's endpoints are predicted from their own rates, paces and reports."};
inline const event_kind endpointsUnreached{
        2034, "endpoints_unreached", severity::Warning,
        "This entry reaches no endpoint, though it has failed at several; other entries serve its "
        "requests meanwhile. Check the network between this VM and the endpoints."};
inline const event_kind endpointsReached{
        2035, "endpoints_reached", severity::Info,
        "This entry reaches endpoints again and serves its requests itself."};
inline const event_kind requestRelayed{
        2036, "request_relayed", severity::Info,
        "A request was sent to another entry, since this one reaches no endpoint."};
inline const event_kind requestTakenOver{
        2037, "request_taken_over", severity::Info,
        "This entry serves a request for another entry, which reaches no endpoint."};
inline const event_kind organisationOverQuota{
        2051, "organisation_over_quota", severity::Info,
        "This entry refused requests of an organisation that were beyond its quota over all "
        "entries. At most one line a second for each organisation; 'requests' and 'tokens' count "
        "since the last one."};
inline const event_kind entryLeaving{
        2030, "entry_leaving", severity::Info,
        "This entry was removed from the published addresses and finishes its requests."};
inline const event_kind requestSentWhileLeaving{
        2038, "request_sent_while_leaving", severity::Info,
        "This entry is shutting down and has sent a request. Without deadline_in_ms <= end_in_ms, "
        "it was begun early in the shutdown because recent answers were short enough."};
inline const event_kind sendWithheld{
        2050, "send_withheld", severity::Info,
        "A request was assigned to an endpoint, and before its first byte left the endpoint was "
        "draining, leaving, gone or replaced ('standing'): the request is queued again, and its "
        "attempt does not count. 'attempt' 0: it was not begun."};

} // namespace yuccascale::kernel::requests
