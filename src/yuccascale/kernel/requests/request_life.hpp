#pragma once

#include "yuccascale/kernel/requests/request_actions.hpp"

#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief State machine of one request at an entry.

namespace yuccascale::kernel::requests {

/// \brief States of a request.
enum class request_state {
    Received,
    Queued,
    Claiming,   ///< waiting for the log to answer its claim
    Locating,   ///< waiting to learn where the stream began that it takes up
    Dispatched, ///< sent to an endpoint; no piece received yet
    Streaming,  ///< at least one piece received
    Committing, ///< the answer is complete; waiting for its usage to be committed
    Ended,
};

/// \brief Decides the actions for one request. Not thread-safe; its owner serialises calls.
///
/// Once a byte was sent to an endpoint, the request counts as "not run" only if that endpoint
/// reports so. On a claimed route, a non-idempotent request is sent only after its claim was
/// granted. On any route, it is sent again only if no byte was sent or the endpoint reported that
/// it did not run it.
///
/// \example
///     request_lifecycle life(request);
///     for (const action &next : life.start(clock.now()))
///         perform(next);
class request_lifecycle
{
public:
    explicit request_lifecycle(request callerRequest);

    /// \returns the first actions, in order.
    [[nodiscard]] std::vector<action> start(instant now, start_check check);

    /// \brief Processes an event. Ignores events of earlier attempts and events after the end.
    /// \returns the resulting actions, in order.
    [[nodiscard]] std::vector<action> handle(instant now, const event &newEvent);

    [[nodiscard]] request_state state() const noexcept { return m_state; }
    [[nodiscard]] const request &callerRequest() const noexcept { return m_request; }

    /// \returns the number of the current attempt; 0 before the first.
    [[nodiscard]] int attempt() const noexcept { return m_attempt; }

    /// \returns the endpoint of the current attempt or assignment; empty when there is none.
    [[nodiscard]] const std::string &endpoint() const noexcept { return m_endpoint; }

    /// \returns whether an endpoint may have run the request.
    [[nodiscard]] bool mayHaveRun() const noexcept { return m_mayHaveRun; }

    /// \returns how many attempts, at any entry, may have reached an endpoint; with the current
    /// one.
    [[nodiscard]] int reachedAttempts() const noexcept;

    /// \returns whether its usage was submitted to the log, by any entry.
    [[nodiscard]] bool usageCounted() const noexcept { return m_usageCounted; }

    /// \returns the number of pieces sent to the caller, including those sent by earlier entries.
    [[nodiscard]] std::int64_t delivered() const noexcept { return m_delivered; }

private:
    using actions = std::vector<action>;

    void on(actions &out, instant now, const endpoint_assigned &assignment);
    void on(actions &out, instant now, const queue_refused &refused);
    void on(actions &out, instant now, const claim_answered &answered);
    void on(actions &out, instant now, const stream_located &located);
    void on(actions &out, instant now, const stream_began &began);
    void on(actions &out, instant now, const piece_arrived &piece);
    void on(actions &out, instant now, const stream_finished &finished);
    void on(actions &out, instant now, const answer_arrived &arrived);
    void on(actions &out, instant now, const attempt_failed &failed);
    void on(actions &out, instant now, const usage_commit_finished &settled);
    void on(actions &out, instant now, const caller_disconnected &);
    void on(actions &out, instant now, const deadline_passed &);
    void on(actions &out, instant now, const request_banned &);
    void on(actions &out, instant now, const entry_leaving &leaving);
    void on(actions &out, instant now, const send_due &due);
    void on(actions &out, instant now, const send_withheld &withheld);

    [[nodiscard]] enqueue firstEnqueue() const;
    void claimGranted(actions &out, instant now, start_check check);
    void resendClaim(actions &out, instant now);
    [[nodiscard]] bool takesUpStream() const noexcept;
    void beginStreamAt(actions &out);
    [[nodiscard]] bool mayStart(actions &out, instant now, start_check check);
    void queueAgain(actions &out, bool endpointReached);
    void retry(actions &out, instant now, const attempt_failed &failed);
    void end(actions &out, refusal reason);
    [[nodiscard]] bool sendLastAnswer(actions &out);
    void sendHead(actions &out);
    void countUsage(actions &out, const token_usage &usage);
    void finish(actions &out, action last, const token_usage &usage);
    void recordPiece(const std::string &payload);
    void endDispatched(actions &out, error_kind kind, const std::string &message);
    [[nodiscard]] bool running(int attempt) const noexcept;
    [[nodiscard]] bool holdsClaim() const noexcept { return m_claimGranted && !m_claimSettled; }

    request m_request;
    request_state m_state = request_state::Received;
    int m_unsentAttempts = 0;   ///< attempts whose endpoint could not be reached
    int m_withheldAttempts = 0; ///< attempts whose endpoint was no longer to be sent to
    int m_attempt = 0;
    std::string m_endpoint;
    std::string m_zone;
    std::string m_softwareVersion; ///< of the endpoint
    /// Of the endpoint that began the stream; nothing before the first piece.
    std::optional<std::string> m_streamVersion;
    std::vector<std::string> m_avoidEndpoints;
    std::vector<std::string> m_avoidZones;
    std::int64_t m_delivered = 0;
    std::string m_lastPieceId; ///< event id of the last delivered piece
    std::optional<stream_head>
            m_pendingHead; ///< from the first endpoint that answered; not sent to the caller yet
    bool m_headGiven = false;
    bool m_usageCounted = false; ///< its usage was submitted to the log
    bool m_mayHaveRun = false;
    bool m_suspect = false;
    bool m_claimGranted = false;
    bool m_claimSettled = false;
    std::string m_recordedStream; ///< recorded stream of a claimed request, for repeated requests
    std::optional<complete_answer> m_lastAnswer; ///< error answered by an endpoint
    std::optional<action> m_pendingOutput; ///< last piece or complete answer, withheld until its
                                           ///< usage is committed
};

/// \returns the name of \a state in logs, such as "queued".
[[nodiscard]] std::string_view requestStateName(request_state state) noexcept;

/// \returns the name of \a failure in logs, such as "never_sent".
[[nodiscard]] std::string_view attemptFailureName(attempt_failure failure) noexcept;

} // namespace yuccascale::kernel::requests
