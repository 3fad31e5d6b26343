#pragma once

#include <cstdint>
#include <string>

/// \file
/// \brief What an entry tells the others of an organisation that has a quota.

namespace yuccascale::kernel::requests {

/// \brief Tokens asked for and admitted at one entry.
struct quota_report
{
    std::string organisation;
    std::uint32_t run = 0;        ///< of the reporting process; another one after a restart
    double askedPerSecond = 0;    ///< recently
    double admittedPerSecond = 0; ///< recently
    double admittedTotal = 0;     ///< in this run, without what was returned
    double admittedInWindow = 0;  ///< in the last window of the quota

    [[nodiscard]] bool operator==(const quota_report &) const = default;
};

} // namespace yuccascale::kernel::requests
