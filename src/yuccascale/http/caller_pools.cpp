#include "yuccascale/http/caller_pools.hpp"

#include "yuccascale/kernel/requests/key_check.hpp"

#include <functional>
#include <utility>

namespace yuccascale::http {

using namespace kernel::requests;

namespace {

constexpr kernel::seconds noEndpointRetryAfter{1};

[[nodiscard]] refusal noEndpointRefusal()
{
    return {kernel::error_kind::Unavailable, "no endpoint of this route accepts work; retry later",
            false, noEndpointRetryAfter};
}

[[nodiscard]] queue_limits limitsOf(const runtime::settings &settings)
{
    queue_limits limits;
    limits.window.prefillAheadTokens = static_cast<double>(settings.policy.prefillAhead);
    limits.assumeOthers = settings.policy.assumeOthers;
    limits.cheapNotice = settings.policy.cheapNotice;
    limits.drainNotice = settings.promises.drainNotice;
    limits.measureWork = settings.policy.capacity == runtime::capacity_policy::FollowDemand;
    limits.retries.share = settings.promises.retryShare;
    limits.retries.burst = settings.promises.retryBurst;
    limits.retries.window = settings.promises.retryWindow;
    limits.retries.slowStart = settings.promises.sharedRetries;
    return limits;
}

[[nodiscard]] refusal tooLateRefusal(kernel::nanoseconds retryAfter)
{
    return {kernel::error_kind::Overloaded,
            "the request was queued too long to meet its deadline; retry later", false, retryAfter};
}

/// The pool's row with the endpoints that the platform lists for it.
[[nodiscard]] kernel::state::pool
withListedEndpoints(kernel::state::pool row, const kernel::feed::endpoint_list *endpointList)
{
    if (!row.discovered || endpointList == nullptr)
        return row;
    for (const kernel::feed::listed_endpoint &listed : endpointList->endpoints) {
        if (listed.pool == row.name)
            row.endpoints.push_back(listed.row);
    }
    return row;
}

} // namespace

caller_pools::caller_pools(const runtime::settings &settings, const kernel::clock &clock,
                           std::uint64_t seed)
    : m_policy(settings.policy)
    , m_limits(limitsOf(settings))
    , m_clock(clock)
    , m_seed(seed)
{ }

kernel::result<std::unique_ptr<caller_pools>> caller_pools::make(const runtime::settings &settings,
                                                                 const kernel::clock &clock,
                                                                 std::uint64_t seed)
{
    std::unique_ptr<caller_pools> pools(new caller_pools(settings, clock, seed));
    BOOST_LEAF_CHECK(pools->makeStrategies({}));
    return pools;
}

kernel::result<pool_strategies> caller_pools::makeStrategies(const std::string &pool) const
{
    const std::uint64_t seed = std::hash<std::string>{}(pool) + m_seed;
    BOOST_LEAF_AUTO(router, kernel::policy::router_registry::make(m_policy.routing, seed));
    BOOST_LEAF_AUTO(admission, kernel::policy::admission_registry::make(m_policy.admission));
    BOOST_LEAF_AUTO(queue, kernel::policy::fair_queue_registry::make(m_policy.fairness));
    return pool_strategies{std::move(router), std::move(admission), std::move(queue)};
}

std::shared_ptr<caller_pools::guarded_pool> caller_pools::find(const std::string &pool) const
{
    const std::shared_lock guard(m_mutex);
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<caller_pools::guarded_pool>> caller_pools::allPools() const
{
    const std::shared_lock guard(m_mutex);
    std::vector<std::shared_ptr<guarded_pool>> pools;
    pools.reserve(m_pools.size());
    for (const auto &[name, pool] : m_pools)
        pools.push_back(pool);
    return pools;
}

std::shared_ptr<caller_pools::guarded_pool> caller_pools::findOrCreate(const std::string &pool)
{
    if (std::shared_ptr<guarded_pool> existing = find(pool))
        return existing;
    std::shared_ptr<guarded_pool> created;
    kernel::error problem;
    const bool succeeded = kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_AUTO(strategies, makeStrategies(pool));
                created = std::make_shared<guarded_pool>(pool, std::move(strategies), m_limits);
                return {};
            },
            problem);
    if (!succeeded)
        return nullptr; // cannot fail: make() has created the same strategies
    const std::unique_lock guard(m_mutex);
    created->scheduler.setPosition(m_clock.now(), m_position);
    return m_pools.emplace(pool, created).first->second;
}

void caller_pools::setPosition(entry_position position)
{
    {
        const std::unique_lock guard(m_mutex);
        m_position = position;
    }
    for (const std::shared_ptr<guarded_pool> &pool : allPools()) {
        const std::scoped_lock guard(pool->mutex);
        pool->scheduler.setPosition(m_clock.now(), position);
    }
}

