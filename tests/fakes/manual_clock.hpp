#pragma once

#include "yuccascale/kernel/clock.hpp"

/// \file
/// \brief A clock that tests control.

namespace yuccascale::fakes {

/// \brief Stands still until a test advances it.
class manual_clock final : public kernel::clock
{
public:
    [[nodiscard]] kernel::instant now() const noexcept override { return m_now; }
    [[nodiscard]] kernel::wall_time wallNow() const noexcept override
    {
        return m_wallStart
                + std::chrono::duration_cast<kernel::milliseconds>(m_now.time_since_epoch());
    }

    void advance(kernel::nanoseconds step) noexcept { m_now += step; }

private:
    kernel::instant m_now{};
    kernel::wall_time m_wallStart{kernel::milliseconds(1'700'000'000'000)};
};

} // namespace yuccascale::fakes
