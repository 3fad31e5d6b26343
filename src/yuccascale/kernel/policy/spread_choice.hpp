#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <span>

/// \file
/// \brief Draws an endpoint so that entries with the same reports do not all choose the same one.

namespace yuccascale::kernel::policy {

/// \brief An endpoint among which a request may be placed.
struct spread_candidate
{
    std::size_t index = 0;
    double seconds = 0;           ///< until this request would be served
    double requestsPerSecond = 0; ///< that the endpoint can work off
    double probability = 0;       ///< set by spreadProbabilities()
};

/// \brief Sets the probability of each candidate.
///
/// \a unseen requests, which all entries together sent since the reports, fill the endpoints up to
/// the same time. The probability of an endpoint is its share of them. With few
/// unseen requests only the best endpoints get a share, with many the shares follow the speeds.
/// \param candidates get sorted by time
/// \param tieSeconds times that differ by less are taken as equal
void spreadProbabilities(std::span<spread_candidate> candidates, double unseen, double tieSeconds);

/// \returns a random candidate by the probabilities; nothing without candidates.
[[nodiscard]] std::optional<spread_candidate> drawSpread(std::span<spread_candidate> candidates,
                                                         double unseen, double tieSeconds,
                                                         std::mt19937_64 &random);

} // namespace yuccascale::kernel::policy
