#pragma once

#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/kernel/requests/claim_verdict.hpp"
#include "yuccascale/kernel/requests/events.hpp"
#include "yuccascale/kernel/requests/usage_batcher.hpp"
#include "yuccascale/runtime/settings.hpp"
#include "yuccascale/runtime/worker_pool.hpp"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

/// \file
/// \brief Commits an entry's usage, claims and bans to the replicated log.

namespace yuccascale::http {

/// \brief Commits usage, claims and bans. Thread-safe.
class caller_commits
{
public:
    using usage_callback = std::function<void(bool committed)>;

    /// \param entry node and incarnation
    /// \param agreedTime the time that the nodes agree on, for usage windows
    caller_commits(std::string entry, const runtime::platform_settings &platform,
                   const kernel::clock &clock, std::function<kernel::wall_time()> agreedTime,
                   kernel::control_client &control, kernel::event_sink &events,
                   std::shared_ptr<runtime::worker_threads> workers = nullptr);
    ~caller_commits();
    caller_commits(const caller_commits &) = delete;
    caller_commits &operator=(const caller_commits &) = delete;

    /// \brief Commits a claim, which permits the only run of a request, in the background. A repeat
    /// has the same operation id. \param done called on another thread
    void claim(const kernel::requests::request &callerRequest, const std::string &operationId,
               std::function<void(kernel::requests::claim_decision)> done);

    /// \brief Commits the outcome of a claim in the background, with retries.
    void settle(const kernel::requests::request &callerRequest, const std::string &operationId,
                kernel::state::claim_outcome end, const kernel::requests::complete_answer &answer);

    /// \brief Repeats a claim whose outcome is unknown until the log answers, then settles it as
    /// not run. Works in the background.
    void withdraw(const kernel::requests::request &callerRequest, const std::string &operationId);

    /// \brief Adds an answer to the usage counts. \a done is called with true once they are
    /// committed, or with false after \a deadline.
    void recordUsage(const kernel::requests::request &callerRequest,
                     const kernel::requests::token_usage &usage, kernel::instant deadline,
                     usage_callback done);

    /// \brief Commits a ban of a fingerprint for all entries, in the background. Several entries
    /// may commit the same one.
    ///
    /// \param route of the banned request; empty for parts of prompts
    void ban(const std::string &fingerprint, const std::string &route);

    /// \brief Commits what is queued and joins the threads.
    void shutdown();

    /// \brief Sets when the callbacks of uncommitted usage are called with false at the latest,
    /// because the node shuts down.
    void setUsageDeadline(kernel::instant when);

private:
    struct pending_usage
    {
        kernel::instant deadline{};
        usage_callback done;
    };

    /// What a claim needs of its request.
    struct claimed_request
    {
        std::string operationId; ///< of the claim
        std::string requestId;
        kernel::state::claim_request claim; ///< without its time
        kernel::instant answerBy{};
        kernel::milliseconds routeDeadline{};
    };

    [[nodiscard]] claimed_request claimedRequest(const kernel::requests::request &callerRequest,
                                                 std::string operationId) const;
    [[nodiscard]] kernel::state::command claimCommand(const claimed_request &claimed) const;
    [[nodiscard]] kernel::requests::claim_decision submitClaim(const claimed_request &claimed);
    void settle(const claimed_request &claimed, kernel::state::claim_outcome end,
                const kernel::requests::complete_answer &answer);
    [[nodiscard]] bool submitWithRetries(const kernel::state::command &command);
    [[nodiscard]] bool isStopping() const;
    void commitUsage();
    [[nodiscard]] kernel::instant commitDeadline() const;
    void commitBatch(const kernel::state::command &batch);
    void completeUsage(const std::vector<std::uint64_t> &tickets);
    void expireUsage();

    const std::string m_entry;
    const kernel::milliseconds m_batchInterval; ///< zero: usage is committed at once
    const kernel::clock &m_clock;
    const std::function<kernel::wall_time()> m_agreedTime;
    kernel::control_client &m_control;
    kernel::event_sink &m_events;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    kernel::requests::usage_batcher m_batcher;
    std::map<std::uint64_t, pending_usage> m_pendingUsage;
    std::uint64_t m_nextTicket = 0;
    bool m_stopping = false;
    kernel::instant m_usageDeadline = kernel::instant::max();
    runtime::worker_pool m_background;
    std::thread m_usageThread;
};

} // namespace yuccascale::http
