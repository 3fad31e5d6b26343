#include "yuccascale/kernel/requests/endpoint_table.hpp"

#include <xxhash.h>

#include <algorithm>

/// \file
/// \brief Request limits that endpoints name, in endpoint_table.

namespace yuccascale::kernel::requests {

namespace {

/// The other entries are told of a limit that an endpoint names this often, since messages are lost
/// and entries restarted, and for a while of one that it names no longer.
constexpr milliseconds limitRefreshTime{500};
constexpr seconds limitLiftedTime{5};

} // namespace

void endpoint_table::setPosition(instant now, entry_position position)
{
    m_position = position;
    for (endpoint_state &one : m_rows) {
        if (one.limit)
            one.limit->setPosition(now, positionAt(one));
    }
}

/// Entries take the ranks of different endpoints in different orders, so that no entry may send to
/// all limited endpoints while another may send to none.
limit_position endpoint_table::positionAt(const endpoint_state &endpoint) const
{
    const int entries = std::max(m_position.count, 1);
    if (!m_position.counted)
        return {entries, entries + 1};
    const std::string &name = endpoint.row.name;
    const auto offset = XXH3_64bits(name.data(), name.size()) % static_cast<std::uint64_t>(entries);
    return {static_cast<int>((m_position.index + offset) % entries), entries};
}

/// \returns true when it is another limit than before.
bool endpoint_table::setLimit(instant now, endpoint_state &endpoint, double requestsPerSecond)
{
    const bool wasLimited = endpoint.limit.has_value();
    if (requestsPerSecond == noRequestLimit) {
        endpoint.limit.reset();
        if (wasLimited)
            endpoint.limitLiftedAt = now;
    } else if (wasLimited) {
        const double before = endpoint.limit->requestsPerSecond();
        endpoint.limit->named(now, requestsPerSecond);
        if (before == requestsPerSecond)
            return false;
    } else {
        endpoint.limit.emplace(now, requestsPerSecond, positionAt(endpoint));
    }
    const bool changed = wasLimited || endpoint.limit.has_value();
    if (changed)
        endpoint.limitToldAt = {};
    return changed;
}

std::optional<double> endpoint_table::takeLimitToAnnounce(instant now, const std::string &endpoint)
{
    endpoint_state *known = find(endpoint);
    if (!known)
        return std::nullopt;
    const bool lifted
            = known->limitLiftedAt != instant{} && now - known->limitLiftedAt < limitLiftedTime;
    const bool toldLately
            = known->limitToldAt != instant{} && now - known->limitToldAt < limitRefreshTime;
    if (toldLately || (!known->limit && !lifted))
        return std::nullopt;
    known->limitToldAt = now;
    return known->limit ? known->limit->requestsPerSecond() : noRequestLimit;
}

void endpoint_table::applyRemoteLimit(instant now, const std::string &endpoint,
                                      double requestsPerSecond)
{
    endpoint_state *known = find(endpoint);
    if (!known)
        return;
    static_cast<void>(setLimit(now, *known, requestsPerSecond));
    known->limitToldAt = now;
}

std::optional<nanoseconds> endpoint_table::limitedWait(instant now, bool steadyOnly,
                                                       std::size_t waiting) const
{
    double rate = 0;
    nanoseconds first = nanoseconds::max();
    for (const endpoint_state &one : m_rows) {
        if (one.row.role == state::engine_role::Prefill || !acceptsWork(one, steadyOnly))
            continue;
        if (!one.limit)
            return std::nullopt;
        rate += one.limit->ownRate();
        first = std::min(first, one.limit->timeUntilAllowed(now).value_or(first));
    }
    if (rate <= 0)
        return std::nullopt;
    return first
            + std::chrono::duration_cast<nanoseconds>(
                    std::chrono::duration<double>(static_cast<double>(waiting) / rate));
}

} // namespace yuccascale::kernel::requests
