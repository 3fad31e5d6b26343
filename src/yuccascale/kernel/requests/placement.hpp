#pragma once

#include "yuccascale/kernel/policy/endpoint_rates.hpp"
#include "yuccascale/kernel/requests/request.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string>
#include <vector>

/// \file
/// \brief Endpoint updates that entries exchange: placed prompts, failures, crashes, request
/// limits, learnt rates and announcements that an endpoint is leaving.

namespace yuccascale::kernel::requests {

/// Shortest prompt, in tokens, that is announced to the other entries. Shorter ones cause little
/// delay.
inline constexpr std::int64_t minAnnouncedTokens = 1'024;

/// \brief A long prompt sent to an engine.
struct placement
{
    std::string pool;
    std::string endpoint;           ///< decodes, and has the parts cached from the first token on
    std::string prefillEndpoint;    ///< prefills the prompt; may be the decoding endpoint itself
    std::int64_t tokens = 0;        ///< prompt tokens to prefill
    nanoseconds timeToFirstToken{}; ///< predicted
    std::vector<prompt_part> parts; ///< parts of the prompt that other requests may share
};

/// \brief An endpoint failed a request or could not be reached.
struct endpoint_failure
{
    std::string pool;
    std::string endpoint;
    bool crashed = false; ///< the endpoint crashed, was replaced or is unreachable
};

/// \brief An endpoint announced that it is leaving.
struct endpoint_leaving
{
    std::string pool;
    std::string endpoint;
};

/// \brief An endpoint crashed while it worked on prompts.
struct endpoint_crash
{
    std::string pool;
    std::string endpoint;
    std::vector<std::uint64_t> parts; ///< of these prompts that other requests may share
};

/// \brief An endpoint named the requests a second that it accepts from all entries together.
struct endpoint_limit
{
    std::string pool;
    std::string endpoint;
    double requestsPerSecond = 0; ///< noRequestLimit: it names none any more
};

/// \brief What an entry learnt from answers of an endpoint that reports a pace: its newest load
/// report, and its rates at the usual pace.
struct endpoint_rate
{
    std::string pool;
    std::string endpoint;
    std::int64_t startedMs = 0;    ///< of the endpoint's process; 0: not known
    std::uint64_t incarnation = 0; ///< of the endpoint; 0: not reported
    policy::rate_observation seen;
    double pace = 0;   ///< 1 is usual; 0: not reported, and then the figures below are not either
    nanoseconds age{}; ///< of the report
    int running = 0;
    int queued = 0;
    int slots = 0; ///< 0: not reported
    /// Time since the newest long prompt with a first token was sent; 0: none since the last row.
    nanoseconds promptSentAge{};
    nanoseconds firstTokenAge{}; ///< time since that token
};

/// \brief Parts that were suspected of crashing endpoints were answered.
struct cleared_parts
{
    std::string pool;
    std::vector<std::uint64_t> parts;
};

/// \brief Updates that an entry sends to the other entries without delay.
struct endpoint_updates
{
    std::vector<placement> placements;
    std::vector<endpoint_failure> failures;
    std::vector<endpoint_leaving> leaving;
    std::vector<endpoint_crash> crashes = {};
    std::vector<cleared_parts> cleared = {};
    std::vector<endpoint_limit> limits = {};
    std::vector<endpoint_rate> rates = {}; ///< sent along, never the cause of a message

    [[nodiscard]] bool empty() const noexcept
    {
        return placements.empty() && failures.empty() && leaving.empty() && crashes.empty()
                && cleared.empty() && limits.empty() && rates.empty();
    }

    /// \brief Adds later updates.
    void append(endpoint_updates later)
    {
        std::ranges::move(later.placements, std::back_inserter(placements));
        std::ranges::move(later.failures, std::back_inserter(failures));
        std::ranges::move(later.leaving, std::back_inserter(leaving));
        std::ranges::move(later.crashes, std::back_inserter(crashes));
        std::ranges::move(later.cleared, std::back_inserter(cleared));
        std::ranges::move(later.limits, std::back_inserter(limits));
        std::ranges::move(later.rates, std::back_inserter(rates));
    }
};

} // namespace yuccascale::kernel::requests
