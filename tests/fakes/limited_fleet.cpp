#include "fakes/limited_fleet.hpp"

#include "yuccascale/wire/load_codec.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::fakes {

using namespace kernel::requests;
using kernel::instant;
using kernel::milliseconds;
using kernel::nanoseconds;
using kernel::seconds;

namespace {

constexpr const char *poolName = "engines";
constexpr milliseconds stepTime{5};
constexpr milliseconds messageTime{5};
/// Until the entries that are left notice that one was lost or started.
constexpr milliseconds membershipTime{1'200};
constexpr milliseconds headTime{60};
constexpr milliseconds answerTime{200};
constexpr seconds deadlineTime{4};
/// A request that is refused later than this had been kept waiting.
constexpr milliseconds atOnceTime{100};

/// \name The promise to endpoints that name a limit
/// @{
constexpr seconds settleTime{3};      ///< from the first answer with a limit
constexpr milliseconds toldTime{500}; ///< an entry is bound this long after it saw the limit
constexpr seconds judgedWindow{4};    ///< any span of this length counts
constexpr double toleratedFactor = 1.5;
constexpr double toleratedRequests = 5; ///< beyond the factor
/// @}

[[nodiscard]] std::string nameOf(std::size_t endpoint)
{
    return "e" + std::to_string(endpoint);
}

} // namespace

limited_fleet::limited_fleet(const limited_fleet_plan &plan)
    : m_plan(plan)
    , m_random(plan.seed)
    , m_driver(endpoint_driver_registry::make("platform").value())
    , m_endpoints(plan.endpoints)
{
    m_clock.advance(seconds(100));
    m_settings.policy.routing = "prompt_homes";
    m_settings.policy.admission = "deadline";
    m_settings.policy.fairness = "fair_share";
    m_settings.policy.assumeOthers = false;
    m_settings.promises.retryBurst = 1'000;
    m_entries.resize(plan.entries);
    for (std::size_t entry = 0; entry < plan.entries; ++entry)
        start(entry);
    setPositions();
}

kernel::state::table_set limited_fleet::tables() const
{
    kernel::state::table_set out;
    kernel::state::pool &pool = out.pools[poolName];
    pool.name = poolName;
    for (std::size_t index = 0; index < m_plan.endpoints; ++index) {
        kernel::state::endpoint row;
        row.name = nameOf(index);
        row.address = row.name;
        row.zone = "z" + std::to_string(index % 3);
        pool.endpoints.push_back(row);
    }
    return out;
}

void limited_fleet::start(std::size_t entry)
{
    const auto life = std::make_shared<entry_life>();
    life->pools = http::caller_pools::make(m_settings, m_clock, m_random()).value();
    life->toldAt.resize(m_plan.endpoints);
    life->pools->setTables(tables(), nullptr);
    life->pools->setEndpointUpdateListener(
            [this, entry](const endpoint_updates &updates) { post(entry, updates); });
    m_entries[entry] = life;
}

void limited_fleet::setPositions()
{
    const auto running = static_cast<int>(
            std::ranges::count_if(m_entries, [](const auto &entry) { return entry != nullptr; }));
    int index = 0;
    for (const std::shared_ptr<entry_life> &entry : m_entries) {
        if (entry)
            entry->pools->setPosition({index++, running});
    }
}

void limited_fleet::nameLimit(std::size_t endpoint, const std::string &requestsPerSecond)
{
    simulated_endpoint &target = m_endpoints[endpoint];
    const instant now = m_clock.now();
    if (!target.limit.empty())
        target.limits.back().to = now;
    target.limit = requestsPerSecond;
    if (!requestsPerSecond.empty())
        target.limits.push_back({now, instant::max(), std::stod(requestsPerSecond)});
}

void limited_fleet::kill(std::size_t entry)
{
    const std::shared_ptr<entry_life> life = std::exchange(m_entries[entry], nullptr);
    std::erase_if(m_sent, [&](const sent_request &one) { return one.entry == life; });
    std::erase_if(m_waiting, [&](const auto &one) { return one.second.entry == life; });
    m_positionsDueAt = m_clock.now() + membershipTime;
}

void limited_fleet::restart(std::size_t entry)
{
    start(entry);
    // knows only itself until its first reply from a control node
    m_entries[entry]->pools->setPosition({0, 1});
    m_positionsDueAt = m_clock.now() + membershipTime;
}

void limited_fleet::run(nanoseconds time)
{
    const instant until = m_clock.now() + time;
    while (m_clock.now() < until)
        step();
}

void limited_fleet::step()
{
    m_clock.advance(stepTime);
    if (m_positionsDueAt && *m_positionsDueAt <= m_clock.now()) {
        m_positionsDueAt.reset();
        setPositions();
    }
    deliverMessages();
    for (std::size_t index = 0; index < m_sent.size(); ++index)
        answer(m_sent[index]);
    const auto ended = std::partition(m_sent.begin(), m_sent.end(), [&](const sent_request &one) {
        return one.endAt > m_clock.now();
    });
    const std::vector<sent_request> finished(ended, m_sent.end());
    m_sent.erase(ended, m_sent.end());
    for (const sent_request &one : finished)
        end(one);
    submit();
    for (const std::shared_ptr<entry_life> &entry : m_entries) {
        if (entry && entry->pools->waiting() > 0)
            entry->pools->scheduleAll();
    }
    m_loop.restart();
    m_loop.poll();
    endWaiting();
}

request limited_fleet::newRequest() const
{
    request out;
    out.id = "r" + std::to_string(m_lastTicket + 1);
    out.endpointId = out.id;
    out.fingerprint = out.id;
    out.organisation = "o";
    out.route.name = "query";
    out.route.pool = poolName;
    out.promptTokens = 300;
    out.outputTokens = 8;
    out.receivedAt = m_clock.now();
    out.deadline = out.receivedAt + deadlineTime;
    return out;
}

void limited_fleet::submit()
{
    m_owedRequests += m_plan.offeredRate * std::chrono::duration<double>(stepTime).count();
    for (; m_owedRequests >= 1; m_owedRequests -= 1) {
        const std::shared_ptr<entry_life> &entry = m_entries[m_random() % m_entries.size()];
        if (!entry)
            continue;
        push(entry, newRequest(), {});
    }
}

void limited_fleet::push(const std::shared_ptr<entry_life> &entry, const request &subject,
                         const enqueue &options)
{
    const std::uint64_t ticket = ++m_lastTicket;
    const auto mailbox = std::make_shared<http::caller_mailbox>(
            m_loop, [this, ticket](const http::caller_mailbox::message &message) {
                handle(ticket, message);
            });
    m_waiting[ticket] = {entry, subject, mailbox};
    if (!entry->pools->push(ticket, subject, 1.0, options, mailbox))
        return;
    m_waiting.erase(ticket);
    ++m_refused;
}

void limited_fleet::handle(std::uint64_t ticket, const http::caller_mailbox::message &message)
{
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end())
        return;
    const waiting_request waiting = found->second;
    m_waiting.erase(found);
    if (const auto *assigned = std::get_if<endpoint_assignment>(&message))
        return arrive(waiting, *assigned);
    ++m_refused;
    if (m_clock.now() - waiting.request.receivedAt > atOnceTime)
        ++m_refusedLate;
}

