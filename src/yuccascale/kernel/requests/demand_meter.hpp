#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <cstdint>
#include <string>

/// \file
/// \brief The work that callers offer a pool at one entry.

namespace yuccascale::kernel::requests {

/// \brief What one entry tells the leader of a pool.
struct demand_report
{
    std::string pool;
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
    double prefillBacklogTokens = 0;
    double decodeBacklogTokens = 0;
    double nonIdempotentShare = 0; ///< of the requests offered

    /// \returns true when nothing was offered and nothing waits.
    [[nodiscard]] bool idle() const noexcept;
};

/// \brief Counts what is offered between two reports. Not thread-safe.
class demand_meter
{
public:
    /// \brief Counts one request.
    /// \param outputTokens expected
    void offered(std::int64_t promptTokens, std::int64_t outputTokens, bool idempotent) noexcept;

    /// \returns the rates since the last call; the backlog and the pool's name are left out.
    [[nodiscard]] demand_report takeReport(instant now);

private:
    instant m_lastReportAt{};
    std::int64_t m_promptTokens = 0;
    std::int64_t m_outputTokens = 0;
    std::int64_t m_requests = 0;
    std::int64_t m_nonIdempotent = 0;
};

} // namespace yuccascale::kernel::requests
