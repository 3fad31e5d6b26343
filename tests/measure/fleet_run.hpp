#pragma once

#include "engine_standin.hpp"
#include "script.hpp"
#include "yuccascale/kernel/policy/admission.hpp"
#include "yuccascale/kernel/policy/dispatch_window.hpp"
#include "yuccascale/kernel/policy/fleet.hpp"
#include "yuccascale/kernel/policy/prefix_index.hpp"
#include "yuccascale/kernel/policy/queue_meter.hpp"
#include "yuccascale/kernel/policy/service_estimate.hpp"

#include <deque>
#include <map>
#include <memory>
#include <random>

/// \file
/// \brief One run: eight entries and a leader with the real strategies before stand-in engines.

namespace yuccascale::measure {

constexpr int entryCount = 8;
constexpr int organisationCount = 8;
constexpr double plotStep = 10; ///< seconds

/// What a run came to.
struct figures
{
    double offered = 0;
    double inTime = 0;
    double refused = 0;    ///< at the door or from the queue, never sent to an engine
    double late = 0;       ///< answered after the deadline, or the deadline passed in the queue
    double lost = 0;       ///< with an engine, not run again
    double worstShare = 0; ///< of the worst-served organisation's fair share
    double worstWait = 0;  ///< its 95th percentile wait for the first token, seconds
    double roleChanges = 0;
    double cost = 0;             ///< endpoint price times hours
    double cheapShare = 0;       ///< of the work
    double firstToken = 0;       ///< 95th percentile, seconds
    double tokenGap = 0;         ///< 95th percentile, milliseconds
    double broken = 0;           ///< non-idempotent requests on cheap endpoints, or lost there
    std::vector<double> goodput; ///< answers in time per second, by plotStep

    void add(const figures &other);
    void scale(double factor);
    [[nodiscard]] double goodShare() const { return inTime / std::max(offered, 1.0); }
    [[nodiscard]] double costPerAnswer() const { return cost / std::max(inTime, 1.0); }
};

/// \returns what the platform sells; starting takes longer with a slow weight store.
[[nodiscard]] std::vector<kernel::policy::endpoint_offer> platformOffers(double weightLoadSeconds);

class fleet_run
{
public:
    fleet_run(const script &what, const strategy_set &strategies, std::uint64_t seed);

    [[nodiscard]] figures run();

private:
    struct engine
    {
        std::unique_ptr<engine_standin> itself;
        std::deque<kernel::policy::load_report> reports;
        std::uint64_t cacheSequence = 0;
    };
    struct entry
    {
        std::unique_ptr<kernel::policy::router> router;
        std::unique_ptr<kernel::policy::admission> admission;
        std::unique_ptr<kernel::policy::fair_queue> queue;
        kernel::policy::queue_meter meter;
        kernel::policy::service_estimate service;
        kernel::policy::dispatch_window window;
        kernel::policy::prefix_index prefixes;
        std::map<int, std::vector<job *>> outstanding;      ///< by engine
        std::map<std::string, double> charged;              ///< since the last exchange
        std::vector<kernel::policy::waiting_request> stuck; ///< popped, no endpoint fits
    };

    void addEngine(const kernel::policy::endpoint_offer &offer, engine_role role);
    void scheduleArrival();
    void arrive();
    void pump(int entryIndex);
    bool dispatch(int entryIndex, const kernel::policy::waiting_request &request);
    [[nodiscard]] std::optional<kernel::policy::routing_choice>
    choose(entry &from, const job &request, std::vector<kernel::policy::endpoint_view> &views);
    void fillViews(entry &from, const job *request);
    void listen(job &request, job_event what);
    void finish(job &request);
    void sendOn(job &request);
    void retry(job &request);
    void endAtDeadline(job &request);
    void release(job &request, int engineIndex);
    [[nodiscard]] kernel::policy::waiting_request waitingOf(const job &request) const;
    [[nodiscard]] const kernel::policy::load_report &visibleReport(engine &of) const;

    void sampleReports();
    void exchangeCharges();
    void decideRoles();
    void decidePlacement();
    [[nodiscard]] std::vector<kernel::policy::engine_view> engineViews() const;
    void startEndpoint(const kernel::policy::endpoint_offer &offer);
    void disturb(const disturbance &what);
    void every(double period, void (fleet_run::*action)());
    void settle(figures &result) const;
    [[nodiscard]] double worstShareOf(int &worst) const;

    event_loop m_loop;
    const script &m_script;
    const strategy_set &m_strategies;
    std::mt19937_64 m_random;
    std::vector<engine> m_engines;
    std::vector<entry> m_entries;
    std::deque<job> m_jobs;
    std::vector<kernel::policy::endpoint_view> m_views;
    std::vector<int> m_viewEngines;
    std::unique_ptr<kernel::policy::role_policy> m_roles;
    std::unique_ptr<kernel::policy::placement_policy> m_placement;
    std::vector<kernel::policy::endpoint_offer> m_starting;
    std::map<std::string, double> m_reclaimedUntil; ///< zones without cheap endpoints
    double m_storeFreeAt = 0;
    kernel::policy::pool_demand m_demand;
    double m_promptSince = 0;
    double m_outputSince = 0;
    token_gaps m_gaps;
    figures m_figures;
    double m_cheapWork = 0;
    double m_allWork = 0;
    std::array<double, organisationCount> m_wanted{};
    std::array<double, organisationCount> m_served{};
    std::array<std::vector<double>, organisationCount> m_waits;
};

} // namespace yuccascale::measure
