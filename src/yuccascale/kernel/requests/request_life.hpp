#pragma once

#include "yuccascale/kernel/requests/request_actions.hpp"

#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief The life of one request at an entry.

namespace yuccascale::kernel::requests {

/// \brief States of a request.
enum class request_state {
    Received,
    Queued,
    Claiming,   ///< its claim is on its way to the log
    Dispatched, ///< sent; nothing came back
    Streaming,  ///< pieces are coming
    Committing, ///< its answer is whole and its usage on its way to the log
    Ended,
};

/// \brief Decides what to do with one request. Not thread-safe; its owner serialises calls.
///
/// Once a byte went to an endpoint, only that endpoint's word makes the request "not run". A
/// non-idempotent request is sent only under a granted claim, and again only after the endpoint
/// said that it did not run it or no byte left.
///
/// \example
///     request_lifecycle life(request);
///     for (const action &next : life.start(clock.now()))
///         perform(next);
class request_lifecycle
{
public:
    explicit request_lifecycle(request subject);

    /// \returns what to do first.
    [[nodiscard]] std::vector<action> start(instant now, start_check check);

    /// \brief Takes in an event. Events of an earlier attempt, or after the end, do nothing.
    /// \returns what to do, in order.
    [[nodiscard]] std::vector<action> handle(instant now, const event &newEvent);

    [[nodiscard]] request_state state() const noexcept { return m_state; }
    [[nodiscard]] const request &subject() const noexcept { return m_request; }

    /// \returns the attempt's number; 0 before the first.
    [[nodiscard]] int attempt() const noexcept { return m_attempt; }

    /// \returns the endpoint of the current attempt or turn; empty when there is none.
    [[nodiscard]] const std::string &endpoint() const noexcept { return m_endpoint; }

    /// \returns whether an endpoint can have run it, as far as is known.
    [[nodiscard]] bool mayHaveRun() const noexcept { return m_mayHaveRun; }

    /// \returns pieces that the caller has been given, those of earlier entries included.
    [[nodiscard]] std::int64_t delivered() const noexcept { return m_delivered; }

private:
    using actions = std::vector<action>;

    void on(actions &out, instant now, const endpoint_assigned &assignment);
    void on(actions &out, instant now, const queue_refused &refused);
    void on(actions &out, instant now, const claim_answered &answered);
    void on(actions &out, instant now, const stream_began &began);
    void on(actions &out, instant now, const piece_arrived &piece);
    void on(actions &out, instant now, const stream_finished &finished);
    void on(actions &out, instant now, const answer_arrived &arrived);
    void on(actions &out, instant now, const attempt_failed &failed);
    void on(actions &out, instant now, const usage_commit_finished &settled);
    void on(actions &out, instant now, const caller_disconnected &);
    void on(actions &out, instant now, const deadline_passed &);
    void on(actions &out, instant now, const request_banned &);

    void claimGranted(actions &out, instant now, start_check check);
    void resendClaim(actions &out, instant now);
    [[nodiscard]] bool mayStart(actions &out, instant now, start_check check);
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
    int m_unsentAttempts = 0; ///< attempts of which no byte left
    int m_attempt = 0;
    std::string m_endpoint;
    std::string m_zone;
    std::vector<std::string> m_avoidEndpoints;
    std::vector<std::string> m_avoidZones;
    std::int64_t m_delivered = 0;
    std::string m_lastPieceId; ///< of the last piece delivered
    std::optional<stream_head>
            m_pendingHead; ///< of the first endpoint that answered; not given yet
    bool m_headGiven = false;
    bool m_usageCounted = false; ///< its usage is on its way to the log
    bool m_mayHaveRun = false;
    bool m_suspect = false;
    bool m_claimGranted = false;
    bool m_claimSettled = false;
    std::string m_recordedStream;                ///< of a claimed stream, for repeats
    std::optional<complete_answer> m_lastAnswer; ///< an endpoint's own error
    std::optional<action>
            m_pendingOutput; ///< the last piece or whole answer, until its usage is committed
};

/// \returns the name of \a state in logs, such as "queued".
[[nodiscard]] std::string_view requestStateName(request_state state) noexcept;

/// \returns the name of \a failure in logs, such as "never_sent".
[[nodiscard]] std::string_view attemptFailureName(attempt_failure failure) noexcept;

} // namespace yuccascale::kernel::requests
