#pragma once

#include "engine_standin.hpp"
#include "figures.hpp"
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
/// \brief One run: eight entries and a leader with the real strategies, and stand-in engines.

namespace yuccascale::measure {

constexpr int entryCount = 8;
constexpr int organisationCount = 8;

/// \returns the platform's offers; their start time includes \a weightLoadSeconds.
[[nodiscard]] std::vector<kernel::policy::endpoint_offer> platformOffers(double weightLoadSeconds);

class fleet_run
{
public:
    fleet_run(const load_scenario &scenario, const strategy_set &strategies, std::uint64_t seed);

    [[nodiscard]] figures run();

private:
    struct engine
    {
        std::unique_ptr<engine_standin> standin;
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
        std::map<int, std::vector<simulated_request *>> outstanding; ///< by engine
        std::map<std::string, double> pendingCharges;              ///< cost since the last exchange
        std::vector<kernel::policy::waiting_request> undispatched; ///< popped; no endpoint usable
    };

    void addEngine(const kernel::policy::endpoint_offer &offer, engine_role role);
    void scheduleArrival();
    void handleArrival();
    void dispatchQueued(int entryIndex);
    bool dispatch(int entryIndex, const kernel::policy::waiting_request &request);
    [[nodiscard]] std::optional<kernel::policy::routing_choice>
    choose(entry &sender, const simulated_request &request,
           std::vector<kernel::policy::endpoint_view> &views);
    void fillViews(entry &sender, const simulated_request *request);
    void handleEvent(simulated_request &request, request_event event);
    void finish(simulated_request &request);
    void forwardToDecode(simulated_request &request);
    void retry(simulated_request &request);
    void endAtDeadline(simulated_request &request);
    void release(simulated_request &request, int engineIndex);
    [[nodiscard]] kernel::policy::waiting_request
    makeWaitingRequest(const simulated_request &request) const;
    [[nodiscard]] const kernel::policy::load_report &visibleReport(engine &source) const;

    void sampleReports();
    void exchangeCharges();
    void decideRoles();
    void decidePlacement();
    [[nodiscard]] std::vector<kernel::policy::engine_view> engineViews() const;
    void startEndpoint(const kernel::policy::endpoint_offer &offer);
    void applyDisturbance(const disturbance &event);
    void runEvery(double period, void (fleet_run::*action)());
    void completeFigures(figures &result) const;
    [[nodiscard]] double worstShareOf(int &worst) const;

    event_loop m_loop;
    const load_scenario &m_scenario;
    const strategy_set &m_strategies;
    std::mt19937_64 m_random;
    std::vector<engine> m_engines;
    std::vector<entry> m_entries;
    std::deque<simulated_request> m_jobs;
    std::vector<kernel::policy::endpoint_view> m_views;
    std::vector<int> m_viewEngineIndexes;
    std::unique_ptr<kernel::policy::role_policy> m_roles;
    std::unique_ptr<kernel::policy::placement_policy> m_placement;
    std::vector<kernel::policy::endpoint_offer> m_starting;
    std::map<std::string, double> m_reclaimedUntil; ///< by zone: no cheap endpoints before, s
    double m_weightStoreFreeAt = 0;
    kernel::policy::pool_demand m_demand;
    double m_promptTokensSinceDecision = 0;
    double m_outputTokensSinceDecision = 0;
    token_gaps m_gaps;
    figures m_figures;
    double m_cheapCost = 0;
    double m_totalCost = 0;
    std::array<double, organisationCount> m_offeredCost{};
    std::array<double, organisationCount> m_servedCost{};
    std::array<std::vector<double>, organisationCount> m_firstTokenWaits;
};

} // namespace yuccascale::measure