void caller_pools::setTables(const kernel::state::table_set &tables,
                             const kernel::feed::endpoint_list *endpointList)
{
    std::vector<polled_endpoint> endpoints;
    for (const auto &[name, tableRow] : tables.pools) {
        const std::shared_ptr<guarded_pool> pool = findOrCreate(name);
        if (!pool)
            continue;
        const kernel::state::pool row = withListedEndpoints(tableRow, endpointList);
        for (const kernel::state::endpoint &endpoint : row.endpoints)
            endpoints.push_back({name, endpoint.name, endpoint.address, row.kind, endpoint.zone});
        setRows(*pool, row);
    }
    std::map<std::string, std::shared_ptr<guarded_pool>> pools;
    {
        const std::unique_lock guard(m_mutex);
        m_endpoints = std::move(endpoints);
        pools = m_pools;
    }
    for (const auto &[name, pool] : pools) {
        if (!tables.pools.contains(name))
            setRows(*pool, {});
    }
}

/// A view holds the newest tables and the newest list of its time, so of two views one is the
/// newer.
void caller_pools::apply(const kernel::control_view &view)
{
    if (!view.tables)
        return;
    const std::uint64_t listVersion = view.endpoints ? view.endpoints->version : 0;
    const std::scoped_lock guard(m_applyMutex);
    const bool newer = !m_applied || view.tables->revision > m_applied->revision
            || listVersion > m_applied->listVersion;
    if (newer) {
        m_applied = {view.tables->revision, listVersion, {}};
        setTables(*view.tables, view.endpoints.get());
    }
    if (newer || view.endpointsAskedAt > m_applied->listAskedAt) {
        m_applied->listAskedAt = view.endpointsAskedAt;
        setListAskedAt(view.endpointsAskedAt);
    }
}

void caller_pools::setListAskedAt(std::optional<kernel::instant> askedAt)
{
    for (const std::shared_ptr<guarded_pool> &pool : allPools()) {
        const std::scoped_lock guard(pool->mutex);
        pool->scheduler.endpoints().setListAskedAt(askedAt);
    }
}

endpoint_standing caller_pools::standing(const std::string &pool,
                                         const endpoint_assignment &assignment,
                                         bool withPrefill) const
{
    const std::shared_ptr<guarded_pool> found = find(pool);
    if (!found)
        return endpoint_standing::Gone;
    const std::scoped_lock guard(found->mutex);
    return found->scheduler.standing(assignment, withPrefill);
}

void caller_pools::setRows(guarded_pool &pool, const kernel::state::pool &row)
{
    const std::scoped_lock guard(pool.mutex);
    pool.scheduler.setRows(row);
    runScheduler(pool);
}

std::optional<kernel::nanoseconds> caller_pools::longestAnswer(const std::string &pool,
                                                               const std::string &route) const
{
    const std::shared_ptr<guarded_pool> found = find(pool);
    if (!found)
        return std::nullopt;
    const std::scoped_lock guard(found->mutex);
    return found->scheduler.longestAnswer(m_clock.now(), route);
}

void caller_pools::refuseWaiting(guarded_pool &pool, std::span<const std::uint64_t> tickets,
                                 const kernel::requests::refusal &reason)
{
    for (const std::uint64_t ticket : tickets) {
        const auto found = pool.mailboxes.find(ticket);
        found->second->post(event{queue_refused{reason}});
        pool.mailboxes.erase(found);
    }
}

void caller_pools::refuseCrashCauses(guarded_pool &pool)
{
    const std::vector<part_set> causes = pool.scheduler.takeCrashCauses(m_clock.now());
    if (causes.empty())
        return;
    for (const part_set &cause : causes) {
        if (m_crashCauseListener)
            m_crashCauseListener(pool.name, cause);
    }
    refuseWaiting(pool, pool.scheduler.takeBanned(m_clock.now()), bannedRefusal());
}

void caller_pools::runScheduler(guarded_pool &pool)
{
    refuseCrashCauses(pool);
    refuseWaiting(pool, pool.scheduler.takeUnservable(), noEndpointRefusal());
    const auto lateTickets = pool.scheduler.takeLate(m_clock.now());
    if (!lateTickets.empty())
        refuseWaiting(pool, lateTickets, tooLateRefusal(pool.scheduler.retryAfter(m_clock.now())));
    for (endpoint_assignment &assignment : pool.scheduler.schedule(m_clock.now())) {
        const auto found = pool.mailboxes.find(assignment.ticket);
        found->second->post(std::move(assignment));
        pool.mailboxes.erase(found);
    }
    sendUpdates(pool);
}

