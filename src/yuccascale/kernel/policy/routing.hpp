#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/plugin_registry.hpp"
#include "yuccascale/kernel/state/tables.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief The choice of an endpoint for one request.

namespace yuccascale::kernel::policy {

/// \brief What an endpoint reported of its load. Reports lag.
struct load_report
{
    instant measuredAt{}; ///< on this node's clock, already corrected for the report's age
    int running = 0;      ///< requests in the batch
    int queued = 0;       ///< requests waiting inside the endpoint
    std::int64_t prefillTokensWaiting = 0;
    std::int64_t decodeTokensWaiting = 0; ///< expected output tokens still to generate
    state::engine_role role = state::engine_role::Mixed;
    bool leaving = false; ///< it gave notice
};

/// \brief What this entry knows of one endpoint at the time of a choice.
struct endpoint_view
{
    const state::endpoint *row = nullptr; ///< its row in the pool
    bool usable = true; ///< not draining, not leaving, not sick, not banned for this request
    std::string_view unusableReason; ///< for the decision log
    load_report report;
    int sentSinceReport = 0;                   ///< by this entry, still running
    std::int64_t prefillTokensSinceReport = 0; ///< by this entry, no first token yet
    int outstandingHere = 0;                   ///< all requests of this entry that it runs now
    std::int64_t prefillTokensHere = 0;        ///< prompt tokens of those without a first token
    std::int64_t unannouncedTokensHere
            = 0; ///< those of prompts so short that no other entry is told
    std::int64_t prefillTokensElsewhere = 0; ///< prompt tokens that the other entries told of
    std::int64_t decodeTokensHere = 0;       ///< expected output tokens of those
    nanoseconds timeSinceFirstUse{};         ///< since this entry first sent it a request
    bool home = false; ///< the long shared part of this request's prompt belongs here
    std::int64_t cachedPromptTokens = 0;       ///< of this request's prompt, as far as is known
    std::int64_t fetchableTokens = 0;          ///< further tokens of it that another engine holds
    std::optional<std::size_t> fetchFrom = {}; ///< index of that engine
};

/// \brief A request as the router sees it.
struct routing_request
{
    std::string_view id;
    std::string_view organisation;
    std::string_view route;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; ///< expected
    instant deadline{};            ///< of the whole answer
    instant firstTokenDeadline{};  ///< of its first token
    bool idempotent = true;
    std::span<const std::string> avoidZones; ///< where an earlier try died
    int entries = 1;                         ///< entries that are taken to choose as this one does
    int fleetEntries = 1;                    ///< entries that send to the same endpoints
    bool mayDisaggregatePrefill
            = true; ///< this entry may have one more prompt filled by a prefill engine
};

/// \brief The endpoint chosen and why.
struct routing_choice
{
    std::size_t index = 0;                   ///< into the views
    std::optional<std::size_t> prefillIndex; ///< when another engine fills the prompt first
    nanoseconds predictedFirstToken{};       ///< from now
    nanoseconds predictedTotalTime{};        ///< from now
    std::string reason;
    /// Engine from which the one that fills the prompt fetches the shared parts.
    std::optional<std::size_t> fetchFrom = {};
};

/// \brief What came of a choice; teaches the router the endpoint's rates.
struct routing_outcome
{
    std::string_view endpoint;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t outputTokens = 0;
    nanoseconds timeToFirstToken{}; ///< from dispatch
    nanoseconds totalTime{};        ///< from dispatch
    int runningAtDispatch = 0;
    bool answered = false;
};

/// \brief Chooses endpoints. One instance per pool; its owner serialises calls.
///
/// \example
///     const auto choice = router->choose(now, request, views);
class router
{
public:
    virtual ~router() = default;

    /// \returns nothing when no view is usable.
    [[nodiscard]] virtual std::optional<routing_choice>
    choose(instant now, const routing_request &request, std::span<const endpoint_view> views) = 0;

    /// \brief Learns from a finished try.
    virtual void observe(instant now, const routing_outcome &outcome) = 0;
};

/// \brief Routers by name; the argument seeds a router's random numbers.
using router_registry = plugin_registry<router, std::uint64_t>;

} // namespace yuccascale::kernel::policy
