#pragma once

#include "yuccascale/kernel/policy/admission.hpp"
#include "yuccascale/kernel/policy/answer_times.hpp"
#include "yuccascale/kernel/policy/dispatch_window.hpp"
#include "yuccascale/kernel/policy/queue_meter.hpp"
#include "yuccascale/kernel/policy/routing.hpp"
#include "yuccascale/kernel/policy/service_estimate.hpp"
#include "yuccascale/kernel/requests/charge_book.hpp"
#include "yuccascale/kernel/requests/demand_meter.hpp"
#include "yuccascale/kernel/requests/endpoint_table.hpp"
#include "yuccascale/kernel/requests/part_suspects.hpp"
#include "yuccascale/kernel/requests/placement.hpp"
#include "yuccascale/kernel/requests/prompt_caches.hpp"
#include "yuccascale/kernel/requests/request_actions.hpp"
#include "yuccascale/kernel/requests/retry_budget.hpp"
#include "yuccascale/kernel/requests/suspects.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief Schedules the requests of one pool at one entry to the pool's endpoints.

namespace yuccascale::kernel::requests {

/// \brief Routing, admission and queueing strategies of a pool.
struct pool_strategies
{
    std::unique_ptr<policy::router> router;
    std::unique_ptr<policy::admission> admission;
    std::unique_ptr<policy::fair_queue> queue;
};

/// \brief Bounds of a pool's queue and of the work sent to its endpoints.
struct queue_limits
{
    std::size_t maxWaiting = 2'048;
    policy::window_limits window;
    bool assumeOthers = true; ///< assume that every other entry sends as much as this one
    retry_limits retries;     ///< for all entries together
    /// A non-idempotent request is sent to cheap endpoints only if its predicted service time is
    /// shorter than this.
    nanoseconds cheapNotice{};
    /// After this time the platform's list no longer tells who is draining; 0: it always does.
    nanoseconds drainNotice{};
    bool measureWork = false; ///< for pools whose numbers of endpoints can be ordered
};

/// \brief A queued request and the endpoint chosen for it.
struct endpoint_assignment
{
    std::uint64_t ticket = 0;
    std::string endpoint;
    std::string zone;
    std::string address;           ///< IP:port
    std::string softwareVersion;   ///< of the endpoint
    std::uint64_t incarnation = 0; ///< of the endpoint at the time of the choice; 0 when unknown
    std::string prefillEndpoint;   ///< empty unless a separate engine prefills the prompt
    std::string prefillAddress;
    std::int64_t startedMs = 0;        ///< of the endpoint's process; 0: not known
    std::int64_t prefillStartedMs = 0; ///< of the prefilling engine's process
    std::string
            cacheEndpoint; ///< has parts of the prompt cached, which the prefilling engine fetches
    std::string cacheAddress;
    std::string reason; ///< reason of the choice, for the log
    nanoseconds predictedFirstToken{};
    std::int64_t cachedTokens = 0;    ///< estimated cached tokens at the prefilling engine
    std::int64_t fetchableTokens = 0; ///< that it is expected to fetch beside those
    std::size_t prefillRoom = 0; ///< prompts that this entry could still place at prefill engines
    std::int64_t backlogTokens
            = 0;              ///< prompt tokens of this entry waiting at the prefilling engine
    int reportedRequests = 0; ///< running and queued requests in the endpoint's last load report
    nanoseconds reportAge{};  ///< age of that report; zero without a report
    double pace = 0;          ///< expected of the endpoint; 0: its pool's report none
    double prefillTokensPerSecond = 0; ///< learnt of the prefilling engine; 0: not known
    /// Age of the platform's list when the endpoint was chosen; nothing: not known, or not listed
    std::optional<nanoseconds> listAge;
    /// What has become of the endpoint when the request takes the assignment
    endpoint_standing standing = endpoint_standing::Serving;
    bool relayed = false; ///< the endpoint is another entry, which serves the request
};

/// \brief Outcome of one attempt at an endpoint.
struct attempt_result
{
    bool answered = false;
    bool crashed = false;
    bool unreachable = false;        ///< no connection could be established
    bool replaced = false;           ///< a different endpoint answers at its address
    bool excludedFromHealth = false; ///< counts neither as success nor as failure of the endpoint,
                                     ///< for example when cancelled or reported as not run
    token_usage usage;
    nanoseconds timeToFirstToken{};
    nanoseconds totalTime{};
    bool rejected = false; ///< the endpoint reported that it did not run the request
};

/// \brief Outcome of a prefill at a separate engine.
enum class prefill_outcome {
    Completed,
    Refused, ///< the engine answered that it did not prefill the prompt
    Failed,  ///< no answer, or an unreadable one
};

/// \brief State changes caused by the end of an attempt.
struct finish_findings
{
    bool breakerOpened = false;
    bool breakerClosed = false;
    std::string crashingFingerprint;
};

/// \brief Queue, admission, routing and endpoint state of one pool. Not thread-safe; its owner
/// serialises calls.
class pool_scheduler
{
public:
    pool_scheduler(pool_strategies strategies, queue_limits limits);

