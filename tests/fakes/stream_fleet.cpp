#include "fakes/stream_fleet.hpp"

#include <algorithm>
#include <future>
#include <utility>

namespace yuccascale::fakes {

using namespace kernel;
using namespace kernel::requests;

namespace {

constexpr const char *routeName = "briefing";
constexpr milliseconds feedInterval{100};
constexpr seconds freshness{3};
constexpr int endpointsOfAVersion = 3;

[[nodiscard]] feed::listed_endpoint endpointOf(const std::string &pool, const std::string &version,
                                               int number)
{
    feed::listed_endpoint out;
    out.pool = pool;
    out.row.name = pool + "-" + version + "-" + std::to_string(number);
    out.row.address = "10.2.0." + std::to_string(number) + ":8000";
    out.row.zone = "z";
    out.row.softwareVersion = version;
    return out;
}

} // namespace

stream_fleet::stream_fleet(std::size_t entries, fleet_versions versions)
{
    m_clock.advance(seconds(100));
    m_route.name = routeName;
    m_route.pool = versions.begin()->first;
    m_route.idempotent = true;
    m_route.streamed = true;
    m_route.deadlineMs = 8'000;
    setVersions(versions);
    m_entries.resize(entries);
    for (std::size_t index = 0; index < entries; ++index)
        m_entries[index].link = "entry-" + std::to_string(index);
    startAll();
    hearAll();
}

bool stream_fleet::serves(std::size_t entry) const
{
    return running(entry) && m_entries[entry].list.version > 0;
}

void stream_fleet::setVersions(const fleet_versions &versions)
{
    ++m_list.version;
    m_list.endpoints.clear();
    for (const auto &[pool, ofPool] : versions) {
        for (const std::string &version : ofPool) {
            for (int number = 0; number < endpointsOfAVersion; ++number)
                m_list.endpoints.push_back(endpointOf(pool, version, number));
        }
    }
}

state::table_set stream_fleet::tables() const
{
    state::table_set out;
    out.routes[m_route.name] = m_route;
    for (const char *name : {"engines", "others"}) {
        state::pool row;
        row.name = name;
        row.model = "m";
        row.discovered = true;
        out.pools[name] = row;
    }
    return out;
}

void stream_fleet::hear(std::size_t entry)
{
    if (m_entries[entry].cut)
        return;
    m_entries[entry].list = m_list;
    confirm(m_entries[entry]);
    m_entries[entry].pools->setTables(tables(), &m_list);
}

void stream_fleet::hearAll()
{
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        if (running(index))
            hear(index);
    }
}

void stream_fleet::hearTablesOnly(std::size_t entry)
{
    const feed::endpoint_list none;
    confirm(m_entries[entry]);
    m_entries[entry].pools->setTables(tables(), &none);
}

void stream_fleet::confirm(const entry &confirmed)
{
    confirmed.pools->confirmTables(now() + freshness);
}

void stream_fleet::kill(std::size_t entry)
{
    m_entries[entry].streams.reset();
    m_entries[entry].pools.reset();
    m_entries[entry].list = {};
}

void stream_fleet::killAll()
{
    for (std::size_t index = 0; index < m_entries.size(); ++index)
        kill(index);
}

void stream_fleet::start(std::size_t entry)
{
    runtime::settings settings;
    settings.policy.routing = "round_robin";
    settings.policy.admission = "always";
    settings.policy.fairness = "first_come_first_served";
    auto &started = m_entries[entry];
    started.pools = http::caller_pools::make(settings, m_clock, entry).value();
    started.streams = std::make_unique<http::stream_registry>(
            m_clock, exchangeOf(entry),
            [pools = started.pools.get()](const std::string &routeName, const std::string &pool,
                                          nanoseconds lookback) {
                return pools->originsSeen(routeName, pool, lookback);
            });
}

void stream_fleet::startAll()
{
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        if (!running(index))
            start(index);
    }
}

void stream_fleet::run(nanoseconds time)
{
    for (const instant end = now() + time; now() < end;) {
        m_clock.advance(std::min<nanoseconds>(feedInterval, end - now()));
        for (const entry &one : m_entries) {
            if (one.pools && !one.cut)
                confirm(one);
        }
    }
}

http::entry_exchange stream_fleet::exchangeOf(std::size_t self)
{
    http::entry_exchange exchange;
    exchange.others = [this, self] {
        std::vector<std::string> links;
        for (std::size_t index = 0; index < m_entries.size(); ++index) {
            if (index != self && running(index))
                links.push_back(m_entries[index].link);
        }
        return links;
    };
    exchange.post = [this](const std::string &link, const std::string &message) {
        if (entry *target = find(link))
            static_cast<void>(target->streams->handle(message));
    };
    exchange.call = [this](const std::string &link, const std::string &message) {
        entry *target = find(link);
        return target ? std::optional(target->streams->handle(message)) : std::nullopt;
    };
    return exchange;
}

stream_fleet::entry *stream_fleet::find(const std::string &link)
{
    const auto found = std::ranges::find(m_entries, link, &entry::link);
    return found == m_entries.end() || !found->pools ? nullptr : &*found;
}

request stream_fleet::requestOf(const std::string &id) const
{
    request out;
    out.id = id;
    out.route = m_route;
    out.streamed = true;
    out.receivedAt = now();
    out.deadline = now() + milliseconds(m_route.deadlineMs);
    return out;
}

begun_stream stream_fleet::begin(std::size_t entry, const std::string &version)
{
    const request begun = requestOf("r" + std::to_string(++m_lastId));
    m_entries[entry].streams->record(begun, version);
    return {begun.id, {begun.route.pool, version}, now()};
}

std::optional<stream_origin> stream_fleet::takeUp(std::size_t entry, const begun_stream &begun)
{
    request again = requestOf("r" + std::to_string(++m_lastId));
    again.continuedId = begun.id;
    again.lastPieceId = "2";
    std::promise<std::optional<stream_origin>> located;
    m_entries[entry].streams->locate(again, [&](std::optional<stream_origin> origin) {
        located.set_value(std::move(origin));
    });
    std::optional<stream_origin> origin = located.get_future().get();
    const bool possible = lists(m_entries[entry], begun.origin);
    if (origin)
        ++(*origin == begun.origin ? m_counts.wentOn : m_counts.joined);
    else
        ++(possible ? m_counts.refusedInVain : m_counts.refused);
    return origin;
}

bool stream_fleet::lists(const entry &taking, const stream_origin &origin)
{
    return std::ranges::any_of(taking.list.endpoints, [&](const feed::listed_endpoint &listed) {
        return listed.pool == origin.pool && listed.row.softwareVersion == origin.softwareVersion;
    });
}

} // namespace yuccascale::fakes
