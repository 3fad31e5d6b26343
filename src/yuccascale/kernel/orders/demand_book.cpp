#include "yuccascale/kernel/orders/demand_book.hpp"

namespace yuccascale::kernel::orders {

void demand_aggregator::update(instant now, std::string_view entry,
                               std::span<const requests::demand_report> reports)
{
    entry_reports &stored = m_entries[std::string(entry)];
    stored.receivedAt = now;
    stored.byPool.clear();
    for (const requests::demand_report &report : reports)
        stored.byPool[report.pool] = report;
}

policy::pool_demand demand_aggregator::poolDemand(instant now, std::string_view pool) const
{
    policy::pool_demand sum;
    sum.measuredAt = now;
    double nonIdempotentWork = 0;
    double work = 0;
    for (const auto &[entry, stored] : m_entries) {
        const auto found = stored.byPool.find(pool);
        if (found == stored.byPool.end() || now - stored.receivedAt > m_validity)
            continue;
        const requests::demand_report &report = found->second;
        const double rate = report.prefillTokensPerSecond + report.decodeTokensPerSecond;
        sum.prefillTokensPerSecond += report.prefillTokensPerSecond;
        sum.decodeTokensPerSecond += report.decodeTokensPerSecond;
        sum.prefillBacklogTokens += report.prefillBacklogTokens;
        sum.decodeBacklogTokens += report.decodeBacklogTokens;
        nonIdempotentWork += rate * report.nonIdempotentShare;
        work += rate;
    }
    sum.nonIdempotentShare = work > 0 ? nonIdempotentWork / work : 0;
    return sum;
}

} // namespace yuccascale::kernel::orders
