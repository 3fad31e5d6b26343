#pragma once

#include "processes/endpoint_relay.hpp"
#include "processes/stop_judge.hpp"

#include <set>
#include <span>
#include <string>

/// \file
/// \brief Judges how entries that are cut from all endpoints served their callers.

namespace yuccascale::processes {

/// \brief One cut; times in milliseconds since 1970.
struct endpoint_cut
{
    std::set<std::size_t> nodes;
    endpoint_fault fault = endpoint_fault::None;
    std::int64_t beganMs = 0;
    std::int64_t endedMs = 0;
};

/// \brief First attempts of callers from cutDetectionTime after the cut began until its end.
struct cut_findings
{
    int triedAtCut = 0;
    int servedAtCut = 0;
    int triedElsewhere = 0;
    int servedElsewhere = 0;

    /// \returns whether the cut entries served less than two thirds as often as the others and more
    ///          than 10 attempts and 1 in 50 failed there.
    [[nodiscard]] bool servedWorse() const noexcept;

    [[nodiscard]] std::string summary() const;
};

/// From the beginning of a cut until the cut entries are to serve about as often as the others.
constexpr kernel::milliseconds cutDetectionTime{3'000};

/// \param stops entries that were being stopped, or were started lately, are left out
[[nodiscard]] cut_findings judgeCut(std::span<const request_record> records,
                                    const endpoint_cut &cut, std::span<const node_stop> stops);

} // namespace yuccascale::processes
