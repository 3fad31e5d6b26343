#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/error.hpp"

#include <atomic>
#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <string>

/// \file
/// \brief Proposals and reads whose callers wait for the log.

namespace yuccascale::runtime {

/// \brief A proposal or read. The log's thread begins it, its caller gives up at the deadline; the
/// first of the two decides whether it is executed.
class log_request
{
public:
    explicit log_request(std::string payload)
        : m_payload(std::move(payload))
    { }

    /// \brief Waits for the answer; called once, by the caller.
    /// \param replica named in errors
    /// \returns error_kind::Unavailable when it was not begun before the deadline;
    ///          error_kind::OutcomeUnknown when it was begun and not answered before.
    [[nodiscard]] kernel::result<std::string> wait(kernel::nanoseconds timeout,
                                                   const std::string &replica);

    /// \returns false when the caller has given up.
    [[nodiscard]] bool begin() noexcept;

    /// \brief Takes the command of a proposal.
    [[nodiscard]] std::string takePayload() noexcept { return std::move(m_payload); }

    void answer(std::string answer) { m_promise.set_value({true, std::move(answer), {}}); }
    void fail(kernel::error problem) { m_promise.set_value({false, {}, std::move(problem)}); }

private:
    enum class state { Queued, Begun, GivenUp };

    struct outcome
    {
        bool succeeded = false;
        std::string answer;
        kernel::error problem;
    };

    std::string m_payload;
    std::atomic<state> m_state{state::Queued};
    std::promise<outcome> m_promise;
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
