#include "yuccascale/kernel/requests/demand_meter.hpp"

namespace yuccascale::kernel::requests {

bool demand_report::idle() const noexcept
{
    const double load = prefillTokensPerSecond + decodeTokensPerSecond + prefillBacklogTokens
            + decodeBacklogTokens;
    return load <= 0 && !work;
}

void demand_meter::offered(std::int64_t promptTokens, std::int64_t outputTokens,
                           bool idempotent) noexcept
{
    m_promptTokens += promptTokens;
    m_outputTokens += outputTokens;
    ++m_requests;
    m_nonIdempotent += idempotent ? 0 : 1;
}

demand_report demand_meter::takeReport(instant now)
{
    demand_report out;
    const std::chrono::duration<double> elapsed = now - m_lastReportAt;
    const bool measured = m_lastReportAt != instant{} && elapsed.count() > 0;
    if (measured) {
        out.prefillTokensPerSecond = static_cast<double>(m_promptTokens) / elapsed.count();
        out.decodeTokensPerSecond = static_cast<double>(m_outputTokens) / elapsed.count();
    }
    if (m_requests > 0) {
        out.nonIdempotentShare
                = static_cast<double>(m_nonIdempotent) / static_cast<double>(m_requests);
    }
    *this = {};
    m_lastReportAt = now;
    return out;
}

} // namespace yuccascale::kernel::requests