void caller_pools::sendUpdates(guarded_pool &pool)
{
    endpoint_updates updates = pool.scheduler.takeUpdates();
    if (!updates.empty() && m_endpointUpdateListener)
        m_endpointUpdateListener(std::move(updates));
}

std::optional<refusal> caller_pools::push(std::uint64_t ticket, const request &callerRequest,
                                          double weight, const enqueue &options,
                                          std::shared_ptr<caller_mailbox> mailbox)
{
    const std::shared_ptr<guarded_pool> pool = find(callerRequest.route.pool);
    if (!pool)
        return noEndpointRefusal();
    const std::scoped_lock guard(pool->mutex);
    auto refused = pool->scheduler.push(m_clock.now(), ticket, callerRequest, weight, options);
    if (refused)
        return refused;
    pool->mailboxes.emplace(ticket, std::move(mailbox));
    runScheduler(*pool);
    return std::nullopt;
}

void caller_pools::remove(const std::string &pool, std::uint64_t ticket)
{
    const std::shared_ptr<guarded_pool> found = find(pool);
    if (!found)
        return;
    const std::scoped_lock guard(found->mutex);
    if (found->mailboxes.erase(ticket) > 0) {
        found->scheduler.remove(ticket);
        return;
    }
    // an endpoint was assigned before the removal; the request is not sent, so release the endpoint
    attempt_result notSent;
    notSent.excludedFromHealth = true;
    found->scheduler.finish(m_clock.now(), ticket, notSent);
    runScheduler(*found);
}

void caller_pools::firstPieceArrived(const std::string &pool, std::uint64_t ticket)
{
    if (const std::shared_ptr<guarded_pool> found = find(pool)) {
        const std::scoped_lock guard(found->mutex);
        found->scheduler.firstPieceArrived(m_clock.now(), ticket);
    }
}

void caller_pools::prefillFinished(const std::string &pool, std::uint64_t ticket,
                                   prefill_outcome outcome, kernel::nanoseconds prefillTime)
{
    if (const std::shared_ptr<guarded_pool> found = find(pool)) {
        const std::scoped_lock guard(found->mutex);
        found->scheduler.prefillFinished(m_clock.now(), ticket, outcome, prefillTime);
    }
}

finish_findings caller_pools::finish(const std::string &pool, std::uint64_t ticket,
                                     const attempt_result &result)
{
    const std::shared_ptr<guarded_pool> found = find(pool);
    if (!found)
        return {};
    const std::scoped_lock guard(found->mutex);
    finish_findings findings = found->scheduler.finish(m_clock.now(), ticket, result);
    runScheduler(*found);
    return findings;
}

void caller_pools::stopFingerprint(const std::string &pool, const std::string &fingerprint)
{
    const std::shared_ptr<guarded_pool> found = find(pool);
    if (!found)
        return;
    const std::scoped_lock guard(found->mutex);
    for (const std::uint64_t ticket : found->scheduler.takeFingerprint(fingerprint)) {
        const auto mailbox = found->mailboxes.find(ticket);
        mailbox->second->post(event{request_banned{}});
        found->mailboxes.erase(mailbox);
    }
}

bool caller_pools::report(const std::string &pool, const std::string &endpoint,
                          const endpoint_report &report)
{
    const std::shared_ptr<guarded_pool> found = find(pool);
    if (!found)
        return false;
    const std::scoped_lock guard(found->mutex);
    const bool notice = found->scheduler.endpoints().report(endpoint, report);
    runScheduler(*found);
    return notice;
}

notice_effect caller_pools::applyNotice(const std::string &pool, const std::string &endpoint,
                                        const endpoint_notice &notice)
{
    const std::shared_ptr<guarded_pool> found = find(pool);
    if (!found)
        return {};
    const std::scoped_lock guard(found->mutex);
    const notice_effect effect
            = found->scheduler.applyNotice(m_clock.now(), pool, endpoint, notice);
    if (effect.leaving || effect.limitChanged)
        runScheduler(*found);
    sendUpdates(*found);
    return effect;
}

void caller_pools::setLeaving(const std::string &endpoint, bool leaving)
{
    for (const std::shared_ptr<guarded_pool> &pool : allPools()) {
        const std::scoped_lock guard(pool->mutex);
        pool->scheduler.endpoints().setLeaving(endpoint, leaving);
        runScheduler(*pool);
    }
}