void limited_fleet::endWaiting()
{
    std::vector<std::uint64_t> late;
    for (const auto &[ticket, waiting] : m_waiting) {
        if (waiting.request.deadline <= m_clock.now())
            late.push_back(ticket);
    }
    for (const std::uint64_t ticket : late) {
        m_waiting.at(ticket).entry->pools->remove(poolName, ticket);
        m_waiting.erase(ticket);
        ++m_refused;
        ++m_refusedLate;
    }
}

void limited_fleet::arrive(const waiting_request &sent, const endpoint_assignment &target)
{
    const instant now = m_clock.now();
    const std::size_t endpoint = std::stoul(target.endpoint.substr(1));
    const std::optional<instant> toldAt = sent.entry->toldAt[endpoint];
    m_endpoints[endpoint].arrivals.push_back({now, toldAt && *toldAt + toldTime <= now});
    const bool notRun = chance(m_plan.notRunShare);
    m_sent.push_back({sent.entry, target.ticket, endpoint, now + headTime,
                      now + (notRun ? headTime : answerTime), false, notRun});
}

/// Hands the head of an answer to its entry.
void limited_fleet::answer(sent_request &sent)
{
    if (sent.headSeen || sent.headAt > m_clock.now())
        return;
    sent.headSeen = true;
    answer_head head;
    head.status = sent.notRun ? 503 : 200;
    const std::string &limit = m_endpoints[sent.endpoint].limit;
    if (!limit.empty())
        head.headers.push_back({"Server-Limit", limit});
    std::optional<instant> &toldAt = sent.entry->toldAt[sent.endpoint];
    if (limit.empty())
        toldAt.reset();
    else if (!toldAt)
        toldAt = m_clock.now();
    static_cast<void>(sent.entry->pools->applyNotice(poolName, nameOf(sent.endpoint),
                                                     m_driver->notice(head)));
}

