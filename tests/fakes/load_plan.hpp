#pragma once

#include "yuccascale/kernel/json.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// \brief Plan of the load program: a mixed load with Poisson arrivals from a fixed seed.

namespace yuccascale::fakes {

/// \brief One organisation's share of the load.
struct load_organisation
{
    std::string name;
    std::string key;
    double requestsPerSecond = 1;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(load_organisation, name, key, requestsPerSecond)
};

/// \brief A phase of the load with its own prompt-to-output mix.
struct load_phase
{
    double seconds = 10;
    std::int64_t promptTokens = 400; ///< mean; drawn uniformly from 0.5 to 1.5 times the mean
    std::int64_t outputTokens = 40;  ///< likewise

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(load_phase, seconds, promptTokens, outputTokens)
};

/// \brief The plan of one run.
struct load_plan
{
    std::uint64_t seed = 1;
    std::vector<std::string> addresses; ///< nodes that serve the entry addresses, IP:port
    std::vector<load_organisation> organisations;
    std::vector<load_phase> phases;
    std::string modelRoute = "briefing";
    std::string serviceRoute = "tickets";
    double serviceShare = 0.2;       ///< share of requests sent to the service route
    std::int64_t sharedPrefix = 128; ///< prompt tokens that an organisation's prompts share
    std::int64_t deadlineMs = 20'000;
    std::int64_t firstTokenMs = 1'300;
    int callers = 256; ///< maximum number of requests in flight

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(load_plan, seed, addresses, organisations, phases,
                                                modelRoute, serviceRoute, serviceShare,
                                                sharedPrefix, deadlineMs, firstTokenMs, callers)
};

/// \brief One request of the load.
struct planned_request
{
    double atSeconds = 0;
    std::size_t organisation = 0; ///< index into the plan
    bool service = false;
    std::string id;
    std::string prompt;
    std::int64_t outputTokens = 0;
};

/// \returns the requests of \a plan sorted by time.
[[nodiscard]] std::vector<planned_request> scheduleOf(const load_plan &plan);

} // namespace yuccascale::fakes
