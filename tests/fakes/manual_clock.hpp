#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <atomic>

/// \file
/// \brief A clock that tests control.

namespace yuccascale::fakes {

/// \brief Stands still until a test advances it. Thread-safe.
class manual_clock final : public kernel::clock
{
public:
    [[nodiscard]] kernel::instant now() const noexcept override
    {
        return kernel::instant(kernel::nanoseconds(m_sinceStart.load()));
    }
    [[nodiscard]] kernel::wall_time wallNow() const noexcept override
    {
        return m_wallStart
                + std::chrono::duration_cast<kernel::milliseconds>(now().time_since_epoch());
    }

    void advance(kernel::nanoseconds step) noexcept { m_sinceStart += step.count(); }

private:
    std::atomic<kernel::nanoseconds::rep> m_sinceStart{0}; ///< ns
    kernel::wall_time m_wallStart{kernel::milliseconds(1'700'000'000'000)};
};

} // namespace yuccascale::fakes
