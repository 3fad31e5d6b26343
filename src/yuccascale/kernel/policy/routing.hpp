#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/plugin_registry.hpp"
#include "yuccascale/kernel/policy/endpoint_pace.hpp"
#include "yuccascale/kernel/state/tables.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Interface for choosing the endpoint of a request.

namespace yuccascale::kernel::policy {

/// \brief Load reported by an endpoint. Reports lag behind its actual load.
struct load_report
{
    instant measuredAt{}; ///< on this node's clock, already corrected for the report's age
    int running = 0;      ///< requests in the batch
    int queued = 0;       ///< requests waiting inside the endpoint
    std::int64_t prefillTokensWaiting = 0;
    std::int64_t decodeTokensWaiting = 0; ///< expected output tokens still to generate
    state::engine_role role = state::engine_role::Mixed;
    bool leaving = false; ///< the endpoint announced that it is leaving
    int slots = 0;        ///< that the endpoint has; 0: not reported
    double pace = 0;      ///< how long work takes there now, 1 is usual; 0: not reported
};

/// \brief What is known of an endpoint's speed, in pools whose endpoints report a pace.
struct endpoint_speed
{
    endpoint_pace pace;
    int slots = 1;                     ///< reported, or else listed
    bool plainService = false;         ///< has a queue of its own and no prompts
    double prefillTokensPerSecond = 0; ///< at the usual pace; 0: not known
    double slowdown = 1;               ///< time that other work takes, relative to the pool's
    double tokenSeconds = 0;           ///< usual time between tokens in the pool; 0: not known
    double answerSeconds = 0;          ///< usual time of a whole answer in the pool; 0: not known
    double promptTokens = 0;           ///< usual tokens to prefill of a short prompt
    double queuedTokens = 0;           ///< to prefill before the next prompt
};

/// \brief State of one endpoint as known to this entry at the time of a choice.
struct endpoint_view
{
    const state::endpoint *row = nullptr; ///< its row in the pool
    bool usable = true;              ///< not draining, leaving, sick, full, suspected or excluded
    std::string_view unusableReason; ///< reason for the log; empty when usable
    load_report report;
    int sentSinceReport = 0;                   ///< by this entry, still running
    std::int64_t prefillTokensSinceReport = 0; ///< by this entry, no first token yet
    int ownOutstandingRequests = 0;            ///< all requests of this entry that it runs now
    std::int64_t ownPrefillTokens = 0;         ///< prompt tokens of those without a first token
    /// Part of ownPrefillTokens from prompts too short to be announced to other entries.
    std::int64_t ownUnannouncedTokens = 0;
    std::int64_t remotePrefillTokens = 0; ///< prompt tokens announced by other entries
    std::int64_t ownDecodeTokens = 0;     ///< expected output tokens of this entry's requests
    nanoseconds timeSinceFirstUse{};      ///< since this entry first sent it a request
    bool home = false;                    ///< this is the home engine of the prompt's shared part
    std::int64_t cachedPromptTokens = 0;  ///< estimated cached tokens of this request's prompt
    std::int64_t fetchableTokens = 0; ///< additional tokens of it that another engine has cached
    std::optional<std::size_t> fetchFrom = {}; ///< index of that engine
    /// Nothing while no endpoint of the pool reports a pace.
    std::optional<endpoint_speed> speed = {};
};

/// \brief Properties of a request that a router uses.
struct routing_request
{
    std::string_view id;
    std::string_view organisation;
    std::string_view route;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; ///< expected
    instant deadline{};            ///< of the complete answer
    instant firstTokenDeadline{};  ///< of its first token
    bool idempotent = true;
    std::span<const std::string>
            avoidZones;                 ///< zones in which an endpoint crashed with this request
    int entries = 1;                    ///< entries assumed to choose as this one does
    int fleetEntries = 1;               ///< entries that send to the same endpoints
    bool mayDisaggregatePrefill = true; ///< this entry has a free prefill slot
    double kvSecondsPerToken = 0; ///< transfer time of a token's KV cache in a zone; 0: not known
};

/// \brief The chosen endpoint and the reason for the choice.
struct routing_choice
{
    std::size_t index = 0;                   ///< into the views
    std::optional<std::size_t> prefillIndex; ///< set when a separate engine prefills the prompt
    nanoseconds predictedFirstToken{};       ///< from now
    nanoseconds predictedTotalTime{};        ///< from now
    std::string reason;
    /// Index of the engine from which the prefilling engine fetches cached parts of the prompt.
    std::optional<std::size_t> fetchFrom = {};
};

/// \brief Outcome of an attempt, from which the router estimates the endpoint's rates.
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
    bool prefillOnly = false;     ///< it was the prefill for another engine
    std::int64_t tokensAhead = 0; ///< prompt tokens that the engine had to compute before
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

    /// \returns whether it uses endpoint_view::speed. Other routers are given views without it.
    [[nodiscard]] virtual bool usesPace() const noexcept { return false; }

    /// \brief Updates the router's estimates from a finished attempt.
    virtual void observe(instant now, const routing_outcome &outcome) = 0;
};

/// \brief Routers by name; the argument seeds a router's random numbers.
using router_registry = plugin_registry<router, std::uint64_t>;

} // namespace yuccascale::kernel::policy
