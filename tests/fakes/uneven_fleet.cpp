#include "fakes/uneven_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <span>

namespace yuccascale::fakes {

using namespace kernel;
using namespace kernel::requests;

namespace {

constexpr instant start{seconds(100)};
constexpr double prefillTokensPerSecond = 48'200;
constexpr double stepSeconds = 0.012;
constexpr double fetchSecondsPerToken = 2e-6;
constexpr std::int64_t longShared = 13'300;
constexpr std::int64_t longOwn = 3'720;
constexpr std::int64_t shortShared = 92;
constexpr std::int64_t shortOwn = 291;
constexpr int longOutput = 7;
constexpr int shortOutput = 3;
constexpr std::uint64_t sharedParts = 60;
constexpr milliseconds messageDelay{3};
constexpr milliseconds exchangeInterval{500};
constexpr milliseconds scheduleInterval{50};

[[nodiscard]] nanoseconds toDuration(double time)
{
    return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(time));
}

[[nodiscard]] double toSeconds(nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

struct slow_interval
{
    instant from{};
    instant to{};
};

struct work_times
{
    instant begin{};
    instant first{};
    instant end{};
};

/// An endpoint that prefills one prompt at a time and works off requests in its slots.
class uneven_endpoint
{
public:
    uneven_endpoint(const uneven_options &options, double speed, std::uint64_t seed)
        : m_options(options)
        , m_speed(speed)
        , m_slotFreeAt(static_cast<std::size_t>(options.slots), start)
    {
        std::mt19937_64 random(seed);
        const double slow = toSeconds(options.slowTime);
        std::exponential_distribution<double> gap(options.slowShare
                                                  / (slow * (1 - options.slowShare)));
        instant at = start;
        while (options.slowShare > 0 && at < start + 4 * options.duration) {
            at += toDuration(gap(random));
            m_slow.push_back({at, at + options.slowTime});
            at += options.slowTime;
        }
    }

    [[nodiscard]] double pace(instant now) const
    {
        const bool slow = std::ranges::any_of(
                m_slow, [now](const auto &one) { return one.from <= now && now < one.to; });
        return slow ? m_options.slowFactor : 1.0;
    }

    /// \returns when work that takes this long at the usual pace and speed 1 ends.
    [[nodiscard]] instant advance(instant from, double work) const
    {
        work /= m_speed;
        for (const slow_interval &one : m_slow) {
            if (one.to <= from)
                continue;
            const double before = std::max(toSeconds(one.from - from), 0.0);
            if (work <= before)
                break;
            work -= before;
            from = std::max(from, one.from);
            const double during = toSeconds(one.to - from) / m_options.slowFactor;
            if (work <= during)
                return from + toDuration(work * m_options.slowFactor);
            work -= during;
            from = one.to;
        }
        return from + toDuration(work);
    }

    [[nodiscard]] work_times predict(instant now, std::int64_t tokens, std::int64_t fetched,
                                     int output) const
    {
        work_times times;
        times.begin = std::max(now, std::ranges::min(m_slotFreeAt));
        if (m_options.plainService) {
            times.first = times.end = advance(times.begin, m_options.serviceWorkSeconds);
            return times;
        }
        const instant prefillFrom = std::max(
                times.begin + toDuration(static_cast<double>(fetched) * fetchSecondsPerToken),
                m_prefillFreeAt);
        const instant prefilled
                = advance(prefillFrom, static_cast<double>(tokens) / prefillTokensPerSecond);
        times.first = advance(prefilled, stepSeconds);
        times.end = advance(times.first, stepSeconds * (output - 1));
        return times;
    }

    work_times accept(instant now, std::int64_t tokens, std::int64_t fetched, int output)
    {
        const work_times times = predict(now, tokens, fetched, output);
        *std::ranges::min_element(m_slotFreeAt) = times.end;
        if (tokens > 0 && !m_options.plainService)
            m_prefillFreeAt
                    = std::max(m_prefillFreeAt, times.first - toDuration(stepSeconds / m_speed));
        std::erase_if(m_work, [now](const work_times &one) { return one.end <= now; });
        m_work.push_back(times);
        return times;
    }

    [[nodiscard]] policy::load_report load(instant now, bool withPace) const
    {
        policy::load_report report;
        report.measuredAt = now;
        for (const work_times &one : m_work) {
            report.running += one.begin <= now && now < one.end ? 1 : 0;
            report.queued += now < one.begin ? 1 : 0;
        }
        if (withPace) {
            report.slots = m_options.slots;
            report.pace = pace(now);
        }
        return report;
    }

    [[nodiscard]] bool full(instant now) const { return std::ranges::min(m_slotFreeAt) > now; }

    [[nodiscard]] std::int64_t cachedTokens(instant now, const request &subject) const
    {
        std::int64_t tokens = 0;
        for (const prompt_part &part : subject.parts) {
            const auto found = m_cachedAt.find(part.id);
            tokens += found != m_cachedAt.end() && found->second <= now ? part.tokens : 0;
        }
        return tokens;
    }

    void cache(instant at, const request &subject)
    {
        for (const prompt_part &part : subject.parts)
            m_cachedAt.try_emplace(part.id, at);
    }

    [[nodiscard]] double speed() const noexcept { return m_speed; }

private:
    const uneven_options &m_options;
    double m_speed;
    std::vector<slow_interval> m_slow;
    std::vector<instant> m_slotFreeAt;
    instant m_prefillFreeAt{};
    std::vector<work_times> m_work;
    std::map<std::uint64_t, instant> m_cachedAt;
};

class uneven_simulation
{
public:
    explicit uneven_simulation(const uneven_options &options)
        : m_options(options)
        , m_random(options.seed)
    {
        m_pool.name = "pool";
        m_pool.kind
                = options.plainService ? state::backend_kind::Service : state::backend_kind::Model;
        m_result.requests.resize(static_cast<std::size_t>(options.endpoints));
        for (int index = 0; index < options.endpoints; ++index) {
            state::endpoint row;
            row.name = "e" + std::to_string(index);
            row.address = "10.0.0.1:" + std::to_string(100 + index);
            row.zone = "z" + std::to_string(index % 3);
            row.slots = options.listedSlots;
            m_pool.endpoints.push_back(row);
            m_endpoints.emplace_back(
                    options,
                    options.speeds[static_cast<std::size_t>(index) % options.speeds.size()],
                    options.seed * 1'000 + static_cast<std::uint64_t>(index));
        }
        queue_limits limits;
        limits.window.prefillAheadTokens = 24'000;
        limits.assumeOthers = false;
        for (int index = 0; index < options.entries; ++index) {
            m_entries.push_back(std::make_unique<pool_scheduler>(
                    pool_strategies{policy::router_registry::make(
                                            "prompt_homes_paced",
                                            options.seed + static_cast<std::uint64_t>(index))
                                            .value(),
                                    policy::admission_registry::make("deadline").value(),
                                    policy::fair_queue_registry::make("fair_share").value()},
                    limits));
            m_entries.back()->setRows(m_pool);
            m_entries.back()->setPosition(start, {index, options.entries});
        }
    }

    [[nodiscard]] uneven_result play()
    {
        const instant end = start + m_options.duration;
        scheduleArrivals(m_options.longPerSecond, true, end);
        scheduleArrivals(m_options.shortPerSecond, false, end);
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
            scheduleExchange(start + exchangeInterval * entry / m_entries.size(), entry);
        while (!m_events.empty()) {
            const timed_event next = m_events.top();
            m_events.pop();
            if (next.at > end + seconds(5))
                break;
            next.action(next.at);
        }
        std::ranges::sort(m_result.longSeconds);
        std::ranges::sort(m_result.shortSeconds);
        double sum = 0;
        for (auto &[speed, count] : m_result.shareBySpeed)
            sum += count;
        for (auto &[speed, count] : m_result.shareBySpeed)
            count /= sum;
        return std::move(m_result);
    }

private:
    struct timed_event
    {
        instant at{};
        std::uint64_t number = 0;
        std::function<void(instant)> action;

        [[nodiscard]] bool operator<(const timed_event &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    void later(instant at, std::function<void(instant)> action)
    {
        m_events.push({at, ++m_eventNumber, std::move(action)});
    }

    void scheduleArrivals(double perSecond, bool isLong, instant end)
    {
        if (perSecond <= 0)
            return;
        std::exponential_distribution<double> gap(perSecond);
        for (instant at = start + toDuration(gap(m_random)); at < end;
             at += toDuration(gap(m_random)))
            later(at, [this, isLong](instant now) { arrive(now, isLong); });
    }

    void scheduleExchange(instant at, std::size_t entry)
    {
        later(at, [this, entry](instant now) {
            exchange(now, entry);
            scheduleExchange(now + exchangeInterval, entry);
        });
    }

    [[nodiscard]] request makeRequest(instant now, bool isLong)
    {
        request subject;
        const std::uint64_t ticket = ++m_lastTicket;
        subject.id = "r" + std::to_string(ticket);
        subject.fingerprint = subject.id;
        subject.organisation = "o";
        subject.route.name = isLong ? "long" : "short";
        subject.route.pool = m_pool.name;
        subject.route.idempotent = true;
        subject.receivedAt = now;
        subject.deadline = now + seconds(4);
        if (m_options.plainService)
            return subject;
        const std::uint64_t part = m_random() % sharedParts;
        subject.parts = {{(isLong ? 0U : 1'000U) + part, isLong ? longShared : shortShared},
                         {1'000'000 + ticket, isLong ? longOwn : shortOwn}};
        subject.promptTokens = isLong ? longShared + longOwn : shortShared + shortOwn;
        subject.outputTokens = isLong ? longOutput : shortOutput;
        return subject;
    }

    void arrive(instant now, bool isLong)
    {
        const request subject = makeRequest(now, isLong);
        if (m_options.rule == uneven_rule::Truth)
            return sendByTruth(now, subject);
        const std::size_t entry = m_random() % m_entries.size();
        m_submitted.emplace(m_lastTicket, subject);
        if (m_entries[entry]->push(now, m_lastTicket, subject, 1, {})) {
            ++m_result.refused;
            return;
        }
        runEntry(now, entry);
    }

    void sendByTruth(instant now, const request &subject)
    {
        std::size_t best = 0;
        instant bestAt = instant::max();
        for (std::size_t index = 0; index < m_endpoints.size(); ++index) {
            const auto [tokens, fetched] = uncached(now, index, subject, m_endpoints);
            const work_times times = m_endpoints[index].predict(
                    now, tokens, fetched, static_cast<int>(subject.outputTokens));
            if (times.first >= bestAt)
                continue;
            bestAt = times.first;
            best = index;
        }
        const auto [tokens, fetched] = uncached(now, best, subject, m_endpoints);
        deliver(now, best, subject, tokens, fetched);
    }

    /// \returns the tokens to prefill and the ones to fetch.
    [[nodiscard]] std::pair<std::int64_t, std::int64_t>
    uncached(instant now, std::size_t index, const request &subject,
             std::span<const uneven_endpoint> sources) const
    {
        const std::int64_t own = m_endpoints[index].cachedTokens(now, subject);
        std::int64_t most = own;
        for (const uneven_endpoint &one : sources)
            most = std::max(most, one.cachedTokens(now, subject));
        return {subject.promptTokens - most, most - own};
    }

    work_times deliver(instant now, std::size_t index, const request &subject, std::int64_t tokens,
                       std::int64_t fetched)
    {
        uneven_endpoint &target = m_endpoints[index];
        const bool counted = subject.receivedAt >= start + m_options.warmUp;
        if (counted) {
            ++m_result.requests[index];
            m_result.shareBySpeed[target.speed()] += 1;
            m_result.slowRequests += target.pace(now) > 1 ? 1 : 0;
            m_result.beyondSlots += target.full(now) ? 1 : 0;
        }
        const work_times times
                = target.accept(now, tokens, fetched, static_cast<int>(subject.outputTokens));
        target.cache(times.first, subject);
        if (counted) {
            const bool isLong = subject.promptTokens > shortShared + shortOwn;
            (isLong ? m_result.longSeconds : m_result.shortSeconds)
                    .push_back(toSeconds(times.first - subject.receivedAt));
        }
        return times;
    }

    void runEntry(instant now, std::size_t entry)
    {
        pool_scheduler &scheduler = *m_entries[entry];
        for (const endpoint_assignment &assignment : scheduler.schedule(now))
            send(now, entry, assignment);
        const endpoint_updates updates = scheduler.takeUpdates();
        if (!updates.placements.empty())
            tellOthers(now, entry, updates);
        if (scheduler.waiting() > 0 && m_timers.insert(entry).second) {
            later(now + scheduleInterval, [this, entry](instant at) {
                m_timers.erase(entry);
                static_cast<void>(m_entries[entry]->takeLate(at));
                runEntry(at, entry);
            });
        }
    }

    void send(instant now, std::size_t entry, const endpoint_assignment &assignment)
    {
        const std::size_t index = std::stoul(assignment.endpoint.substr(1));
        const request &subject = m_submitted.at(assignment.ticket);
        const auto [tokens, fetched] = uncached(now, index, subject, sourceOf(assignment));
        const work_times times = deliver(now, index, subject, tokens, fetched);
        const std::uint64_t ticket = assignment.ticket;
        m_charged.insert(entry);
        later(times.first, [this, entry, ticket, index](instant at) {
            m_entries[entry]->firstPieceArrived(at, ticket);
            if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.reportLoss)
                return;
            const policy::load_report load
                    = m_endpoints[index].load(at, m_options.rule == uneven_rule::Paced);
            later(at + m_options.reportDelay, [this, entry, index, load](instant arrival) {
                endpoint_report report{load};
                report.load.measuredAt = arrival; // the header does not tell its age
                static_cast<void>(
                        m_entries[entry]->endpoints().report(m_pool.endpoints[index].name, report));
                runEntry(arrival, entry);
            });
        });
        later(times.end, [this, entry, ticket, now, times](instant at) {
            attempt_result result;
            result.answered = true;
            result.timeToFirstToken = times.first - now;
            result.totalTime = times.end - now;
            static_cast<void>(m_entries[entry]->finish(at, ticket, result));
            runEntry(at, entry);
        });
    }

    [[nodiscard]] std::span<const uneven_endpoint>
    sourceOf(const endpoint_assignment &assignment) const
    {
        if (assignment.cacheEndpoint.empty())
            return {};
        return std::span(m_endpoints).subspan(std::stoul(assignment.cacheEndpoint.substr(1)), 1);
    }

    /// An entry without charges sends nothing.
    void exchange(instant now, std::size_t entry)
    {
        if (m_charged.erase(entry) > 0)
            tellOthers(now, entry, {});
    }

    void tellOthers(instant now, std::size_t entry, endpoint_updates updates)
    {
        updates.rates = m_entries[entry]->endpoints().takeRates(now, m_pool.name);
        if (updates.empty())
            return;
        const auto message = std::make_shared<const endpoint_updates>(std::move(updates));
        later(now + messageDelay, [this, entry, message](instant at) {
            for (std::size_t other = 0; other < m_entries.size(); ++other) {
                if (other == entry)
                    continue;
                for (const placement &placed : message->placements)
                    m_entries[other]->applyRemotePlacement(at, placed);
                for (const endpoint_rate &rate : message->rates)
                    m_entries[other]->applyRemoteRate(at, rate);
            }
        });
    }

    const uneven_options &m_options;
    std::mt19937_64 m_random;
    state::pool m_pool;
    std::vector<uneven_endpoint> m_endpoints;
    std::vector<std::unique_ptr<pool_scheduler>> m_entries;
    std::map<std::uint64_t, request> m_submitted;
    std::set<std::size_t> m_charged; ///< entries with charges that they have not told
    std::set<std::size_t> m_timers;  ///< entries that will run again since requests wait
    std::priority_queue<timed_event> m_events;
    std::uint64_t m_eventNumber = 0;
    std::uint64_t m_lastTicket = 0;
    uneven_result m_result;
};

} // namespace

double uneven_result::busiest() const
{
    const double sum = std::accumulate(requests.begin(), requests.end(), 0.0);
    return sum > 0 ? std::ranges::max(requests) * static_cast<double>(requests.size()) / sum : 0;
}

double uneven_result::slowShare() const
{
    const double sum = std::accumulate(requests.begin(), requests.end(), 0.0);
    return sum > 0 ? slowRequests / sum : 0;
}

double uneven_result::quantile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(share * last))];
}

uneven_result playUnevenFleet(const uneven_options &options)
{
    return uneven_simulation(options).play();
}

} // namespace yuccascale::fakes
