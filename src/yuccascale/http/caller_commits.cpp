#include "yuccascale/http/caller_commits.hpp"

#include "yuccascale/kernel/state/limits.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::http {

namespace {

using namespace kernel::requests;
using kernel::milliseconds;

/// A settlement that is repeated leaves a thread to claims.
constexpr runtime::thread_share backgroundThreads{16, 2, runtime::worker_group::Callers};
constexpr milliseconds claimTimeout{1'000};
constexpr milliseconds commitTimeout{1'000};
constexpr milliseconds retryDelay{50};
constexpr milliseconds usageCheckInterval{100};
/// Attempts to commit a settlement or ban before giving up; the log ends a stopped entry's claims.
constexpr int maxCommitAttempts = 600;
constexpr std::chrono::minutes banDuration{60};
/// The log keeps no longer answers, so a settlement carries no more of one than shows that.
constexpr std::size_t leastUnkeptAnswer = kernel::state::limits{}.maxRecordedAnswerBytes + 1;
/// Watermarks that an entry without answers commits in each usage window.
constexpr int watermarksPerWindow = 10;

} // namespace

caller_commits::caller_commits(std::string entry, const runtime::platform_settings &platform,
                               const kernel::clock &clock,
                               std::function<kernel::wall_time()> agreedTime,
                               kernel::control_client &control, kernel::event_sink &events,
                               std::shared_ptr<runtime::worker_threads> workers)
    : m_entry(std::move(entry))
    , m_batchInterval(platform.usageBatch)
    , m_clock(clock)
    , m_agreedTime(std::move(agreedTime))
    , m_control(control)
    , m_events(events)
    , m_batcher(m_entry, platform.usageWindow, platform.usageWindow / watermarksPerWindow)
    , m_background(backgroundThreads, std::move(workers))
    , m_usageThread([this] { commitUsage(); })
{ }

caller_commits::~caller_commits()
{
    shutdown();
}

void caller_commits::shutdown()
{
    {
        const std::scoped_lock guard(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_usageThread.joinable())
        m_usageThread.join();
    m_background.shutdown();
}

void caller_commits::setUsageDeadline(kernel::instant when)
{
    const std::scoped_lock guard(m_mutex);
    m_usageDeadline = when;
}

bool caller_commits::isStopping() const
{
    const std::scoped_lock guard(m_mutex);
    return m_stopping;
}

/// Tasks that wait hold no body: only what a claim needs is copied.
caller_commits::claimed_request caller_commits::claimedRequest(const request &callerRequest,
                                                               std::string operationId) const
{
    claimed_request claimed;
    claimed.operationId = std::move(operationId);
    claimed.requestId = callerRequest.id;
    claimed.claim.organisation = callerRequest.organisation;
    claimed.claim.route = callerRequest.route.name;
    claimed.claim.idempotencyKey = callerRequest.idempotencyKey;
    claimed.claim.fingerprint = callerRequest.fingerprint;
    claimed.claim.entry = m_entry;
    claimed.answerBy = callerRequest.answerBy();
    claimed.routeDeadline = milliseconds(callerRequest.route.deadlineMs);
    return claimed;
}

kernel::state::command caller_commits::claimCommand(const claimed_request &claimed) const
{
    kernel::state::claim_request claim = claimed.claim;
    claim.wallMs = m_clock.wallNow().time_since_epoch().count();
    return {claimed.operationId, std::move(claim)};
}

void caller_commits::claim(const request &callerRequest, const std::string &operationId,
                           std::function<void(claim_decision)> done)
{
    m_background.run([this, claimed = claimedRequest(callerRequest, operationId),
                      done = std::move(done)] { done(submitClaim(claimed)); });
}

claim_decision caller_commits::submitClaim(const claimed_request &claimed)
{
    kernel::state::command_result answer;
    kernel::error problem;
    const kernel::instant deadline = std::min(claimed.answerBy, m_clock.now() + claimTimeout);
    const bool answered = kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_ASSIGN(answer, m_control.submit(claimCommand(claimed), deadline));
                return {};
            },
            problem);
    claim_decision decision = answered
            ? claimDecision(answer, m_clock.wallNow(), claimed.routeDeadline)
            : claimDecision(problem);
    m_events.record(claimDecided,
                    {{"request_id", claimed.requestId},
                     {"route", claimed.claim.route},
                     {"organisation", claimed.claim.organisation},
                     {"claim", claimStateName(decision.state)}});
    return decision;
}

bool caller_commits::submitWithRetries(const kernel::state::command &command)
{
    for (int attempt = 0; attempt < maxCommitAttempts; ++attempt) {
        kernel::error problem;
        const bool answered = kernel::succeeded(
                [&]() -> kernel::result<void> {
                    BOOST_LEAF_CHECK(m_control.submit(command, m_clock.now() + commitTimeout));
                    return {};
                },
                problem);
        if (answered)
            return true;
        if (isStopping() && problem.kind == kernel::error_kind::Unavailable)
            return false;
        std::this_thread::sleep_for(retryDelay);
    }
    return false;
}

void caller_commits::settle(const request &callerRequest, const std::string &operationId,
                            kernel::state::claim_outcome end, const complete_answer &answer)
{
    settle(claimedRequest(callerRequest, operationId), end, answer);
}

void caller_commits::settle(const claimed_request &claimed, kernel::state::claim_outcome end,
                            const complete_answer &answer)
{
    kernel::state::settle_claim settlement;
    settlement.organisation = claimed.claim.organisation;
    settlement.route = claimed.claim.route;
    settlement.idempotencyKey = claimed.claim.idempotencyKey;
    settlement.entry = m_entry;
    settlement.claimOperation = claimed.operationId;
    settlement.end = end;
    settlement.status = answer.status;
    settlement.contentType = answer.contentType;
    settlement.answer = answer.body.substr(0, leastUnkeptAnswer);
    m_background.run([this, id = claimed.requestId,
                      command = kernel::state::command{claimed.operationId + "/settle",
                                                       std::move(settlement)}] {
        if (submitWithRetries(command))
            m_events.record(claimSettled, {{"request_id", id}});
    });
}

void caller_commits::withdraw(const request &callerRequest, const std::string &operationId)
{
    m_background.run([this, claimed = claimedRequest(callerRequest, operationId)] {
        if (submitWithRetries(claimCommand(claimed)))
            settle(claimed, kernel::state::claim_outcome::NotRun, {});
    });
}

void caller_commits::ban(const std::string &fingerprint, const std::string &route)
{
    kernel::state::ban_fingerprint ban;
    ban.fingerprint = fingerprint;
    ban.route = route;
    ban.untilWallMs = (m_clock.wallNow() + banDuration).time_since_epoch().count();
    // the same at all entries that find the cause at about the same time
    const auto period = ban.untilWallMs / kernel::milliseconds(banDuration).count();
    const std::string operationId = "ban/" + fingerprint + "/" + std::to_string(period);
    m_background.run([this, command = kernel::state::command{operationId, std::move(ban)}] {
        static_cast<void>(submitWithRetries(command));
    });
}

void caller_commits::recordUsage(const request &callerRequest, const token_usage &usage,
                                 kernel::instant deadline, usage_callback done)
{
    {
        const std::scoped_lock guard(m_mutex);
        const std::uint64_t ticket = ++m_nextTicket;
        m_batcher.add(m_agreedTime(), ticket, callerRequest.organisation, callerRequest.route.name,
                      usage);
        m_pendingUsage.emplace(ticket, pending_usage{deadline, std::move(done)});
    }
    if (m_batchInterval.count() == 0)
        m_wake.notify_one();
}

void caller_commits::commitUsage()
{
    std::unique_lock guard(m_mutex);
    while (true) {
        if (m_batchInterval.count() > 0)
            m_wake.wait_for(guard, m_batchInterval, [this] { return m_stopping; });
        const auto batch = m_batcher.next(m_agreedTime());
        if (!batch && m_stopping)
            return;
        if (!batch && m_batchInterval.count() == 0)
            m_wake.wait_for(guard, usageCheckInterval);
        if (!batch)
            continue;
        guard.unlock();
        commitBatch(*batch);
        expireUsage();
        guard.lock();
        if (m_stopping && m_pendingUsage.empty())
            return;
    }
}

/// A commit does not outlast the time at which its usage is given up.
kernel::instant caller_commits::commitDeadline() const
{
    const std::scoped_lock guard(m_mutex);
    const kernel::instant now = m_clock.now();
    const kernel::instant deadline = now + commitTimeout;
    return m_usageDeadline > now ? std::min(deadline, m_usageDeadline) : deadline;
}

void caller_commits::commitBatch(const kernel::state::command &batch)
{
    kernel::state::command_result answer;
    kernel::error problem;
    const bool answered = kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_ASSIGN(answer, m_control.submit(batch, commitDeadline()));
                return {};
            },
            problem);
    if (answered && answer.accepted) {
        std::vector<std::uint64_t> tickets;
        {
            const std::scoped_lock guard(m_mutex);
            tickets = m_batcher.committed();
        }
        completeUsage(tickets);
        return;
    }
    m_events.record(usageDelayed,
                    {{"batch", batch.operationId},
                     {"reason", answered ? answer.message : problem.message}});
    std::this_thread::sleep_for(retryDelay);
}

void caller_commits::completeUsage(const std::vector<std::uint64_t> &tickets)
{
    std::vector<usage_callback> finished;
    {
        const std::scoped_lock guard(m_mutex);
        for (const std::uint64_t ticket : tickets) {
            const auto found = m_pendingUsage.find(ticket);
            if (found == m_pendingUsage.end())
                continue;
            finished.push_back(std::move(found->second.done));
            m_pendingUsage.erase(found);
        }
    }
    for (const usage_callback &done : finished)
        done(true);
}

void caller_commits::expireUsage()
{
    std::vector<usage_callback> expired;
    {
        const std::scoped_lock guard(m_mutex);
        const kernel::instant now = m_clock.now();
        for (auto pending = m_pendingUsage.begin(); pending != m_pendingUsage.end();) {
            if (now < std::min(pending->second.deadline, m_usageDeadline)) {
                ++pending;
                continue;
            }
            expired.push_back(std::move(pending->second.done));
            pending = m_pendingUsage.erase(pending);
        }
    }
    for (const usage_callback &done : expired)
        done(false);
}

} // namespace yuccascale::http
