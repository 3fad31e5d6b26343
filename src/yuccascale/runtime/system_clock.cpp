#include "yuccascale/runtime/system_clock.hpp"

#include <ctime>

namespace yuccascale::runtime {

kernel::instant system_clock::now() const noexcept
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return kernel::instant(std::chrono::seconds(reading.tv_sec)
                           + std::chrono::nanoseconds(reading.tv_nsec));
}

kernel::wall_time system_clock::wallNow() const noexcept
{
    return std::chrono::time_point_cast<kernel::milliseconds>(std::chrono::system_clock::now());
}

} // namespace yuccascale::runtime
