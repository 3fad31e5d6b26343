#pragma once

#include "yuccascale/kernel/events.hpp"
#include "yuccascale/kernel/requests/pool_scheduler.hpp"
#include "yuccascale/kernel/requests/request_life.hpp"

#include <optional>
#include <string>
#include <variant>

/// \file
/// \brief Connects the state machine of one request to its pool, the log and its caller.

namespace yuccascale::kernel::requests {

/// \brief Output sent to the caller.
using caller_output = std::variant<begin_stream, forward, finish_stream, send_answer, refuse>;

/// \brief Operations that a session requires from its entry.
class session_ports
{
public:
    virtual ~session_ports() = default;

    /// \returns the time of the entry's boot clock.
    [[nodiscard]] virtual instant now() const = 0;

    /// \returns whether the request may be sent now.
    [[nodiscard]] virtual start_check checkStart(const request &callerRequest) const = 0;

    /// \brief Queues the request at its pool; answered by assignEndpoint().
    /// \returns a refusal, or nothing when the request is queued.
    [[nodiscard]] virtual std::optional<refusal>
    push(std::uint64_t ticket, const request &callerRequest, const enqueue &options) = 0;
    virtual void remove(std::uint64_t ticket, const request &callerRequest) = 0;
    virtual void firstPieceArrived(std::uint64_t ticket, const request &callerRequest) = 0;
    virtual finish_findings finish(std::uint64_t ticket, const request &callerRequest,
                                   const attempt_result &result)
            = 0;

    /// \brief Submits the claim; answered by claim_answered.
    virtual void claim(const request &callerRequest, const std::string &operationId) = 0;
    virtual void withdraw(const request &callerRequest, const std::string &operationId) = 0;
    virtual void settle(const request &callerRequest, const std::string &operationId,
                        const settle &claimEnd)
            = 0;

    /// \brief Finds out where the stream began that the request takes up; answered by
    /// stream_located.
    virtual void locateStream(const request &callerRequest) = 0;
    /// \brief Records where the request's stream began, for the other entries too.
    virtual void recordStream(const request &callerRequest, const std::string &softwareVersion) = 0;

    /// \brief Commits the usage; answered by usage_commit_finished.
    virtual void recordUsage(const request &callerRequest, const token_usage &usage) = 0;

    /// \brief Bans a fingerprint at this entry immediately and at all entries through the log.
    virtual void ban(const request &callerRequest, const std::string &fingerprint) = 0;

    /// \brief Sends the request to its endpoint; answered by events of this attempt.
    virtual void send(const request &callerRequest, const endpoint_assignment &assignment,
                      const dispatch &sent)
            = 0;

    /// \brief Closes the attempt's connection and cancels the request at the endpoint.
    virtual void stop(const request &callerRequest, const endpoint_assignment &assignment) = 0;

    /// \brief Sends the next output to the caller.
    virtual void deliver(caller_output output) = 0;
};

/// \brief Performs the actions of a request's state machine. Not thread-safe.
class request_session
{
public:
    /// \param ticket unique at this entry
    /// \param entry node name and incarnation of this entry
    request_session(request callerRequest, std::uint64_t ticket, const std::string &entry,
                    session_ports &ports, event_sink &events);

    /// \brief Starts the request.
    void begin();

    /// \brief Continues with the endpoint that the pool assigned.
    void assignEndpoint(endpoint_assignment assignment);

    /// \brief Queues the request again, since the endpoint of this attempt may not be sent to any
    /// more and nothing was sent to it. The caller has ended the attempt.
    void withhold(endpoint_standing standing);

    /// \brief Records that the attempt's request is about to be sent, after it waited for a
    /// prefill or a new connection.
    void readyToSend();

    /// \brief Processes any other event.
    void handle(event newEvent);

    [[nodiscard]] bool ended() const noexcept
    {
        return m_lifecycle.state() == request_state::Ended;
    }
    [[nodiscard]] bool queued() const noexcept
    {
        return m_lifecycle.state() == request_state::Queued;
    }
    [[nodiscard]] const request &callerRequest() const noexcept
    {
        return m_lifecycle.callerRequest();
    }
    [[nodiscard]] const request_lifecycle &lifecycle() const noexcept { return m_lifecycle; }

private:
    void updatePool(const event &newEvent);
    void recordWithheld(endpoint_standing standing);
    [[nodiscard]] std::int64_t sendDelayMs() const;
    void recordLocated(const stream_located &located);
    void recordAttemptAnswer(int attempt, const token_usage &usage);
    void recordAttemptFailure(const attempt_failed &failed);
    void finishAttempt(attempt_result result);
    void performAll(std::vector<action> actions);
    void recordRouted(const dispatch &sent);
    void recordRelayed(const dispatch &sent);
    void recordRefusal(const refusal &reason);
    void recordAnswer(int status);

    void perform(const enqueue &options);
    void perform(const dequeue &);
    void perform(const release_endpoint &);
    void perform(const submit_claim &);
    void perform(const withdraw_claim &);
    void perform(const locate_stream &);
    void perform(const record_stream &began);
    void perform(const dispatch &sent);
    void perform(const cancel &stopped);
    void perform(const begin_stream &began);
    void perform(const forward &piece);
    void perform(const commit_usage &usage);
    void perform(const settle &end);
    void perform(const finish_stream &last);
    void perform(send_answer &&answer);
    void perform(const refuse &refused);

    request_lifecycle m_lifecycle;
    std::uint64_t m_ticket;
    std::string m_claimOperation;
    session_ports &m_ports;
    event_sink &m_events;
    std::optional<endpoint_assignment> m_assignment;
    instant m_sentAt{};
    std::optional<instant> m_readyAt; ///< when the attempt's last wait before it is sent ended
    std::optional<instant> m_firstPieceAt;
};

} // namespace yuccascale::kernel::requests
