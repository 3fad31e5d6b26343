#pragma once

#include "yuccascale/kernel/policy/admission.hpp"
#include "yuccascale/kernel/policy/dispatch_window.hpp"
#include "yuccascale/kernel/policy/queue_meter.hpp"
#include "yuccascale/kernel/policy/routing.hpp"
#include "yuccascale/kernel/policy/service_estimate.hpp"
#include "yuccascale/kernel/requests/charge_book.hpp"
#include "yuccascale/kernel/requests/demand_meter.hpp"
#include "yuccascale/kernel/requests/endpoint_table.hpp"
#include "yuccascale/kernel/requests/placement.hpp"
#include "yuccascale/kernel/requests/prompt_caches.hpp"
#include "yuccascale/kernel/requests/request_actions.hpp"
#include "yuccascale/kernel/requests/retry_budget.hpp"
#include "yuccascale/kernel/requests/suspects.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief The queue of one pool at one entry, and the endpoints behind it.

namespace yuccascale::kernel::requests {

/// \brief Strategies of a pool.
struct pool_strategies
{
    std::unique_ptr<policy::router> router;
    std::unique_ptr<policy::admission> admission;
    std::unique_ptr<policy::fair_queue> queue;
};

/// \brief Bounds of a pool's queue and of the work sent ahead.
struct queue_limits
{
    std::size_t maxWaiting = 2'048;
    policy::window_limits window;
    bool assumeOthers = true; ///< the other entries are taken to send what this one sends
    retry_limits retries;     ///< of all entries together
    /// A non-idempotent request goes to cheap endpoints only if it ends sooner than this.
    nanoseconds cheapNotice{};
};

/// \brief This entry's place among the entries, by name.
struct entry_position
{
    int index = 0;
    int count = 1;
};

/// \brief A request that got an endpoint.
struct endpoint_assignment
{
    std::uint64_t ticket = 0;
    std::string endpoint;
    std::string zone;
    std::string address;           ///< IP:port
    std::uint64_t incarnation = 0; ///< of the endpoint when it was chosen; 0 when unknown
    std::string prefillEndpoint;   ///< empty unless another engine fills the prompt first
    std::string prefillAddress;
    std::string cacheEndpoint; ///< holds parts of the prompt that the filling engine fetches
    std::string cacheAddress;
    std::string reason; ///< for the decision log
    nanoseconds predictedFirstToken{};
    std::int64_t cachedTokens = 0;  ///< believed cached where the prompt is filled
    std::int64_t backlogTokens = 0; ///< prompt tokens that this entry has waiting there
    int reportedRequests = 0;       ///< requests that the endpoint told of
    nanoseconds reportAge{};        ///< of that; zero when it told none
};

/// \brief How a request left its endpoint.
struct attempt_result
{
    bool answered = false;
    bool crashed = false;
    bool unreachable = false; ///< no connection could be opened
    bool replaced = false;    ///< another endpoint answers at its address
    bool excludedFromHealth
            = false; ///< the endpoint is neither praised nor blamed: cancelled, said not run
    token_usage usage;
    nanoseconds timeToFirstToken{};
    nanoseconds totalTime{};
};

/// \brief How an engine that fills a prompt for another ended it.
enum class prefill_outcome {
    Completed,
    Refused, ///< it says that it did not
    Failed,  ///< no answer, or none that can be read
};

/// \brief What finish() found out.
struct finish_findings
{
    bool breakerOpened = false;
    bool breakerClosed = false;
    std::string crashingFingerprint;
};

/// \brief Queue, admission, routing and slots of one pool. Not thread-safe; its owner serialises.
class pool_scheduler
{
public:
    pool_scheduler(pool_strategies strategies, queue_limits limits);

    /// \brief Takes over the pool's rows.
    void setRows(const state::pool &pool);
    void setPosition(entry_position position);

    [[nodiscard]] endpoint_table &endpoints() noexcept { return m_endpoints; }

    /// \brief Puts a request into the queue.
    /// \param weight of its organisation
    /// \returns a refusal, or nothing when it waits.
    [[nodiscard]] std::optional<refusal> push(instant now, std::uint64_t ticket,
                                              const request &subject, double weight,
                                              const enqueue &options);

    /// \brief Takes a request out of the queue.
    void remove(std::uint64_t ticket);

    /// \brief Takes out the requests that no endpoint will ever take.
    /// \returns their tickets.
    [[nodiscard]] std::vector<std::uint64_t> takeUnservable();

    /// \brief Takes out the requests that can no longer be in time.
    /// \returns their tickets.
    [[nodiscard]] std::vector<std::uint64_t> takeLate(instant now);

    /// \returns when it is worth coming back, as the queue stands.
    [[nodiscard]] nanoseconds retryAfter(instant now);

    /// \brief Takes out the waiting requests of a fingerprint.
    /// \returns their tickets.
    [[nodiscard]] std::vector<std::uint64_t> takeFingerprint(const std::string &fingerprint);

