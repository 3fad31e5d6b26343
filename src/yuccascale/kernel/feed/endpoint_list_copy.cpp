#include "yuccascale/kernel/feed/endpoint_list_copy.hpp"

#include <xxhash.h>

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

[[nodiscard]] std::uint64_t digestOf(const std::vector<listed_endpoint> &endpoints)
{
    const std::string bytes = toCbor(endpoints);
    return std::max<std::uint64_t>(XXH3_64bits(bytes.data(), bytes.size()), 1);
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
    const std::uint64_t digest = digestOf(reading.endpoints);
    replace({firstVersion(reading.fence), std::move(reading.endpoints)}, digest, span);
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
    if (reply.endpoints.empty() || !isCertainlyLater(span))
        return false;
    replace(reply.endpoints.front()->value(), reply.endpointsDigest, span);
    return true;
}

bool endpoint_list_copy::installOfUnknownAge(instant arrivedAt, endpoint_list listed)
{
    if (listed.version <= list()->version)
        return false;
    const std::uint64_t digest = digestOf(listed.endpoints);
    replace(std::move(listed), digest, {std::nullopt, arrivedAt});
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

void endpoint_list_copy::replace(endpoint_list next, std::uint64_t digest, const asked_span &span)
{
    next.version = std::max(next.version, list()->version + 1);
    m_list = makeEncoded(std::move(next));
    m_digest = digest;
    m_asked = span;
}

void endpoint_list_copy::describe(instant now, feed_request &request) const
{
    request.haveEndpointsVersion = list()->version;
    request.haveEndpointsDigest = m_digest;
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
    if (isNewFor(now, request))
        reply.endpoints.push_back(m_list);
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
