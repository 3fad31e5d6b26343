#include "yuccascale/http/caller_commits.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::http {

namespace {

using namespace kernel::requests;
using kernel::milliseconds;

constexpr std::size_t backgroundThreads = 16;
constexpr milliseconds claimTimeout{1'000};
constexpr milliseconds commitTimeout{1'000};
constexpr milliseconds retryPause{50};
constexpr milliseconds usageCheckInterval{100};
/// Attempts to settle or ban before giving up; the log itself ends claims of an entry that is gone.
constexpr int maxCommitAttempts = 600;
constexpr std::chrono::minutes banLife{60};
/// Marks of an entry without answers, per usage window.
constexpr int marksPerWindow = 10;

} // namespace

caller_commits::caller_commits(std::string entry, const runtime::platform_settings &platform,
                               const kernel::clock &clock,
                               std::function<kernel::wall_time()> trueTime,
                               kernel::control_client &control, kernel::event_sink &events)
    : m_entry(std::move(entry))
    , m_batchTime(platform.usageBatch)
    , m_clock(clock)
    , m_trueTime(std::move(trueTime))
    , m_control(control)
    , m_events(events)
    , m_batcher(m_entry, platform.usageWindow, platform.usageWindow / marksPerWindow)
    , m_background(backgroundThreads)
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

void caller_commits::giveUpAt(kernel::instant when)
{
    const std::scoped_lock guard(m_mutex);
    m_giveUpAt = when;
}

bool caller_commits::stopping() const
{
    const std::scoped_lock guard(m_mutex);
    return m_stopping;
}

kernel::state::command caller_commits::claimCommand(const request &subject,
                                                    const std::string &operationId) const
{
    kernel::state::claim_request claim;
    claim.organisation = subject.organisation;
    claim.route = subject.route.name;
    claim.idempotencyKey = subject.idempotencyKey;
    claim.fingerprint = subject.fingerprint;
    claim.entry = m_entry;
    claim.wallMs = m_clock.wallNow().time_since_epoch().count();
    return {operationId, claim};
}

void caller_commits::claim(const request &subject, const std::string &operationId,
                           std::function<void(claim_outcome)> done)
{
    m_background.run([this, subject, operationId, done = std::move(done)] {
        done(claimNow(subject, operationId));
    });
}

claim_outcome caller_commits::claimNow(const request &subject, const std::string &operationId)
{
    kernel::state::command_result answer;
    kernel::error problem;
    const kernel::instant deadline = std::min(subject.deadline, m_clock.now() + claimTimeout);
    const bool answered = kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_ASSIGN(answer,
                                  m_control.submit(claimCommand(subject, operationId), deadline));
                return {};
            },
            problem);
    const milliseconds routeDeadline(subject.route.deadlineMs);
    claim_outcome verdict = answered ? claimOutcome(answer, m_clock.wallNow(), routeDeadline)
                                     : claimOutcome(problem);
    m_events.record(claimDecided,
                    {{"request_id", subject.id},
                     {"route", subject.route.name},
                     {"organisation", subject.organisation},
                     {"claim", claimStateName(verdict.state)}});
    return verdict;
}

bool caller_commits::submitUntilKnown(const kernel::state::command &command)
{
    for (int attempt = 0; attempt < maxCommitAttempts; ++attempt) {
        kernel::error problem;
        const bool known = kernel::succeeded(
                [&]() -> kernel::result<void> {
                    BOOST_LEAF_CHECK(m_control.submit(command, m_clock.now() + commitTimeout));
                    return {};
                },
                problem);
        if (known)
            return true;
        if (stopping() && problem.kind == kernel::error_kind::Unavailable)
            return false;
        std::this_thread::sleep_for(retryPause);
    }
    return false;
}

void caller_commits::settle(const request &subject, const std::string &operationId,
                            kernel::state::claim_end end, const complete_answer &answer)
{
    kernel::state::settle_claim settlement;
    settlement.organisation = subject.organisation;
    settlement.route = subject.route.name;
    settlement.idempotencyKey = subject.idempotencyKey;
    settlement.entry = m_entry;
    settlement.claimOperation = operationId;
    settlement.end = end;
    settlement.status = answer.status;
    settlement.contentType = answer.contentType;
    settlement.answer = answer.body;
    m_background.run(
            [this, id = subject.id,
             command = kernel::state::command{operationId + "/settle", std::move(settlement)}] {
                if (submitUntilKnown(command))
                    m_events.record(claimSettled, {{"request_id", id}});
            });
}

