#pragma once

#include "yuccascale/kernel/requests/claim_verdict.hpp"
#include "yuccascale/kernel/requests/key_check.hpp"
#include "yuccascale/kernel/requests/request.hpp"
#include "yuccascale/kernel/requests/stream_origins.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// \brief Inputs (events) and outputs (actions) of the request state machine.

namespace yuccascale::kernel::requests {

/// \brief The scheduler assigned an endpoint to the request.
struct endpoint_assigned
{
    std::string endpoint;
    std::string zone;
    start_check check = start_check::Allowed; ///< result at the time of the assignment
    std::string softwareVersion = {};         ///< of the endpoint
    bool serving = true; ///< it may still be sent to; else the request waits for another one
};

/// \brief The queue refused the request or removed it.
struct queue_refused
{
    refusal reason;
};

/// \brief The claim was answered by the log or failed.
struct claim_answered
{
    claim_decision decision;
    start_check check = start_check::Allowed; ///< result after the claim was answered
};

/// \brief Where the stream began that the request takes up; nothing when that is not known.
struct stream_located
{
    std::optional<stream_origin> origin;
};

/// \brief The head of a streamed answer arrived; its pieces follow.
struct stream_began
{
    int attempt = 0;
    stream_head head;
};

/// \brief A piece of a streamed answer.
struct piece_arrived
{
    int attempt = 0;
    std::int64_t index = 0;
    std::string payload;      ///< content for the caller, without framing
    std::string pieceId = {}; ///< event id of the piece at the endpoint, to resume after it
};

/// \brief The endpoint marked the stream as complete.
struct stream_finished
{
    int attempt = 0;
    token_usage usage;
    std::string payload;
};

/// \brief A complete answer that is not streamed arrived.
struct answer_arrived
{
    int attempt = 0;
    complete_answer answer;
    token_usage usage;
};

/// \brief Ways in which an attempt fails.
enum class attempt_failure {
    NeverSent,      ///< no byte was sent
    ReportedNotRun, ///< the endpoint reported that it did not run the request
    Replaced,       ///< a different endpoint answered at the address and did not run the request
    Broken,         ///< the connection ended early, the endpoint is still running
    Crashed,        ///< the connection ended early because the endpoint crashed
    Disconnected,   ///< the connection ended while this entry reached no endpoint
    InvalidAnswer,  ///< the answer belongs to another request, is truncated, out of order or
                    ///< malformed
    TimedOut,       ///< no answer within the deadline
    Answered,       ///< the endpoint answered with an error of its own
};

/// \brief An attempt failed.
struct attempt_failed
{
    int attempt = 0;
    attempt_failure failure = attempt_failure::Broken;
    nanoseconds retryAfter{}; ///< for ReportedNotRun
    complete_answer answer
            = {};      ///< for Answered: sent to the caller when no further attempt is possible
    bool last = false; ///< no attempt may follow
};

/// \brief The usage of the answer was committed, or could not be before the deadline.
struct usage_commit_finished
{
    bool committed = false;
};

struct caller_disconnected
{ };
struct deadline_passed
{ };
/// \brief The request was identified as crashing endpoints.
struct request_banned
{ };

/// \brief This entry is shutting down.
struct entry_leaving
{
    instant end{};                            ///< when this entry ends
    start_check check = start_check::Allowed; ///< result now
};

/// \brief The request is about to be sent, after its attempt waited for a prefill or a connection.
struct send_due
{
    int attempt = 0;
    start_check check = start_check::Allowed; ///< result now
};

/// \brief The endpoint may not be sent to any more, and nothing of this attempt was sent to it yet.
struct send_withheld
{
    int attempt = 0;
};

using event = std::variant<endpoint_assigned, queue_refused, claim_answered, stream_located,
                           stream_began, piece_arrived, stream_finished, answer_arrived,
                           attempt_failed, usage_commit_finished, caller_disconnected,
                           deadline_passed, request_banned, entry_leaving, send_due, send_withheld>;

/// \brief Queue the request until an endpoint is assigned.
struct enqueue
{
    bool retry = false;          ///< this is not the first attempt
    bool suspect = false;        ///< must be isolated from other suspects
    bool endpointReached = true; ///< the last attempt reached an endpoint, so a retry counts
                                 ///< against the retry budget
    std::vector<std::string> avoidEndpoints; ///< earlier attempts failed there
    std::vector<std::string> avoidZones;     ///< the endpoint of an earlier attempt crashed there
    /// The only one whose endpoints may go on with the stream; nothing before its first piece.
    std::optional<std::string> softwareVersion = {};
};

/// \brief Remove the request from the queue.
struct dequeue
{ };

/// \brief Release the capacity reserved by endpoint_assigned.
struct release_endpoint
{
    std::string endpoint;
};

/// \brief Commit the claim; a repeat uses the same operation id.
struct submit_claim
{ };

/// \brief In the background, find out whether the claim was committed and settle it as not run.
struct withdraw_claim
{ };

/// \brief Find out where the stream began that the request takes up.
struct locate_stream
{ };

/// \brief Record where this stream began, for callers that take it up at another entry.
struct record_stream
{
    std::string softwareVersion; ///< of the endpoint that sent its first piece
};

/// \brief Send the request to the endpoint.
struct dispatch
{
    int attempt = 0;
    std::string endpoint;
    std::int64_t resumeFrom = 0; ///< pieces already delivered
    std::string lastPieceId
            = {}; ///< event id of the last delivered piece, if the endpoint gave one
};

/// \brief Why an attempt is cancelled.
enum class cancel_cause {
    CallerLeft,
    DeadlinePassed,
    InvalidAnswer, ///< its answer is out of order
    Banned,        ///< the request crashed endpoints
    SendRefused,   ///< this entry may no longer send it
};

/// \returns the name for the log.
[[nodiscard]] std::string_view cancelCauseName(cancel_cause cause) noexcept;

/// \brief Stop the attempt at its endpoint and close its connection.
struct cancel
{
    int attempt = 0;
    std::string endpoint;
    cancel_cause cause = cancel_cause::CallerLeft;
};

/// \brief Send the head of the streamed answer to the caller.
struct begin_stream
{
    stream_head head;
};

/// \brief Send a piece to the caller.
struct forward
{
    std::int64_t index = 0;
    std::string payload;
};

/// \brief Commit the usage; answered by usage_commit_finished.
struct commit_usage
{
    token_usage usage;
};

/// \brief Record the outcome of the claimed request in the log.
struct settle
{
    state::claim_outcome end = state::claim_outcome::Unknown;
    complete_answer answer;
};

/// \brief Send the final piece and end the stream.
struct finish_stream
{
    std::string payload;
};

/// \brief Send the complete answer to the caller.
struct send_answer
{
    complete_answer answer;
    bool recorded = false; ///< the recorded answer of an earlier run
};

/// \brief Send a typed error to the caller and end the request.
struct refuse
{
    refusal reason;
};

using action = std::variant<enqueue, dequeue, release_endpoint, submit_claim, withdraw_claim,
                            locate_stream, record_stream, dispatch, cancel, begin_stream, forward,
                            commit_usage, settle, finish_stream, send_answer, refuse>;

} // namespace yuccascale::kernel::requests