std::vector<kernel::requests::pool_charge> caller_pools::takeCharges(std::size_t maxPerPool)
{
    std::vector<kernel::requests::pool_charge> out;
    const std::shared_lock guard(m_mutex);
    for (const auto &[name, pool] : m_pools) {
        const std::scoped_lock poolGuard(pool->mutex);
        for (auto &charge : pool->scheduler.charges().takeLargest(maxPerPool))
            out.push_back({name, std::move(charge.organisation), charge.cost});
    }
    return out;
}

std::vector<kernel::requests::demand_report> caller_pools::takeDemand()
{
    std::vector<kernel::requests::demand_report> out;
    const std::shared_lock guard(m_mutex);
    for (const auto &[name, pool] : m_pools) {
        const std::scoped_lock poolGuard(pool->mutex);
        out.push_back(pool->scheduler.takeDemand(m_clock.now()));
        out.back().pool = name;
    }
    return out;
}

std::map<std::string, kernel::policy::load_report>
caller_pools::loads(const std::string &pool) const
{
    std::map<std::string, kernel::policy::load_report> out;
    const std::shared_ptr<guarded_pool> found = find(pool);
    if (!found)
        return out;
    const std::scoped_lock guard(found->mutex);
    for (const kernel::policy::endpoint_view &view :
         found->scheduler.endpoints().views(m_clock.now(), {}))
        out[view.row->name] = view.report;
    return out;
}

void caller_pools::applyCharges(std::span<const kernel::requests::pool_charge> charges,
                                const kernel::state::table_set &tables)
{
    for (const kernel::requests::pool_charge &charge : charges) {
        const std::shared_ptr<guarded_pool> pool = find(charge.pool);
        const auto organisation = tables.organisations.find(charge.organisation);
        if (!pool || organisation == tables.organisations.end())
            continue;
        const std::scoped_lock guard(pool->mutex);
        pool->scheduler.applyRemoteCharge(charge.organisation, organisation->second.weight,
                                          charge.cost);
    }
}

std::vector<std::string> caller_pools::applyEndpointUpdates(const endpoint_updates &updates)
{
    std::vector<std::string> suspected;
    for (const placement &placed : updates.placements) {
        if (const std::shared_ptr<guarded_pool> pool = find(placed.pool)) {
            const std::scoped_lock guard(pool->mutex);
            pool->scheduler.applyRemotePlacement(m_clock.now(), placed);
        }
    }
    for (const endpoint_failure &failure : updates.failures) {
        if (const std::shared_ptr<guarded_pool> pool = find(failure.pool)) {
            const std::scoped_lock guard(pool->mutex);
            if (pool->scheduler.applyRemoteFailure(m_clock.now(), failure))
                suspected.push_back(failure.endpoint);
        }
    }
    for (const endpoint_crash &crash : updates.crashes) {
        if (const std::shared_ptr<guarded_pool> pool = find(crash.pool)) {
            const std::scoped_lock guard(pool->mutex);
            pool->scheduler.applyRemoteCrash(m_clock.now(), crash);
            refuseCrashCauses(*pool);
        }
    }
    for (const cleared_parts &cleared : updates.cleared) {
        if (const std::shared_ptr<guarded_pool> pool = find(cleared.pool)) {
            const std::scoped_lock guard(pool->mutex);
            pool->scheduler.applyRemoteCleared(cleared);
            refuseCrashCauses(*pool);
        }
    }
    for (const endpoint_leaving &leaving : updates.leaving) {
        if (const std::shared_ptr<guarded_pool> pool = find(leaving.pool)) {
            const std::scoped_lock guard(pool->mutex);
            const endpoint_notice notice{true, {}, {}};
            static_cast<void>(pool->scheduler.endpoints().applyNotice(m_clock.now(),
                                                                      leaving.endpoint, notice));
        }
    }
    for (const endpoint_limit &limit : updates.limits) {
        if (const std::shared_ptr<guarded_pool> pool = find(limit.pool)) {
            const std::scoped_lock guard(pool->mutex);
            pool->scheduler.endpoints().applyRemoteLimit(m_clock.now(), limit.endpoint,
                                                         limit.requestsPerSecond);
        }
    }
    return suspected;
}

void caller_pools::scheduleAll()
{
    for (const std::shared_ptr<guarded_pool> &pool : allPools()) {
        const std::scoped_lock guard(pool->mutex);
        runScheduler(*pool);
    }
}

std::vector<polled_endpoint> caller_pools::endpoints() const
{
    const std::shared_lock guard(m_mutex);
    return m_endpoints;
}

std::size_t caller_pools::waiting() const
{
    std::size_t sum = 0;
    for (const std::shared_ptr<guarded_pool> &pool : allPools()) {
        const std::scoped_lock guard(pool->mutex);
        sum += pool->scheduler.waiting();
    }
    return sum;
}

} // namespace yuccascale::http