void caller_commits::withdraw(const request &subject, const std::string &operationId)
{
    m_background.run([this, subject, operationId] {
        if (submitUntilKnown(claimCommand(subject, operationId)))
            settle(subject, operationId, kernel::state::claim_end::NotRun, {});
    });
}

void caller_commits::ban(const std::string &fingerprint, const std::string &route)
{
    kernel::state::ban_fingerprint ban;
    ban.fingerprint = fingerprint;
    ban.route = route;
    ban.untilWallMs = (m_clock.wallNow() + banLife).time_since_epoch().count();
    const std::string operationId
            = "ban/" + m_entry + "/" + fingerprint + "/" + std::to_string(ban.untilWallMs);
    m_background.run([this, command = kernel::state::command{operationId, std::move(ban)}] {
        static_cast<void>(submitUntilKnown(command));
    });
}

void caller_commits::recordUsage(const request &subject, const token_usage &usage,
                                 kernel::instant deadline, usage_waiter done)
{
    {
        const std::scoped_lock guard(m_mutex);
        const std::uint64_t ticket = ++m_nextTicket;
        m_batcher.add(m_trueTime(), ticket, subject.organisation, subject.route.name, usage);
        m_waiters.emplace(ticket, waiting_usage{deadline, std::move(done)});
    }
    if (m_batchTime.count() == 0)
        m_wake.notify_one();
}

void caller_commits::commitUsage()
{
    std::unique_lock guard(m_mutex);
    while (true) {
        if (m_batchTime.count() > 0)
            m_wake.wait_for(guard, m_batchTime, [this] { return m_stopping; });
        const auto batch = m_batcher.next(m_trueTime());
        if (!batch && m_stopping)
            return;
        if (!batch && m_batchTime.count() == 0)
            m_wake.wait_for(guard, usageCheckInterval);
        if (!batch)
            continue;
        guard.unlock();
        commitBatch(*batch);
        expireWaiters();
        guard.lock();
        if (m_stopping && m_waiters.empty())
            return;
    }
}

void caller_commits::commitBatch(const kernel::state::command &batch)
{
    kernel::state::command_result answer;
    kernel::error problem;
    const bool known = kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_ASSIGN(answer, m_control.submit(batch, m_clock.now() + commitTimeout));
                return {};
            },
            problem);
    if (known && answer.accepted) {
        std::vector<std::uint64_t> tickets;
        {
            const std::scoped_lock guard(m_mutex);
            tickets = m_batcher.committed();
        }
        finishWaiters(tickets);
        return;
    }
    m_events.record(
            usageDelayed,
            {{"batch", batch.operationId}, {"reason", known ? answer.message : problem.message}});
    std::this_thread::sleep_for(retryPause);
}

void caller_commits::finishWaiters(const std::vector<std::uint64_t> &tickets)
{
    std::vector<usage_waiter> finished;
    {
        const std::scoped_lock guard(m_mutex);
        for (const std::uint64_t ticket : tickets) {
            const auto found = m_waiters.find(ticket);
            if (found == m_waiters.end())
                continue;
            finished.push_back(std::move(found->second.done));
            m_waiters.erase(found);
        }
    }
    for (const usage_waiter &done : finished)
        done(true);
}

void caller_commits::expireWaiters()
{
    std::vector<usage_waiter> expired;
    {
        const std::scoped_lock guard(m_mutex);
        const kernel::instant now = m_clock.now();
        for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
            if (now < std::min(waiter->second.deadline, m_giveUpAt)) {
                ++waiter;
                continue;
            }
            expired.push_back(std::move(waiter->second.done));
            waiter = m_waiters.erase(waiter);
        }
    }
    for (const usage_waiter &done : expired)
        done(false);
}

} // namespace yuccascale::http
