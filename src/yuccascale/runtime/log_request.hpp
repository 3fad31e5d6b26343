#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/error.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <utility>

/// \file
/// \brief Proposals and reads whose callers wait for the log.

namespace yuccascale::runtime {

/// \brief What became of a request.
struct log_outcome
{
    bool succeeded = false;
    std::string answer;
    kernel::error problem;

    /// \returns the answer, or the problem as an error.
    [[nodiscard]] kernel::result<std::string> asResult() &&;
};

/// \brief A proposal or read. The log's thread begins it, its caller gives up at the deadline; the
/// first of the two decides whether it is executed.
class log_request
{
public:
    using completion = std::function<void(log_outcome outcome)>;

    /// \brief A request whose caller calls wait().
    /// \param commandFormat of a proposal's command
    explicit log_request(std::string payload, std::uint32_t commandFormat = 0)
        : m_payload(std::move(payload))
        , m_commandFormat(commandFormat)
    { }

    /// \brief A request whose caller does not wait.
    /// \param deadline the request is not begun after it
    /// \param done called once, on the log's thread
    /// \param commandFormat of a proposal's command
    log_request(std::string payload, kernel::instant deadline, completion done,
                std::uint32_t commandFormat = 0)
        : m_payload(std::move(payload))
        , m_commandFormat(commandFormat)
        , m_deadline(deadline)
        , m_done(std::move(done))
    { }

    /// \brief Waits for the answer; called once, by the caller.
    /// \param replica named in errors
    /// \returns error_kind::Unavailable when it was not begun before the deadline;
    ///          error_kind::OutcomeUnknown when it was begun and not answered before.
    [[nodiscard]] kernel::result<std::string> wait(kernel::nanoseconds timeout,
                                                   const std::string &replica);

    /// \returns false when the caller has given up, or the deadline of a caller that does not wait
    ///          has passed; \a replica is named in its error.
    [[nodiscard]] bool begin(kernel::instant now, const std::string &replica);

    /// \brief Takes the command of a proposal.
    [[nodiscard]] std::string takePayload() noexcept { return std::move(m_payload); }

    /// \returns the lowest format that all members must apply before the command is proposed.
    [[nodiscard]] std::uint32_t commandFormat() const noexcept { return m_commandFormat; }

    void answer(std::string answer) { finish({true, std::move(answer), {}}); }
    void fail(kernel::error problem) { finish({false, {}, std::move(problem)}); }

private:
    enum class state { Queued, Begun, GivenUp };

    void finish(log_outcome outcome);

    std::string m_payload;
    const std::uint32_t m_commandFormat;
    const kernel::instant m_deadline = kernel::instant::max();
    const completion m_done; ///< null: the caller waits
    std::atomic<state> m_state{state::Queued};
    std::promise<log_outcome> m_promise;
};

using log_request_pointer = std::shared_ptr<log_request>;

/// \brief Proposals that await their commit. Used by the log's thread only.
class pending_proposals
{
public:
    /// \param replica named in errors
    explicit pending_proposals(std::string replica)
        : m_replica(std::move(replica))
    { }

    /// \brief Adds a proposal that was appended at \a index. One that is pending there was proposed
    /// in an earlier term, and its entry is replaced.
    void add(std::uint64_t index, std::uint64_t term, log_request_pointer proposal);

    /// \brief Answers the proposal at \a index, or fails it when the entry there is of another term
    /// and so has replaced it.
    void resolve(std::uint64_t index, std::uint64_t term, std::string answer);

    /// \brief Fails those up to \a index, which a snapshot covers: their outcome is unknown.
    void failCovered(std::uint64_t index);

    /// \brief Fails all with an unknown outcome.
    void failAll(const std::string &reason);

private:
    struct proposal
    {
        std::uint64_t term = 0;
        log_request_pointer request;
    };

    std::string m_replica;
    std::map<std::uint64_t, proposal> m_proposals; ///< by log index
};

} // namespace yuccascale::runtime
