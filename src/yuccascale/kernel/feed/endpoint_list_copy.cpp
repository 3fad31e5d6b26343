#include "yuccascale/kernel/feed/endpoint_list_copy.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::kernel::feed {

namespace {

/// The version of a leader's list holds its fence in the high bits and a counter in these low bits.
constexpr unsigned versionCounterBits = 32;

/// \returns the version of a leader's first list.
[[nodiscard]] std::uint64_t firstVersion(std::uint64_t fence) noexcept
{
    return fence == 0 ? 0 : (fence << versionCounterBits) | 1;
}

/// \returns whether \a rows changed are less to send and to apply than a list of \a size.
[[nodiscard]] constexpr bool isWorthAChange(std::size_t rows, std::size_t size) noexcept
{
    return 2 * rows <= size;
}

/// \returns about how many bytes \a change takes.
[[nodiscard]] std::size_t sizeOf(const endpoint_change &change)
{
    std::size_t bytes = sizeof(change) + change.removed.size() * sizeof(std::uint32_t);
    for (const listed_endpoint &listed : change.put)
        bytes += sizeof(listed) + listed.pool.size() + listed.row.name.size()
                + listed.row.address.size() + listed.row.zone.size()
                + listed.row.softwareVersion.size();
    return bytes;
}

} // namespace

endpoint_list_copy::endpoint_list_copy()
    : m_list(makeEncoded(endpoint_list()))
{ }

bool endpoint_list_copy::read(endpoint_reading reading)
{
    const asked_span span{reading.askedAt, reading.askedAt};
    if (m_digest != 0 && list()->endpoints == reading.endpoints) {
        renew(span);
        return false;
    }
    if (!isCertainlyLater(span))
        return false;
    replaceWhole({firstVersion(reading.fence), std::move(reading.endpoints)}, std::nullopt, span);
    return true;
}

bool endpoint_list_copy::install(instant requestedAt, instant arrivedAt, const feed_reply &reply)
{
    const asked_span span = spanOf(requestedAt, arrivedAt, reply);
    if (!span.earliest) {
        bool newer = false;
        for (const encoded_pointer<endpoint_list> &listed : reply.endpoints)
            newer = installOfUnknownAge(arrivedAt, listed->value()) || newer;
        return newer;
    }
    if (m_digest != 0 && reply.endpointsDigest == m_digest) {
        renew(span);
        return false;
    }
    if (!isCertainlyLater(span))
        return false;
    if (!reply.endpointChanges.empty())
        return installChanges(reply, span);
    if (reply.endpoints.empty())
        return false;
    replaceWhole(reply.endpoints.front()->value(), reply.endpointsDigest, span);
    return true;
}

/// An answer to another request may have brought some of the changes meanwhile, or another list.
bool endpoint_list_copy::installChanges(const feed_reply &reply, const asked_span &span)
{
    const auto &changes = reply.endpointChanges;
    const auto first = std::ranges::find(changes, m_digest,
                                         [](const auto &change) { return change->value().from; });
    if (first == changes.end()) {
        m_missed = true;
        return false;
    }
    std::optional<std::vector<listed_endpoint>> rows = list()->endpoints;
    endpoint_encodings encoded = std::move(encodings());
    m_encodings.reset();
    for (auto change = first; rows && change != changes.end(); ++change) {
        rows = withChange(std::move(*rows), (*change)->value());
        if (rows && !encoded.apply((*change)->value()))
            rows.reset();
    }
    if (!rows || encoded.digest() != reply.endpointsDigest) {
        m_wantsWhole = true;
        m_missed = true;
        return false;
    }
    std::for_each(first, changes.end(), [&](const auto &change) { remember(change); });
    m_encodings = std::move(encoded);
    replace({changes.back()->value().version, std::move(*rows)}, reply.endpointsDigest, span);
    return true;
}

bool endpoint_list_copy::installOfUnknownAge(instant arrivedAt, endpoint_list listed)
{
    if (listed.version <= list()->version)
        return false;
    replaceWhole(std::move(listed), std::nullopt, {std::nullopt, arrivedAt});
    return true;
}

