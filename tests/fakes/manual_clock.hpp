#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <atomic>
#include <cstddef>

/// \file
/// \brief A clock that tests control.

namespace yuccascale::fakes {

/// \brief Stands still until a test advances it. Thread-safe.
class manual_clock final : public kernel::clock
{
public:
    [[nodiscard]] kernel::instant now() const noexcept override
    {
        ++m_reads;
        return kernel::instant(kernel::nanoseconds(m_sinceStart.load()));
    }
    [[nodiscard]] kernel::wall_time wallNow() const noexcept override
    {
        return m_wallStart
                + std::chrono::duration_cast<kernel::milliseconds>(now().time_since_epoch());
    }

    /// \returns how often the time was read.
    [[nodiscard]] std::size_t reads() const noexcept { return m_reads; }

    void advance(kernel::nanoseconds step) noexcept { m_sinceStart += step.count(); }

private:
    std::atomic<kernel::nanoseconds::rep> m_sinceStart{0}; ///< ns
    mutable std::atomic<std::size_t> m_reads{0};
    kernel::wall_time m_wallStart{kernel::milliseconds(1'700'000'000'000)};
};

} // namespace yuccascale::fakes
