#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

/// \file
/// \brief Decides which callers' connections give up their memory when a process runs short of it.
///
/// Addresses many connections that each stay within the limits of one, such as bodies that stop
/// short of their end and answers that are not read.

namespace yuccascale::kernel::requests {

/// \brief What a connection holds and may be asked to give up.
struct memory_holder
{
    std::uint64_t id = 0;
    std::size_t bytes = 0;
    instant since{};        ///< when it began to hold any
    instant progressedAt{}; ///< when it last received or sent bytes
};

/// \brief What all connections of a process hold.
struct memory_totals
{
    std::size_t limit = 0;
    std::size_t held = 0;
    std::size_t greatest = 0; ///< held by the connection that holds most
};

/// \returns whether nothing has to be given up. The greatest holding is not counted while all
///          others together hold little, so that a request within the limits of one connection is
///          served whatever the limit is.
[[nodiscard]] bool memorySuffices(const memory_totals &totals) noexcept;

/// \brief Chooses the connections that hold most and progress least.
/// \returns the ids to shed, costliest first, so many that a part of the limit becomes free, or
///          that it is reached when that is all that can be; empty when the memory suffices and
///          when shedding all of them cannot reach the limit.
///
/// \example
///     for (const std::uint64_t id : holdersToShed(totals, holders, clock.now()))
///         shed(id);
[[nodiscard]] std::vector<std::uint64_t>
holdersToShed(const memory_totals &totals, std::vector<memory_holder> holders, instant now);

} // namespace yuccascale::kernel::requests
