#pragma once

#include "yuccascale/kernel/clock.hpp"

/// \file
/// \brief The clock of a running process.

namespace yuccascale::runtime {

/// \brief Reads CLOCK_BOOTTIME, so that a lease also runs out while the VM is suspended.
class system_clock final : public kernel::clock
{
public:
    [[nodiscard]] kernel::instant now() const noexcept override;
    [[nodiscard]] kernel::wall_time wallNow() const noexcept override;
};

} // namespace yuccascale::runtime