    /// \brief Gives endpoints to waiting requests for as long as there is room.
    [[nodiscard]] std::vector<endpoint_assignment> schedule(instant now);

    /// \brief The first piece of an answer came.
    void firstPiece(instant now, std::uint64_t ticket);

    /// \brief The prompt of a turn with a prefill endpoint was filled there, or not.
    /// \param took since it was sent
    void prefillFinished(instant now, std::uint64_t ticket, prefill_outcome outcome,
                         nanoseconds took);

    /// \brief The request left its endpoint, or gave back its turn.
    finish_findings finish(instant now, std::uint64_t ticket, const attempt_result &result);

    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }

    /// \returns what is new since the last call, to be told to the other entries.
    [[nodiscard]] endpoint_updates takeUpdates() { return std::exchange(m_updates, {}); }

    /// \brief Takes in a failure that another entry saw.
    /// \returns true when the endpoint is suspected from now on.
    bool failedElsewhere(instant now, const endpoint_failure &failure)
    {
        return m_endpoints.failedElsewhere(now, failure.endpoint, failure.crashed);
    }

    /// \brief Takes in a long prompt that another entry placed.
    void placedElsewhere(instant now, const placement &placed);

    /// \returns what was offered since the last call, and what waits.
    [[nodiscard]] demand_report takeDemand(instant now);

    /// \returns what this entry charged its organisations, to be told to the others.
    [[nodiscard]] charge_accumulator &charges() noexcept { return m_charges; }

    /// \brief Takes in what an organisation was charged at another entry.
    void chargedElsewhere(const std::string &organisation, double weight, double cost)
    {
        m_strategies.queue->chargedElsewhere(organisation, weight, cost);
    }

private:
    struct queued_request
    {
        policy::waiting_request row;
        std::string id;
        std::string fingerprint;
        endpoint_work work;
        std::vector<prompt_part> parts;
        bool steadyOnly = false;
        bool runsOnce = false;
        enqueue options;
    };
    struct running_request
    {
        queued_request queued;
        std::string endpoint;
        std::string zone;
        instant sentAt{};
        int runningAtDispatch = 0;
        std::int64_t cachedTokens = 0;    ///< believed cached where the prompt is filled
        std::string prefillEndpoint = {}; ///< empty unless another engine fills the prompt
    };

    [[nodiscard]] std::optional<endpoint_assignment> place(instant now, queued_request &waiting);
    [[nodiscard]] std::vector<policy::endpoint_view> viewsFor(instant now,
                                                              const queued_request &waiting);
    [[nodiscard]] policy::routing_request routingRequest(const queued_request &waiting) const;
    [[nodiscard]] endpoint_assignment
    makeAssignment(instant now, const queued_request &waiting, const policy::routing_choice &choice,
                   std::span<const policy::endpoint_view> views) const;
    void recordSent(instant now, const queued_request &waiting,
                    const endpoint_assignment &assignment, std::int64_t cached);
    void announcePlacement(const queued_request &waiting, const endpoint_assignment &assignment,
                           std::int64_t tokens);
    bool recordFailure(instant now, const std::string &pool, const std::string &endpoint,
                       bool crashed);
    [[nodiscard]] int sendingEntries() const noexcept;
    [[nodiscard]] std::size_t prefillSlots() const noexcept;
    static void avoidZones(const queued_request &waiting,
                           std::vector<policy::endpoint_view> &views);
    [[nodiscard]] bool mayRunOwnSuspects(const std::string &endpoint) const;
    void isolateSuspects(const queued_request &waiting,
                         std::vector<policy::endpoint_view> &views) const;
    [[nodiscard]] std::optional<refusal> refuseRetry(instant now);
    [[nodiscard]] std::optional<refusal> refuseAdmission(instant now,
                                                         const policy::waiting_request &row);
    [[nodiscard]] bool hasDispatchRoom(instant now);

    pool_strategies m_strategies;
    queue_limits m_limits;
    crash_suspects m_suspects;
    std::vector<std::string> m_suspectEndpointOrder; ///< endpoints, dealt to the entries in turn
    entry_position m_position;
    endpoint_table m_endpoints;
    charge_accumulator m_charges;
    demand_meter m_demand;
    std::map<std::uint64_t, queued_request> m_waiting;
    std::deque<std::uint64_t> m_unplaced; ///< taken from the queue, no endpoint for them yet
    std::map<std::uint64_t, running_request> m_running;
    endpoint_updates m_updates;             ///< not told to the other entries yet
    std::uint64_t m_retrySpreadCounter = 0; ///< spreads the advice to come back
    std::size_t m_activePrefills = 0;       ///< prompts of this entry that prefill engines fill now
    retry_budget m_retries;
    prompt_caches m_caches;
    policy::queue_meter m_queueMeter;
    std::map<std::string, policy::service_estimate> m_services; ///< by route
    policy::dispatch_window m_window;
};

} // namespace yuccascale::kernel::requests
