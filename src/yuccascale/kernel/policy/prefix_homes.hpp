#pragma once

#include <cstdint>
#include <string_view>

/// \file
/// \brief Assigns each shared prompt part to a home engine of a pool.
///
/// Many requests share a few long prompt parts, and the engines' caches hold each part once or a
/// few times, but not on every engine. Entries choose the same home engine without communication,
/// and adding or removing an engine moves only the parts of that engine.

namespace yuccascale::kernel::policy {

/// \brief Weighted rendezvous hashing.
/// \param weight share of the parts that the engine keeps, relative to the other engines
/// \returns the score of an engine for a part; the engine with the greatest score is its home.
[[nodiscard]] double homeScore(std::uint64_t part, std::string_view engine, double weight) noexcept;

} // namespace yuccascale::kernel::policy
