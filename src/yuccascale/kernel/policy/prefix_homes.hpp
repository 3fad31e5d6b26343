#pragma once

#include <cstdint>
#include <string_view>

/// \file
/// \brief Which engine of a pool keeps a shared part of prompts.
///
/// Load: many requests share a few long prompt parts, and the engines' caches hold each part once
/// or a few times but not everywhere. Entries that never talk to each other then still agree where
/// to send them, and an engine that comes or goes moves only its own parts.

namespace yuccascale::kernel::policy {

/// \brief Weighted rendezvous hashing.
/// \param share of the parts that the engine keeps, relative to the others
/// \returns the score of an engine for a part; the engine with the greatest score is its home.
[[nodiscard]] double homeScore(std::uint64_t part, std::string_view engine, double weight) noexcept;

} // namespace yuccascale::kernel::policy
