#include "yuccascale/http/stream_registry.hpp"

#include <map>
#include <utility>

namespace yuccascale::http {

using namespace kernel::requests;
namespace state = kernel::state;
using kernel::nanoseconds;

namespace {

/// Entries that keep the record of a stream besides the one that began it.
constexpr std::size_t keepers = 2;
/// Entries that are asked for it. More than keep it, since entries that start or are lost change
/// the order.
constexpr std::size_t askedEntries = 4;
constexpr std::size_t maxThreads = 4;
/// Callers repeat a request within their deadline, so a stream is taken up at most this many times
/// the route's deadline after it began.
constexpr int deadlinesKept = 2;

[[nodiscard]] nanoseconds keptTime(const request &callerRequest)
{
    return kernel::milliseconds(deadlinesKept * callerRequest.route.deadlineMs);
}

/// The pools of the route's streams, among them the one that has just begun.
[[nodiscard]] std::set<std::string> poolsOf(const origins_seen &seen, const stream_record &began)
{
    std::set<std::string> pools(seen.pools.names.begin(), seen.pools.names.end());
    pools.insert(began.origin.pool);
    return pools;
}

} // namespace

stream_registry::stream_registry(const kernel::clock &clock, entry_exchange exchange,
                                 origins_lookup originsSeen)
    : m_clock(clock)
    , m_exchange(std::move(exchange))
    , m_originsSeen(std::move(originsSeen))
    , m_workers(maxThreads)
{ }

std::vector<std::string> stream_registry::others() const
{
    return m_exchange.others ? m_exchange.others() : std::vector<std::string>();
}

void stream_registry::record(const request &callerRequest, const std::string &version)
{
    const stream_record began{
            callerRequest.id, {callerRequest.route.pool, version}, keptTime(callerRequest)};
    send(recordsToSend(callerRequest.route.name, began));
}

std::vector<stream_record> stream_registry::recordsToSend(const std::string &route,
                                                          const stream_record &began)
{
    const origins_seen seen = m_originsSeen(route, began.origin.pool, began.kept);
    const std::scoped_lock guard(m_mutex);
    m_origins.record(m_clock.now(), began);
    if (seen.unambiguous()) {
        m_ambiguousRoutes.erase(route);
        return {};
    }
    if (!m_ambiguousRoutes.insert(route).second)
        return {began};
    std::vector<stream_record> records;
    for (const std::string &pool : poolsOf(seen, began)) {
        const std::vector<stream_record> ofPool = m_origins.recordsOf(m_clock.now(), pool);
        records.insert(records.end(), ofPool.begin(), ofPool.end());
    }
    return records;
}

void stream_registry::send(const std::vector<stream_record> &records)
{
    if (records.empty() || !m_exchange.post)
        return;
    const std::vector<std::string> links = others();
    std::map<std::string, wire::stream_message> messages;
    for (const stream_record &record : records) {
        for (const std::string &keeper : keepersOf(record.requestId, links, keepers))
            messages[keeper].records.push_back(record);
    }
    for (const auto &[keeper, message] : messages)
        m_exchange.post(keeper, wire::encodeStreamMessage(message));
}

void stream_registry::locate(const request &callerRequest, origin_callback done)
{
    const state::route &route = callerRequest.route;
    m_workers.run([this,
                   query = wire::stream_query{callerRequest.continuedId, route.name, route.pool,
                                              keptTime(callerRequest)},
                   done = std::move(done)] { done(find(query)); });
}

origin_answer stream_registry::known(const wire::stream_query &query)
{
    origin_answer out;
    out.seen = m_originsSeen(query.route, query.pool, query.lookback);
    const std::scoped_lock guard(m_mutex);
    out.origin = m_origins.find(m_clock.now(), query.requestId);
    return out;
}

std::optional<stream_origin> stream_registry::find(const wire::stream_query &query)
{
    std::vector<origin_answer> answers{known(query)};
    const std::vector<std::string> asked = keepersOf(query.requestId, others(), askedEntries);
    const std::string question = wire::encodeStreamMessage({{}, query});
    for (const std::string &link : asked) {
        if (answers.back().origin || !m_exchange.call)
            break;
        const std::optional<std::string> bytes = m_exchange.call(link, question);
        if (!bytes)
            continue;
        if (auto answer = wire::decodeStreamAnswer(*bytes))
            answers.push_back(std::move(*answer));
    }
    return decideOrigin(query.pool, answers, asked.size());
}

std::string stream_registry::handle(std::string_view message)
{
    const wire::stream_message received = wire::decodeStreamMessage(message);
    {
        const std::scoped_lock guard(m_mutex);
        for (const stream_record &record : received.records)
            m_origins.record(m_clock.now(), record);
    }
    if (!received.query)
        return {};
    return wire::encodeStreamAnswer(known(*received.query));
}

} // namespace yuccascale::http
