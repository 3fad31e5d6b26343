#include "yuccascale/http/caller_pools.hpp"

#include <functional>
#include <utility>

namespace yuccascale::http {

using namespace kernel::requests;

namespace {

constexpr kernel::seconds removedPoolRetryAfter{1};

[[nodiscard]] refusal noEndpoint()
{
    return {kernel::error_kind::Unavailable,
            "no endpoint of this route takes work; come back later", false, removedPoolRetryAfter};
}

[[nodiscard]] queue_limits limitsOf(const runtime::settings &settings)
{
    queue_limits limits;
    limits.window.prefillAheadTokens = static_cast<double>(settings.policy.prefillAhead);
    limits.assumeOthers = settings.policy.assumeOthers;
    limits.cheapNotice = settings.policy.cheapNotice;
    limits.retries.share = settings.promises.retryShare;
    limits.retries.burst = settings.promises.retryBurst;
    limits.retries.window = settings.promises.retryWindow;
    limits.retries.slowStart = settings.promises.sharedRetries;
    return limits;
}

[[nodiscard]] refusal tooLate(kernel::nanoseconds retryAfter)
{
    return {kernel::error_kind::Overloaded,
            "it waited so long that it can no longer be in time; come back later", false,
            retryAfter};
}

/// The pool's row with the endpoints that the platform lists for it.
[[nodiscard]] kernel::state::pool withListed(kernel::state::pool row,
                                             const kernel::feed::endpoint_list *listed)
{
    if (!row.discovered || listed == nullptr)
        return row;
    for (const kernel::feed::listed_endpoint &one : listed->endpoints) {
        if (one.pool == row.name)
            row.endpoints.push_back(one.row);
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

std::shared_ptr<caller_pools::shard> caller_pools::find(const std::string &pool) const
{
    const std::shared_lock guard(m_mutex);
    const auto found = m_shards.find(pool);
    return found == m_shards.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<caller_pools::shard>> caller_pools::all() const
{
    const std::shared_lock guard(m_mutex);
    std::vector<std::shared_ptr<shard>> shards;
    shards.reserve(m_shards.size());
    for (const auto &[name, pool] : m_shards)
        shards.push_back(pool);
    return shards;
}

std::shared_ptr<caller_pools::shard> caller_pools::findOrMake(const std::string &pool)
{
    if (std::shared_ptr<shard> known = find(pool))
        return known;
    std::shared_ptr<shard> made;
    kernel::error problem;
    const bool succeeded = kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_AUTO(strategies, makeStrategies(pool));
                made = std::make_shared<shard>(std::move(strategies), m_limits);
                return {};
            },
            problem);
    if (!succeeded)
        return nullptr; // make() has tried the same strategies
    const std::unique_lock guard(m_mutex);
    made->scheduler.setPosition(m_position);
    return m_shards.emplace(pool, made).first->second;
}

void caller_pools::setPosition(entry_position position)
{
    {
        const std::unique_lock guard(m_mutex);
        m_position = position;
    }
    for (const std::shared_ptr<shard> &pool : all()) {
        const std::scoped_lock guard(pool->mutex);
        pool->scheduler.setPosition(position);
    }
}

void caller_pools::setTables(const kernel::state::table_set &tables,
                             const kernel::feed::endpoint_list *listed)
{
    std::vector<listed_endpoint> endpoints;
    for (const auto &[name, operatorsRow] : tables.pools) {
        const std::shared_ptr<shard> pool = findOrMake(name);
        if (!pool)
            continue;
        const kernel::state::pool row = withListed(operatorsRow, listed);
        for (const kernel::state::endpoint &endpoint : row.endpoints)
            endpoints.push_back({name, endpoint.name, endpoint.address, row.kind});
        setRows(*pool, row);
    }
    std::map<std::string, std::shared_ptr<shard>> shards;
    {
        const std::unique_lock guard(m_mutex);
        m_endpoints = std::move(endpoints);
        shards = m_shards;
    }
    for (const auto &[name, pool] : shards) {
        if (!tables.pools.contains(name))
            setRows(*pool, {});
    }
}

void caller_pools::setRows(shard &pool, const kernel::state::pool &row)
{
    const std::scoped_lock guard(pool.mutex);
    pool.scheduler.setRows(row);
    giveTurns(pool);
}

void caller_pools::refuseWaiting(shard &pool, std::span<const std::uint64_t> tickets,
                                 const kernel::requests::refusal &reason)
{
    for (const std::uint64_t ticket : tickets) {
        const auto found = pool.mailboxes.find(ticket);
        found->second->put(event{queue_refused{reason}});
        pool.mailboxes.erase(found);
    }
}

void caller_pools::giveTurns(shard &pool)
{
    refuseWaiting(pool, pool.scheduler.takeUnservable(), noEndpoint());
    const auto late = pool.scheduler.takeLate(m_clock.now());
    if (!late.empty())
        refuseWaiting(pool, late, tooLate(pool.scheduler.retryAfter(m_clock.now())));
    for (endpoint_assignment &turn : pool.scheduler.schedule(m_clock.now())) {
        const auto found = pool.mailboxes.find(turn.ticket);
        found->second->put(std::move(turn));
        pool.mailboxes.erase(found);
    }
    endpoint_updates news = pool.scheduler.takeUpdates();
    if (!news.empty() && m_newsListener)
        m_newsListener(std::move(news));
}

std::optional<refusal> caller_pools::push(std::uint64_t ticket, const request &subject,
                                          double weight, const enqueue &how,
                                          std::shared_ptr<caller_mailbox> mailbox)
{
    const std::shared_ptr<shard> pool = find(subject.route.pool);
    if (!pool)
        return noEndpoint();
    const std::scoped_lock guard(pool->mutex);
    auto refused = pool->scheduler.push(m_clock.now(), ticket, subject, weight, how);
    if (refused)
        return refused;
    pool->mailboxes.emplace(ticket, std::move(mailbox));
    giveTurns(*pool);
    return std::nullopt;
}

void caller_pools::remove(const std::string &pool, std::uint64_t ticket)
{
    const std::shared_ptr<shard> found = find(pool);
    if (!found)
        return;
    const std::scoped_lock guard(found->mutex);
    if (found->mailboxes.erase(ticket) > 0) {
        found->scheduler.remove(ticket);
        return;
    }
    // its turn came meanwhile and nobody will take it
    attempt_result unused;
    unused.excludedFromHealth = true;
    found->scheduler.finish(m_clock.now(), ticket, unused);
    giveTurns(*found);
}

void caller_pools::firstPiece(const std::string &pool, std::uint64_t ticket)
{
    if (const std::shared_ptr<shard> found = find(pool)) {
        const std::scoped_lock guard(found->mutex);
        found->scheduler.firstPiece(m_clock.now(), ticket);
    }
}

void caller_pools::filled(const std::string &pool, std::uint64_t ticket, prefill_outcome how,
                          kernel::nanoseconds took)
{
    if (const std::shared_ptr<shard> found = find(pool)) {
        const std::scoped_lock guard(found->mutex);
        found->scheduler.prefillFinished(m_clock.now(), ticket, how, took);
    }
}

finish_findings caller_pools::finish(const std::string &pool, std::uint64_t ticket,
                                     const attempt_result &result)
{
    const std::shared_ptr<shard> found = find(pool);
    if (!found)
        return {};
    const std::scoped_lock guard(found->mutex);
    finish_findings findings = found->scheduler.finish(m_clock.now(), ticket, result);
    giveTurns(*found);
    return findings;
}

void caller_pools::stopFingerprint(const std::string &pool, const std::string &fingerprint)
{
    const std::shared_ptr<shard> found = find(pool);
    if (!found)
        return;
    const std::scoped_lock guard(found->mutex);
    for (const std::uint64_t ticket : found->scheduler.takeFingerprint(fingerprint)) {
        const auto mailbox = found->mailboxes.find(ticket);
        mailbox->second->put(event{request_banned{}});
        found->mailboxes.erase(mailbox);
    }
}

bool caller_pools::report(const std::string &pool, const std::string &endpoint,
                          const endpoint_report &report)
{
    const std::shared_ptr<shard> found = find(pool);
    if (!found)
        return false;
    const std::scoped_lock guard(found->mutex);
    const bool notice = found->scheduler.endpoints().report(endpoint, report);
    giveTurns(*found);
    return notice;
}

void caller_pools::setLeaving(const std::string &endpoint, bool leaving)
{
    for (const std::shared_ptr<shard> &pool : all()) {
        const std::scoped_lock guard(pool->mutex);
        pool->scheduler.endpoints().setLeaving(endpoint, leaving);
        giveTurns(*pool);
    }
}

std::vector<kernel::requests::pool_charge> caller_pools::takeCharges(std::size_t mostPerPool)
{
    std::vector<kernel::requests::pool_charge> out;
    const std::shared_lock guard(m_mutex);
    for (const auto &[name, pool] : m_shards) {
        const std::scoped_lock poolGuard(pool->mutex);
        for (auto &charge : pool->scheduler.charges().takeLargest(mostPerPool))
            out.push_back({name, std::move(charge.organisation), charge.cost});
    }
    return out;
}

std::vector<kernel::requests::demand_report> caller_pools::takeDemand()
{
    std::vector<kernel::requests::demand_report> out;
    const std::shared_lock guard(m_mutex);
    for (const auto &[name, pool] : m_shards) {
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
    const std::shared_ptr<shard> found = find(pool);
    if (!found)
        return out;
    const std::scoped_lock guard(found->mutex);
    for (const kernel::policy::endpoint_view &view :
         found->scheduler.endpoints().views(m_clock.now(), {}))
        out[view.row->name] = view.report;
    return out;
}

void caller_pools::chargedElsewhere(std::span<const kernel::requests::pool_charge> charges,
                                    const kernel::state::table_set &tables)
{
    for (const kernel::requests::pool_charge &charge : charges) {
        const std::shared_ptr<shard> pool = find(charge.pool);
        const auto organisation = tables.organisations.find(charge.organisation);
        if (!pool || organisation == tables.organisations.end())
            continue;
        const std::scoped_lock guard(pool->mutex);
        pool->scheduler.chargedElsewhere(charge.organisation, organisation->second.weight,
                                         charge.cost);
    }
}

std::vector<std::string> caller_pools::heardElsewhere(const endpoint_updates &news)
{
    std::vector<std::string> suspected;
    for (const placement &placed : news.placements) {
        if (const std::shared_ptr<shard> pool = find(placed.pool)) {
            const std::scoped_lock guard(pool->mutex);
            pool->scheduler.placedElsewhere(m_clock.now(), placed);
        }
    }
    for (const endpoint_failure &failure : news.failures) {
        if (const std::shared_ptr<shard> pool = find(failure.pool)) {
            const std::scoped_lock guard(pool->mutex);
            if (pool->scheduler.failedElsewhere(m_clock.now(), failure))
                suspected.push_back(failure.endpoint);
        }
    }
    return suspected;
}

void caller_pools::scheduleAll()
{
    for (const std::shared_ptr<shard> &pool : all()) {
        const std::scoped_lock guard(pool->mutex);
        giveTurns(*pool);
    }
}

std::vector<listed_endpoint> caller_pools::endpoints() const
{
    const std::shared_lock guard(m_mutex);
    return m_endpoints;
}

std::size_t caller_pools::waiting() const
{
    std::size_t sum = 0;
    for (const std::shared_ptr<shard> &pool : all()) {
        const std::scoped_lock guard(pool->mutex);
        sum += pool->scheduler.waiting();
    }
    return sum;
}

} // namespace yuccascale::http
