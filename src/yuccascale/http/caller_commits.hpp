#pragma once

#include "yuccascale/http/worker_pool.hpp"
#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/kernel/requests/claim_verdict.hpp"
#include "yuccascale/kernel/requests/events.hpp"
#include "yuccascale/kernel/requests/usage_batcher.hpp"
#include "yuccascale/runtime/settings.hpp"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

/// \file
/// \brief What an entry commits to the log for its requests.

namespace yuccascale::http {

/// \brief Commits usage, claims and bans. Thread-safe.
class caller_commits
{
public:
    using usage_waiter = std::function<void(bool committed)>;

    /// \param entry node and incarnation
    /// \param trueTime the time that the nodes agree on, for usage windows
    caller_commits(std::string entry, const runtime::platform_settings &platform,
                   const kernel::clock &clock, std::function<kernel::wall_time()> trueTime,
                   kernel::control_client &control, kernel::event_sink &events);
    ~caller_commits();
    caller_commits(const caller_commits &) = delete;
    caller_commits &operator=(const caller_commits &) = delete;

    /// \brief Claims the single run of a request in the background. A repeat has the same operation
    /// id. \param done called on another thread
    void claim(const kernel::requests::request &subject, const std::string &operationId,
               std::function<void(kernel::requests::claim_outcome)> done);

    /// \brief Settles a claim in the background, until the log has it.
    void settle(const kernel::requests::request &subject, const std::string &operationId,
                kernel::state::claim_end end, const kernel::requests::complete_answer &answer);

    /// \brief Claims in the background until the answer is known, and then settles as not run.
    void withdraw(const kernel::requests::request &subject, const std::string &operationId);

    /// \brief Counts an answer; \a done is called once the log has it, or after \a deadline.
    void recordUsage(const kernel::requests::request &subject,
                     const kernel::requests::token_usage &usage, kernel::instant deadline,
                     usage_waiter done);

    /// \brief Stops a fingerprint fleet-wide, in the background.
    void ban(const std::string &fingerprint, const std::string &route);

    /// \brief Commits what waits and ends the threads.
    void shutdown();

    /// \brief The node ends soon: requests whose usage is not committed by then are told so.
    void giveUpAt(kernel::instant when);

private:
    struct waiting_usage
    {
        kernel::instant deadline{};
        usage_waiter done;
    };

    [[nodiscard]] kernel::state::command claimCommand(const kernel::requests::request &subject,
                                                      const std::string &operationId) const;
    [[nodiscard]] kernel::requests::claim_outcome claimNow(const kernel::requests::request &subject,
                                                           const std::string &operationId);
    [[nodiscard]] bool submitUntilKnown(const kernel::state::command &command);
    [[nodiscard]] bool stopping() const;
    void commitUsage();
    void commitBatch(const kernel::state::command &batch);
    void finishWaiters(const std::vector<std::uint64_t> &tickets);
    void expireWaiters();

    const std::string m_entry;
    const kernel::milliseconds m_batchTime; ///< zero: a batch is made as soon as there is one
    const kernel::clock &m_clock;
    const std::function<kernel::wall_time()> m_trueTime;
    kernel::control_client &m_control;
    kernel::event_sink &m_events;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    kernel::requests::usage_batcher m_batcher;
    std::map<std::uint64_t, waiting_usage> m_waiters;
    std::uint64_t m_nextTicket = 0;
    bool m_stopping = false;
    kernel::instant m_giveUpAt = kernel::instant::max();
    worker_pool m_background;
    std::thread m_usageThread;
};

} // namespace yuccascale::http
