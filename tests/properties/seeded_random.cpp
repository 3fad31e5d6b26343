#include "properties/seeded_random.hpp"

namespace yuccascale::properties {

std::uint64_t seeded_random::next() noexcept
{
    m_state += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

nanoseconds seeded_random::between(milliseconds shortest, milliseconds longest) noexcept
{
    const nanoseconds width = longest - shortest;
    return shortest
            + nanoseconds(static_cast<std::int64_t>(
                    below(static_cast<std::uint64_t>(width.count()) + 1)));
}

} // namespace yuccascale::properties
