#pragma once

#include <cstddef>

/// \file
/// \brief Bounds on the memory of the replicated state.

namespace yuccascale::kernel::state {

/// \brief Bounds of the state machine. All replicas of a cluster must use the same.
struct limits
{
    std::size_t operationAnswers = 20'000;        ///< answers to edits kept for resends
    std::size_t claims = 60'000;                  ///< claims kept with their outcome
    std::size_t expiredClaims = 100'000;          ///< digests of older claims, refused as too old
    std::size_t claimAnswerBytes = 24U << 20U;    ///< recorded answers together
    std::size_t largestAnswerBytes = 256U << 10U; ///< one recorded answer
    std::size_t entries = 4'096;                  ///< entries whose usage sequence is kept
    std::size_t pendingBatches = 1'024;           ///< batches of one entry beyond a missing one
    std::size_t openWindows = 60; ///< usage windows not frozen yet; later lines join the last
    std::size_t reportedWindows = 1'024; ///< digests of windows already reported
    std::size_t settledOrders = 10'000;  ///< orders kept for explain
    std::size_t bans = 4'096;            ///< fingerprints stopped fleet-wide
};

} // namespace yuccascale::kernel::state