    /// \brief Replaces the pool's endpoint rows.
    void setRows(const state::pool &pool);
    void setPosition(instant now, entry_position position);

    [[nodiscard]] endpoint_table &endpoints() noexcept { return m_endpoints; }
    [[nodiscard]] const endpoint_table &endpoints() const noexcept { return m_endpoints; }

    /// \brief Queues a request.
    /// \param weight fair-share weight of its organisation
    /// \returns a refusal, or nothing when the request is queued.
    [[nodiscard]] std::optional<refusal> push(instant now, std::uint64_t ticket,
                                              const request &callerRequest, double weight,
                                              const enqueue &options);

    /// \brief Removes a request from the queue.
    void remove(std::uint64_t ticket);

    /// \brief Removes the queued requests that no endpoint of the pool accepts.
    /// \returns their tickets.
    [[nodiscard]] std::vector<std::uint64_t> takeUnservable();

    /// \brief Removes the queued requests that can no longer be answered in time.
    /// \returns their tickets.
    [[nodiscard]] std::vector<std::uint64_t> takeLate(instant now);

    /// \returns the retry delay advised to callers for the current queue.
    [[nodiscard]] nanoseconds retryAfter(instant now);

    /// \brief Removes the queued requests with a fingerprint.
    /// \returns their tickets.
    [[nodiscard]] std::vector<std::uint64_t> takeFingerprint(const std::string &fingerprint);

    /// \brief Removes the queued requests whose prompts hold parts that crash endpoints.
    /// \returns their tickets.
    [[nodiscard]] std::vector<std::uint64_t> takeBanned(instant now);

    /// \returns the parts that were found to crash endpoints since the last call.
    [[nodiscard]] std::vector<part_set> takeCrashCauses(instant now)
    {
        return m_partSuspects.takeCauses(now);
    }

    /// \brief Assigns endpoints to queued requests while the dispatch window has room.
    [[nodiscard]] std::vector<endpoint_assignment> schedule(instant now);

    /// \returns whether the endpoint of an assignment may still be sent to, and with
    /// \a withPrefill the engine that prefills its prompt.
    [[nodiscard]] endpoint_standing standing(const endpoint_assignment &assignment,
                                             bool withPrefill) const;

    /// \brief Records the first piece of an answer.
    void firstPieceArrived(instant now, std::uint64_t ticket);

    /// \brief Records the outcome of a prefill at a separate engine.
    /// \param prefillTime time since the prefill was sent
    void prefillFinished(instant now, std::uint64_t ticket, prefill_outcome outcome,
                         nanoseconds prefillTime);

    /// \brief Records the end of an attempt, or releases an assigned endpoint unused.
    finish_findings finish(instant now, std::uint64_t ticket, const attempt_result &result);

    /// \returns the time from sending to the end that recent requests of a route took at most,
    ///          those that still run included; nothing when too few were answered.
    [[nodiscard]] std::optional<nanoseconds> longestAnswer(instant now,
                                                           const std::string &route) const;

    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }

    /// \returns the updates since the last call, to be sent to the other entries.
    [[nodiscard]] endpoint_updates takeUpdates() { return std::exchange(m_updates, {}); }

    /// \brief Records a failure that another entry reported.
    /// \returns true when the endpoint became suspected.
    bool applyRemoteFailure(instant now, const endpoint_failure &failure)
    {
        return m_endpoints.applyRemoteFailure(now, failure.endpoint, failure.crashed);
    }

    /// \brief Applies what an endpoint asked in an answer.
    notice_effect applyNotice(instant now, const std::string &pool, const std::string &endpoint,
                              const endpoint_notice &notice);

    /// \brief Records a crash that another entry saw.
    void applyRemoteCrash(instant now, const endpoint_crash &crash);

    /// \brief Clears parts that another entry saw answered.
    void applyRemoteCleared(const cleared_parts &cleared);

    /// \brief Applies what another entry learnt from an endpoint's answers.
    void applyRemoteRate(instant now, const endpoint_rate &rate)
    {
        m_endpoints.applyRemoteRate(now, rate);
    }

    /// \brief Records a long prompt that another entry placed.
    void applyRemotePlacement(instant now, const placement &placed);

