#include "yuccascale/http/stream_registry.hpp"

#include "yuccascale/kernel/requests/deadline_history.hpp"

#include <algorithm>
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
/// Control nodes that keep the record, and that are asked for it.
constexpr std::size_t archiveKeepers = 1;
constexpr std::size_t askedArchives = 2;
constexpr std::size_t maxThreads = 4;
/// A caller may wait for longer than its route's deadline, in several requests.
[[nodiscard]] nanoseconds keptTime(const request &callerRequest)
{
    return std::max<nanoseconds>(
            kernel::milliseconds(deadlinesKept * callerRequest.route.deadlineMs),
            callerRequest.callerWaits);
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
                                 origins_source origins,
                                 std::shared_ptr<runtime::worker_threads> workers)
    : m_clock(clock)
    , m_exchange(std::move(exchange))
    , m_sources(std::move(origins))
    , m_workers(maxThreads, std::move(workers))
{ }

std::vector<std::string> stream_registry::others() const
{
    return m_exchange.others ? m_exchange.others() : std::vector<std::string>();
}

std::vector<std::string> stream_registry::archives() const
{
    return m_exchange.archives ? m_exchange.archives() : std::vector<std::string>();
}

std::unique_ptr<stream_registry> stream_registry::archive(const kernel::clock &clock)
{
    origins_source nothingSeen;
    nothingSeen.seen
            = [](const std::string &, const std::string &, nanoseconds) { return origins_seen(); };
    nothingSeen.lookback = [](const std::string &) { return nanoseconds::zero(); };
    nothingSeen.waitConfirmed = [](kernel::instant) { return false; };
    return std::make_unique<stream_registry>(clock, entry_exchange(), std::move(nothingSeen));
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
    const origins_seen seen = m_sources.seen(route, began.origin.pool, began.kept);
    const bool outlastsDeadlines = began.kept > m_sources.lookback(route);
    const std::scoped_lock guard(m_mutex);
    m_origins.record(m_clock.now(), began);
    if (seen.unambiguous()) {
        m_ambiguousRoutes.erase(route);
        return outlastsDeadlines ? std::vector{began} : std::vector<stream_record>();
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
    const std::vector<std::string> archiveLinks = archives();
    std::map<std::string, wire::stream_message> messages;
    for (const stream_record &record : records) {
        for (const std::string &keeper : keepersOf(record.requestId, links, keepers))
            messages[keeper].records.push_back(record);
        for (const std::string &keeper : keepersOf(record.requestId, archiveLinks, archiveKeepers))
            messages[keeper].records.push_back(record);
    }
    for (const auto &[keeper, message] : messages)
        m_exchange.post(keeper, wire::encodeStreamMessage(message));
}

void stream_registry::locate(const request &callerRequest, origin_callback done)
{
    const state::route &route = callerRequest.route;
    const nanoseconds lookback = std::max(keptTime(callerRequest), m_sources.lookback(route.name));
    take_up stream{{callerRequest.continuedId, route.name, route.pool, lookback},
                   callerRequest.receivedAt,
                   callerRequest.callerWaits};
    m_workers.run(
            [this, stream = std::move(stream), done = std::move(done)] { done(find(stream)); });
}

origin_answer stream_registry::known(const wire::stream_query &query)
{
    origin_answer out;
    out.seen = m_sources.seen(query.route, query.pool, query.lookback);
    const std::scoped_lock guard(m_mutex);
    out.origin = m_origins.find(m_clock.now(), query.requestId);
    return out;
}

/// \returns the answers up to the first that has the record.
std::vector<origin_answer> stream_registry::ask(const wire::stream_query &query,
                                                const std::vector<std::string> &links) const
{
    std::vector<origin_answer> answers;
    const std::string question = wire::encodeStreamMessage({{}, query});
    for (const std::string &link : links) {
        const std::optional<std::string> bytes
                = m_exchange.call ? m_exchange.call(link, question) : std::nullopt;
        auto answer = bytes ? wire::decodeStreamAnswer(*bytes) : std::nullopt;
        if (!answer)
            continue;
        answers.push_back(std::move(*answer));
        if (answers.back().origin)
            break;
    }
    return answers;
}

/// Without a record, only what is known of the time until the stream was taken up says where it
/// began: this entry may have been cut off while another version joined. A caller that waits for
/// longer than the deadlines tell may have begun it before that time.
std::optional<stream_origin> stream_registry::find(const take_up &stream)
{
    const wire::stream_query &query = stream.query;
    if (origin_answer own = known(query); own.origin)
        return own.origin;
    const std::vector<std::string> asked = keepersOf(query.requestId, others(), askedEntries);
    std::vector<origin_answer> answers = ask(query, asked);
    if (!answers.empty() && answers.back().origin)
        return answers.back().origin;
    const std::vector<origin_answer> archived
            = ask(query, keepersOf(query.requestId, archives(), askedArchives));
    if (!archived.empty() && archived.back().origin)
        return archived.back().origin;
    const bool outlastsDeadlines = stream.callerWaits > m_sources.lookback(query.route);
    if (outlastsDeadlines || contradictory(answers) || !m_sources.waitConfirmed(stream.receivedAt))
        return std::nullopt;
    answers.insert(answers.begin(), known(query));
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
