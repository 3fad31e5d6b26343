#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <cstdint>

/// \file
/// \brief Random numbers for simulations that can be replayed.

namespace yuccascale::properties {

using kernel::milliseconds;
using kernel::nanoseconds;

/// \brief Random numbers from a seed; the sequence is the same on every machine.
class seeded_random
{
public:
    explicit seeded_random(std::uint64_t seed)
        : m_state(seed)
    { }
    [[nodiscard]] std::uint64_t next() noexcept;
    [[nodiscard]] std::uint64_t below(std::uint64_t bound) noexcept { return next() % bound; }
    [[nodiscard]] bool chance(unsigned percent) noexcept { return below(100) < percent; }
    [[nodiscard]] nanoseconds between(milliseconds shortest, milliseconds longest) noexcept;

private:
    std::uint64_t m_state;
};

} // namespace yuccascale::properties