    /// \returns the demand since the last call and the queued backlog.
    [[nodiscard]] demand_report takeDemand(instant now);

    /// \returns the charges of this entry that are not yet reported to the other entries.
    [[nodiscard]] charge_accumulator &charges() noexcept { return m_charges; }

    /// \brief Applies a charge that another entry made to an organisation.
    void applyRemoteCharge(const std::string &organisation, double weight, double cost)
    {
        m_strategies.queue->applyRemoteCharge(organisation, weight, cost);
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
        std::int64_t cachedTokens = 0;    ///< estimated cached tokens at the prefilling engine
        std::int64_t tokensAhead = 0;     ///< prompt tokens that engine had to compute before
        std::string prefillEndpoint = {}; ///< empty unless a separate engine prefills the prompt
        bool prefilledElsewhere = false;  ///< a separate engine has prefilled the prompt
    };

    [[nodiscard]] std::optional<refusal> refuseOrQueue(instant now, std::uint64_t ticket,
                                                       const request &callerRequest, double weight,
                                                       const enqueue &options);
    void measureAnswer(instant now, const running_request &answered, const token_usage &usage,
                       const attempt_result &result);
    [[nodiscard]] std::optional<endpoint_assignment> place(instant now, queued_request &waiting);
    [[nodiscard]] std::vector<policy::endpoint_view> viewsFor(instant now,
                                                              const queued_request &waiting);
    [[nodiscard]] policy::routing_request routingRequest(instant now,
                                                         const queued_request &waiting) const;
    [[nodiscard]] endpoint_assignment
    makeAssignment(instant now, const queued_request &waiting, const policy::routing_choice &choice,
                   std::span<const policy::endpoint_view> views) const;
    void recordSent(instant now, const queued_request &waiting,
                    const endpoint_assignment &assignment, std::int64_t cached);
    void announcePlacement(const queued_request &waiting, const endpoint_assignment &assignment,
                           std::int64_t tokens);
    void recordCrash(instant now, const running_request &crashed);
    void recordAnswered(instant now, const queued_request &answered);
    bool recordFailure(instant now, const std::string &pool, const std::string &endpoint,
                       bool crashed);
    [[nodiscard]] int sendingEntries() const noexcept;
    [[nodiscard]] std::size_t prefillRoom(instant now) const;
    [[nodiscard]] static double kvSecondsPerToken(const state::pool &pool) noexcept;
    static void avoidZones(const queued_request &waiting,
                           std::vector<policy::endpoint_view> &views);
    [[nodiscard]] bool mayRunOwnSuspects(const std::string &endpoint) const;
    void isolateSuspects(const queued_request &waiting,
                         std::vector<policy::endpoint_view> &views) const;
    [[nodiscard]] std::optional<refusal> refuseLimited(instant now, bool steadyOnly,
                                                       nanoseconds maxWait) const;
    [[nodiscard]] std::optional<refusal> refuseRetry(instant now);
    [[nodiscard]] std::optional<refusal> refuseAdmission(instant now,
                                                         const policy::waiting_request &row);
    [[nodiscard]] bool hasDispatchRoom(instant now);

    pool_strategies m_strategies;
    queue_limits m_limits;
    crash_suspects m_suspects;
    part_suspects m_partSuspects;
    std::vector<std::string>
            m_suspectEndpointOrder; ///< endpoint names by hash, assigned to the entries round-robin
    entry_position m_position;
    endpoint_table m_endpoints;
    charge_accumulator m_charges;
    demand_meter m_demand;
    bool m_measuresWork = false; ///< the demand is reported with the work of m_work
    work_meter m_work;
    std::map<std::uint64_t, queued_request> m_waiting;
    std::set<std::uint64_t> m_versionBound; ///< of those, the ones bound to a software version
    std::deque<std::uint64_t>
            m_unplaced; ///< retries, and requests popped from the fair queue; no endpoint yet
    std::map<std::uint64_t, running_request> m_running;
    endpoint_updates m_updates;             ///< not yet sent to the other entries
    std::uint64_t m_retrySpreadCounter = 0; ///< spreads the advised retry delays
    std::size_t m_activePrefills = 0; ///< prompts of this entry in progress at prefill engines
    retry_budget m_retries;
    prompt_caches m_caches;
    policy::queue_meter m_queueMeter;
    std::map<std::string, policy::service_estimate> m_services; ///< by route
    std::map<std::string, policy::answer_times> m_answerTimes;  ///< by route
    policy::dispatch_window m_window;
    double m_kvSecondsPerToken = 0; ///< transfer time of a token's KV cache; 0: not known
};

} // namespace yuccascale::kernel::requests
