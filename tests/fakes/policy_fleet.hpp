#pragma once

#include "yuccascale/kernel/policy/admission.hpp"
#include "yuccascale/kernel/policy/fleet.hpp"
#include "yuccascale/kernel/policy/routing.hpp"

#include <deque>
#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief Endpoint rows, and strategies by name, for the policy tests.

namespace yuccascale::fakes {

using namespace kernel::policy;
using kernel::instant;
using kernel::state::endpoint_tenure;
using kernel::state::engine_role;

inline const std::vector<std::string> policyZones{"perth-a", "perth-b", "bunbury"};

/// \returns the strategy called \a name.
template<typename Registry, typename... Arguments>
auto makeStrategy(std::string_view name, Arguments... arguments)
{
    return std::move(Registry::make(name, arguments...).value());
}

/// \returns the time \a secondsFromStart seconds after the clock's epoch.
inline instant at(double secondsFromStart)
{
    return instant(std::chrono::duration_cast<kernel::nanoseconds>(
            std::chrono::duration<double>(secondsFromStart)));
}

/// Endpoints to which the changes of the placement strategy are applied immediately.
class policy_fleet
{
public:
    explicit policy_fleet(int engines, double startedAtSeconds = -1'000)
    {
        for (int index = 0; index < engines; ++index)
            add(policyZones[static_cast<std::size_t>(index) % 3], endpoint_tenure::Steady,
                at(startedAtSeconds));
    }

    void add(const std::string &zone, endpoint_tenure tenure, instant now)
    {
        kernel::state::endpoint &row = m_rows.emplace_back();
        row.name = "engine-" + std::to_string(m_rows.size());
        row.zone = zone;
        row.tenure = tenure;
        views.push_back({&row, engine_role::Mixed, false, false, 0, now});
    }

    void apply(const placement_change &change, instant now)
    {
        if (change.start)
            add(change.offer.zone, change.offer.tenure, now);
        else
            std::erase_if(views,
                          [&](const auto &view) { return view.row->name == change.endpoint; });
    }

    [[nodiscard]] int count(endpoint_tenure tenure, std::string_view zone = {}) const
    {
        int found = 0;
        for (const engine_view &view : views)
            found += view.row->tenure == tenure && (zone.empty() || view.row->zone == zone) ? 1 : 0;
        return found;
    }

    [[nodiscard]] static std::vector<endpoint_offer> offers()
    {
        std::vector<endpoint_offer> all;
        for (const std::string &zone : policyZones) {
            all.push_back({"steady-engine", zone, endpoint_tenure::Steady, 1.0});
            all.push_back({"cheap-engine", zone, endpoint_tenure::Cheap, 0.3});
        }
        return all;
    }

    std::vector<engine_view> views;

private:
    std::deque<kernel::state::endpoint> m_rows;
};

/// \returns the demand that keeps this many engines busy with prefill and with decode.
inline pool_demand demandOf(double prefillEngines, double decodeEngines)
{
    const engine_rates rates;
    pool_demand demand;
    demand.prefillTokensPerSecond = prefillEngines * rates.prefillTokensPerSecond;
    demand.decodeTokensPerSecond = decodeEngines * rates.decodeTokensPerSecond;
    return demand;
}

inline waiting_request waitingRequest(std::uint64_t ticket, std::string organisation, double cost,
                                      instant now)
{
    waiting_request request;
    request.ticket = ticket;
    request.organisation = std::move(organisation);
    request.cost = cost;
    request.receivedAt = now;
    request.deadline = now + kernel::seconds(12);
    request.predictedService = kernel::seconds(2);
    return request;
}

} // namespace yuccascale::fakes
