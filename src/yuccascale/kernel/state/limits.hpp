#pragma once

#include <cstddef>

/// \file
/// \brief Limits on the memory of the replicated state.

namespace yuccascale::kernel::state {

/// \brief Limits of the state machine. All replicas of a cluster must use the same values.
struct limits
{
    std::size_t operationAnswers = 20'000;     ///< results of edits kept for resends
    std::size_t claims = 60'000;               ///< claims kept with their outcome
    std::size_t expiredClaims = 100'000;       ///< digests of older claims, refused as too old
    std::size_t claimAnswerBytes = 24U << 20U; ///< bytes of all recorded answers
    std::size_t maxRecordedAnswerBytes = 256U << 10U; ///< bytes of one recorded answer
    std::size_t entries = 4'096;                      ///< entries whose usage sequence is kept
    std::size_t pendingBatches = 1'024;               ///< batches of one entry after a missing one
    /// Windows not frozen yet; at the limit, lines of other windows go to the nearest open one
    std::size_t openWindows = 60;
    std::size_t reportedWindows = 1'024; ///< digests of windows already reported
    std::size_t settledOrders = 10'000;  ///< settled orders kept for the explain command
    std::size_t bans = 4'096;            ///< banned fingerprints
};

} // namespace yuccascale::kernel::state
