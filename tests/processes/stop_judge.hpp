#pragma once

#include "processes/endpoint_runs.hpp"
#include "processes/request_record.hpp"
#include "yuccascale/kernel/clock.hpp"

#include <array>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief Judges what callers saw around planned stops of entries.

namespace yuccascale::processes {

/// \brief One planned stop; times in milliseconds since 1970.
struct node_stop
{
    std::size_t node = 0;
    std::int64_t signalledMs = 0;
    std::int64_t exitedMs = 0;
    std::int64_t readyMs = 0; ///< when the node started again was ready
    int exitCode = 0;
    bool killed = false; ///< still running at the end of its grace period
};

/// \brief The promises that a stop is judged by.
struct stop_promises
{
    kernel::milliseconds gracePeriod{8'000};
    std::array<kernel::milliseconds, requestKindCount> deadlines{}; ///< by request_kind
};

/// \brief Result; requests are described in one line each.
struct stop_findings
{
    std::vector<std::string> givenUp;          ///< accepted, and ended without a whole answer
    std::vector<std::string> ranThoughRefused; ///< answered 429 or 503, and run
    std::vector<std::string> ranTwice;
    int served = 0;
    int refused = 0;             ///< 429 and 503
    int failed = 0;              ///< other statuses than 200, 429 and 503
    int excused = 0;             ///< ended without a whole answer in a way that is allowed
    int refusedByLeaving = 0;    ///< 503 from an entry that was told to stop
    int refusedThoughInTime = 0; ///< of these, such that would usually have ended in time

    [[nodiscard]] std::string summary() const;
};

[[nodiscard]] stop_findings judgeStops(std::span<const request_record> records,
                                       std::span<const node_stop> stops, const endpoint_runs &runs,
                                       const stop_promises &promises);

} // namespace yuccascale::processes