void limited_fleet::end(const sent_request &sent)
{
    attempt_result result;
    result.answered = !sent.notRun;
    result.excludedFromHealth = sent.notRun;
    result.timeToFirstToken = headTime;
    result.totalTime = answerTime;
    static_cast<void>(sent.entry->pools->finish(poolName, sent.ticket, result));
    if (!sent.notRun)
        return;
    push(sent.entry, newRequest(), {true, false, true, {nameOf(sent.endpoint)}, {}});
}

void limited_fleet::post(std::size_t from, const endpoint_updates &updates)
{
    const std::string bytes = wire::encodeLoad({{}, updates});
    for (std::size_t to = 0; to < m_entries.size(); ++to) {
        if (to != from && m_entries[to] && !chance(m_plan.lostMessageShare))
            m_messages.push_back({m_clock.now() + messageTime, to, bytes});
    }
}

void limited_fleet::deliverMessages()
{
    while (!m_messages.empty() && m_messages.front().at <= m_clock.now()) {
        const message_in_transit message = std::move(m_messages.front());
        m_messages.pop_front();
        if (m_entries[message.to])
            m_entries[message.to]->pools->applyEndpointUpdates(
                    wire::decodeLoad(message.bytes).updates);
    }
}

bool limited_fleet::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

std::vector<std::string> limited_fleet::violations() const
{
    std::vector<std::string> out;
    for (std::size_t index = 0; index < m_endpoints.size(); ++index) {
        const simulated_endpoint &endpoint = m_endpoints[index];
        for (const named_limit &limit : endpoint.limits) {
            const double allowed = toleratedFactor * limit.requestsPerSecond
                            * std::chrono::duration<double>(judgedWindow).count()
                    + toleratedRequests;
            std::deque<instant> window;
            std::size_t most = 0;
            for (const arrival &one : endpoint.arrivals) {
                if (!one.told || one.at < limit.from + settleTime || one.at >= limit.to)
                    continue;
                window.push_back(one.at);
                while (window.front() + judgedWindow <= one.at)
                    window.pop_front();
                most = std::max(most, window.size());
            }
            if (static_cast<double>(most) > allowed)
                out.push_back(nameOf(index) + " named " + std::to_string(limit.requestsPerSecond)
                              + " a second and got " + std::to_string(most)
                              + " requests in 4 s; tolerated " + std::to_string(allowed));
        }
    }
    return out;
}

} // namespace yuccascale::fakes