/// The other node reckoned the age at some time between the request and the arrival of its answer.
endpoint_list_copy::asked_span endpoint_list_copy::spanOf(instant requestedAt, instant arrivedAt,
                                                          const feed_reply &reply)
{
    if (!reply.endpointsAge || reply.endpointsDigest == 0)
        return {std::nullopt, arrivedAt};
    return {requestedAt - *reply.endpointsAge,
            arrivedAt - *reply.endpointsAge + reply.endpointsAgeSpread};
}

bool endpoint_list_copy::isCertainlyLater(const asked_span &span) const noexcept
{
    return m_digest == 0 || *span.earliest > m_asked.latest;
}

void endpoint_list_copy::renew(const asked_span &span)
{
    m_asked.earliest = std::max(m_asked.earliest.value_or(*span.earliest), *span.earliest);
    m_asked.latest = std::max(m_asked.latest, span.latest);
}

/// Compares with the former list, so that the rows that both have are not encoded again.
/// \param digest nothing: not known
void endpoint_list_copy::replaceWhole(endpoint_list next, std::optional<std::uint64_t> digest,
                                      const asked_span &span)
{
    endpoint_change change = difference(list()->endpoints, next.endpoints);
    const bool worthwhile = m_digest != 0 && isWorthAChange(change.rows(), next.endpoints.size());
    const bool applied = worthwhile && (m_encodings || !digest) && encodings().apply(change);
    if (!applied)
        m_encodings.reset();
    change.from = m_digest;
    replace(std::move(next), 0, span);
    m_digest = digest ? *digest : encodings().digest();
    change.to = m_digest;
    change.version = list()->version;
    if (worthwhile)
        remember(makeEncoded(std::move(change)));
    else
        m_changes.clear();
}

void endpoint_list_copy::replace(endpoint_list next, std::uint64_t digest, const asked_span &span)
{
    next.version = std::max(next.version, list()->version + 1);
    m_list = makeEncoded(std::move(next));
    m_digest = digest;
    m_asked = span;
    m_wantsWhole = false;
}

void endpoint_list_copy::remember(encoded_pointer<endpoint_change> change)
{
    const endpoint_change &value = change->value();
    if (value.from == value.to)
        return;
    const std::size_t bytes = sizeOf(value);
    m_changes.add(value.from, value.to, std::move(change), bytes);
}

endpoint_encodings &endpoint_list_copy::encodings()
{
    if (!m_encodings)
        m_encodings.emplace(list()->endpoints);
    return *m_encodings;
}

void endpoint_list_copy::describe(instant now, feed_request &request) const
{
    request.haveEndpointsVersion = list()->version;
    request.haveEndpointsDigest = m_digest;
    request.takesEndpointChanges = !m_wantsWhole;
    if (m_asked.earliest)
        request.endpointsAge = std::chrono::ceil<milliseconds>(now - *m_asked.earliest);
}

void endpoint_list_copy::describe(instant now, const feed_request &request, feed_reply &reply) const
{
    reply.endpointsDigest = m_digest;
    if (m_asked.earliest) {
        reply.endpointsAge = std::chrono::ceil<milliseconds>(now - *m_asked.earliest);
        reply.endpointsAgeSpread
                = std::chrono::ceil<milliseconds>(m_asked.latest - *m_asked.earliest);
    }
    if (!isNewFor(now, request))
        return;
    reply.endpointChanges = changesFor(request);
    if (reply.endpointChanges.empty())
        reply.endpoints.push_back(m_list);
}

/// \returns the changes since the list that the other node holds; empty when it needs the whole.
std::vector<encoded_pointer<endpoint_change>>
endpoint_list_copy::changesFor(const feed_request &request) const
{
    if (!request.takesEndpointChanges || request.haveEndpointsDigest == 0 || !m_asked.earliest)
        return {};
    auto changes = m_changes.since(request.haveEndpointsDigest);
    std::size_t rows = 0;
    for (const auto &change : changes)
        rows += change->value().rows();
    if (!isWorthAChange(rows, list()->endpoints.size()))
        changes.clear();
    return changes;
}

/// Former builds say no digest, and lists of unknown age are told apart by their version alone.
bool endpoint_list_copy::isNewFor(instant now, const feed_request &request) const
{
    if (request.haveEndpointsDigest == 0 || !m_asked.earliest)
        return list()->version > request.haveEndpointsVersion;
    if (request.haveEndpointsDigest == m_digest)
        return false;
    return !request.endpointsAge || *m_asked.earliest > now - *request.endpointsAge;
}

} // namespace yuccascale::kernel::feed
