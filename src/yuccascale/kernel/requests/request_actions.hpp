#pragma once

#include "yuccascale/kernel/requests/claim_verdict.hpp"
#include "yuccascale/kernel/requests/key_check.hpp"
#include "yuccascale/kernel/requests/request.hpp"

#include <string>
#include <variant>
#include <vector>

/// \file
/// \brief What happens to a request (events) and what is to be done about it (actions).

namespace yuccascale::kernel::requests {

/// \brief An endpoint has room for the request.
struct endpoint_assigned
{
    std::string endpoint;
    std::string zone;
    start_check check = start_check::Allowed; ///< read when the turn came
};

/// \brief The queue will not hold the request, or no longer.
struct queue_refused
{
    refusal reason;
};

/// \brief The log answered the claim, or did not.
struct claim_answered
{
    claim_outcome outcome;
    start_check check = start_check::Allowed; ///< read after the claim
};

/// \brief A streamed answer began; its pieces follow.
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
    std::string payload;      ///< what the caller gets, without framing
    std::string pieceId = {}; ///< the endpoint's name for the piece, to continue after it
};

/// \brief The endpoint said that the stream is whole.
struct stream_finished
{
    int attempt = 0;
    token_usage usage;
    std::string payload;
};

/// \brief A plain answer came whole.
struct answer_arrived
{
    int attempt = 0;
    complete_answer answer;
    token_usage usage;
};

/// \brief Ways in which an attempt fails.
enum class attempt_failure {
    NeverSent,  ///< no byte left
    SaidNotRun, ///< the endpoint says that it did not run it
    Replaced,   ///< another endpoint answers at its address; it did not run it
    Broken,     ///< the connection ended early; the endpoint lives
    Crashed,    ///< the connection ended early with the endpoint
    Doubtful,   ///< the answer was crossed, short or malformed
    TimedOut,   ///< no answer within the deadline
    Answered,   ///< the endpoint answered with an error of its own
};

/// \brief An attempt failed.
struct attempt_failed
{
    int attempt = 0;
    attempt_failure failure = attempt_failure::Broken;
    nanoseconds retryAfter{};    ///< of SaidNotRun
    complete_answer answer = {}; ///< of Answered: what the caller gets when no other try is left
};

/// \brief The usage of the answer was committed, or cannot be before the deadline.
struct usage_commit_finished
{
    bool committed = false;
};

struct caller_disconnected
{ };
struct deadline_passed
{ };
/// \brief The request was found to crash endpoints.
struct request_banned
{ };

using event
        = std::variant<endpoint_assigned, queue_refused, claim_answered, stream_began,
                       piece_arrived, stream_finished, answer_arrived, attempt_failed,
                       usage_commit_finished, caller_disconnected, deadline_passed, request_banned>;

/// \brief Wait for an endpoint.
struct enqueue
{
    bool retry = false;          ///< counts against the route's retry budget
    bool suspect = false;        ///< must run apart from other suspects
    bool endpointReached = true; ///< an endpoint got the last attempt; else it costs no budget
    std::vector<std::string> avoidEndpoints; ///< earlier attempts failed there
    std::vector<std::string> avoidZones;     ///< an earlier attempt died there
};

/// \brief Stop waiting.
struct dequeue
{ };

/// \brief Give back the room that endpoint_assigned reserved.
struct release_endpoint
{
    std::string endpoint;
};

/// \brief Commit the claim; a repeat uses the same operation id.
struct submit_claim
{ };

/// \brief Find out in the background if the claim is in the log, and settle it as not run.
struct withdraw_claim
{ };

/// \brief Send the request.
struct dispatch
{
    int attempt = 0;
    std::string endpoint;
    std::int64_t resumeFrom = 0;  ///< pieces already delivered
    std::string lastPieceId = {}; ///< name of the last of them, if the endpoint told one
};

/// \brief Stop the attempt at its endpoint and close its connection.
struct cancel
{
    int attempt = 0;
    std::string endpoint;
    bool doubtful = false; ///< its answer is out of order
};

/// \brief Give the caller the start of its streamed answer.
struct begin_stream
{
    stream_head head;
};

/// \brief Give a piece to the caller.
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

/// \brief Record how the claimed request ended.
struct settle
{
    state::claim_end end = state::claim_end::Unknown;
    complete_answer answer;
};

/// \brief End the stream with its finish piece.
struct finish_stream
{
    std::string payload;
};

/// \brief Give the caller its whole answer.
struct give_answer
{
    complete_answer answer;
    bool recorded = false; ///< it is the answer of an earlier run
};

/// \brief Give the caller a typed error; ends the request.
struct refuse
{
    refusal reason;
};

using action = std::variant<enqueue, dequeue, release_endpoint, submit_claim, withdraw_claim,
                            dispatch, cancel, begin_stream, forward, commit_usage, settle,
                            finish_stream, give_answer, refuse>;

} // namespace yuccascale::kernel::requests
