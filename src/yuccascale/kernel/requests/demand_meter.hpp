#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/requests/work_meter.hpp"

#include <cstdint>
#include <optional>
#include <string>

/// \file
/// \brief Measures the load that callers offer to a pool at one entry.

namespace yuccascale::kernel::requests {

/// \brief Demand for one pool at one entry, reported to the control leader.
struct demand_report
{
    std::string pool;
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
    double prefillBacklogTokens = 0;
    double decodeBacklogTokens = 0;
    double nonIdempotentShare = 0; ///< share of the offered requests, 0 to 1

    /// For the number of endpoints; nothing when this entry does not measure it.
    std::optional<work_report> work = {};

    /// \returns true when no load was offered, no request is queued and no work was measured.
    [[nodiscard]] bool idle() const noexcept;
};

/// \brief Counts the requests offered between two reports. Not thread-safe.
class demand_meter
{
public:
    /// \brief Counts one request.
    /// \param outputTokens expected output tokens
    void offered(std::int64_t promptTokens, std::int64_t outputTokens, bool idempotent) noexcept;

    /// \brief Returns the demand since the last call and starts a new interval.
    /// \returns the rates; the backlogs and the pool name are left empty.
    [[nodiscard]] demand_report takeReport(instant now);

private:
    instant m_lastReportAt{};
    std::int64_t m_promptTokens = 0;
    std::int64_t m_outputTokens = 0;
    std::int64_t m_requests = 0;
    std::int64_t m_nonIdempotent = 0;
};

} // namespace yuccascale::kernel::requests
