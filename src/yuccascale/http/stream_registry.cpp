#include "yuccascale/http/stream_registry.hpp"

#include "yuccascale/wire/stream_codec.hpp"

#include <map>
#include <utility>

namespace yuccascale::http {

using namespace kernel::requests;
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

} // namespace

stream_registry::stream_registry(const kernel::clock &clock, entry_exchange exchange,
                                 version_lookup versionsSeen)
    : m_clock(clock)
    , m_exchange(std::move(exchange))
    , m_versionsSeen(std::move(versionsSeen))
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
    send(recordsToSend(began));
}

std::vector<stream_record> stream_registry::recordsToSend(const stream_record &began)
{
    const std::string &pool = began.origin.pool;
    const bool mixed = !m_versionsSeen(pool, began.kept).only();
    const std::scoped_lock guard(m_mutex);
    m_origins.record(m_clock.now(), began);
    if (!mixed) {
        m_mixedPools.erase(pool);
        return {};
    }
    const bool newlyMixed = m_mixedPools.insert(pool).second;
    return newlyMixed ? m_origins.recordsOf(m_clock.now(), pool) : std::vector{began};
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
    m_workers.run([this, id = callerRequest.continuedId, pool = callerRequest.route.pool,
                   lookback = keptTime(callerRequest),
                   done = std::move(done)] { done(find(id, pool, lookback)); });
}

origin_answer stream_registry::known(const std::string &requestId, const std::string &pool,
                                     nanoseconds lookback)
{
    origin_answer out;
    out.seen = m_versionsSeen(pool, lookback);
    const std::scoped_lock guard(m_mutex);
    out.origin = m_origins.find(m_clock.now(), requestId);
    return out;
}

std::optional<stream_origin> stream_registry::find(const std::string &requestId,
                                                   const std::string &pool, nanoseconds lookback)
{
    std::vector<origin_answer> answers{known(requestId, pool, lookback)};
    const std::vector<std::string> asked = keepersOf(requestId, others(), askedEntries);
    const std::string question
            = wire::encodeStreamMessage({{}, wire::stream_query{requestId, pool, lookback}});
    for (const std::string &link : asked) {
        if (answers.back().origin || !m_exchange.call)
            break;
        const std::optional<std::string> bytes = m_exchange.call(link, question);
        if (!bytes)
            continue;
        if (auto answer = wire::decodeStreamAnswer(*bytes))
            answers.push_back(std::move(*answer));
    }
    return decideOrigin(pool, answers, asked.size());
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
    return wire::encodeStreamAnswer(
            known(received.query->requestId, received.query->pool, received.query->lookback));
}

} // namespace yuccascale::http
