#pragma once

#include <chrono>
#include <cstdint>

/// \file
/// \brief Clocks. Decision code takes the current time as an argument and never reads a clock
/// itself.

namespace yuccascale::kernel {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

/// \brief A monotonic time scale that also counts the time a VM was suspended.
struct boot_clock
{
    using duration = nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;
};

/// \brief A point on the boot clock of one VM; not comparable between VMs.
using instant = boot_clock::time_point;

/// \brief Milliseconds since 1970 in UTC; used for usage windows and logs, never for leases.
using wall_time = std::chrono::time_point<std::chrono::system_clock, milliseconds>;

/// \brief Source of the current time. The process has one; tests use a clock that they set
/// themselves.
///
/// \example
///     const instant deadline = clock.now() + 2s;
class clock
{
public:
    virtual ~clock() = default;

    /// \returns the current time of the boot clock.
    [[nodiscard]] virtual instant now() const noexcept = 0;

    /// \returns the current wall-clock time in UTC.
    [[nodiscard]] virtual wall_time wallNow() const noexcept = 0;
};

} // namespace yuccascale::kernel
