#include "yuccascale/kernel/policy/fleet_load.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>

/// \file
/// \brief Role policy that dedicates engines to the steady part of the load and leaves the varying
/// part to mixed engines.
///
/// The lowest prefill and decode load over the last minutes is what dedicated engines are sized
/// for. It falls with the first lower sample and rises only when the window has passed. So an
/// engine is released quickly but dedicated slowly, one at a time, and not at all while the mix of
/// prefill and decode varies.

namespace yuccascale::plugins {

namespace {

using namespace kernel::policy;
using kernel::instant;
using kernel::nanoseconds;
using kernel::state::engine_role;

constexpr nanoseconds steadyWindow = kernel::seconds(120);
/// Minimum time in the mixed role before an engine is dedicated again.
constexpr nanoseconds minTimeInRole = kernel::seconds(120);
constexpr nanoseconds gainHorizon = kernel::seconds(60);
constexpr double steadyBand = 0.2; ///< share of the load within which a steady mix may vary
constexpr int maxDedicationsPerDecision = 1;
/// Share of the pool; above it no mixed engine is dedicated.
constexpr double maxLoadToDedicate = 0.85;
/// A new leader makes no changes for this long.
constexpr nanoseconds observationTime = kernel::seconds(20);
constexpr double dedicatedShare = 0.8; ///< share of the steady load given to dedicated engines
constexpr double minMixedShare = 0.25; ///< share of the pool kept for the varying load
constexpr double releaseMargin = 0.5;  ///< idle capacity, in engines, above which one is released
constexpr double roleGain = 0.15; ///< share of throughput that a matching role adds to an engine
/// Share of the pool that may change role at the same time.
constexpr double maxChangingShare = 1.0 / 6;

struct load_sample
{
    instant takenAt;
    fleet_load load;
};

/// Number of engines by role, without those that are leaving.
struct role_counts
{
    int prefill = 0;
    int decode = 0;
    int all = 0;
};

class mix_following_roles final : public role_policy
{
public:
    [[nodiscard]] std::vector<role_change> decide(instant now, const pool_demand &demand,
                                                  const engine_rates &rates,
                                                  std::span<const engine_view> engines) override
    {
        if (m_startedAt == instant{})
            m_startedAt = now;
        if (now - m_startedAt < observationTime)
            return {};
        m_samples.push_back({now, fleetLoad(demand, rates)});
        while (now - m_samples.front().takenAt > steadyWindow)
            m_samples.pop_front();
        const fleet_load steady = minimumLoad();
        const role_counts counts = countRoles(engines);
        m_changesLeft = static_cast<int>(std::ceil(counts.all * maxChangingShare));
        m_changingZones.clear();
        for (const engine_view &engine : engines) {
            if (engine.changing)
                recordChange(engine);
        }
        std::vector<role_change> changes;
        release(now, engines, counts, steady, changes);
        if (changes.empty() && m_changingZones.empty() && isWorthwhile(rates) && windowIsFull(now)
            && isSteady(steady) && m_samples.back().load.total() < maxLoadToDedicate * counts.all)
            dedicate(now, engines, counts, steady, changes);
        return changes;
    }

private:
    [[nodiscard]] fleet_load minimumLoad() const
    {
        fleet_load least = m_samples.front().load;
        for (const load_sample &sample : m_samples) {
            least.prefillEngines = std::min(least.prefillEngines, sample.load.prefillEngines);
            least.decodeEngines = std::min(least.decodeEngines, sample.load.decodeEngines);
        }
        return least;
    }

    [[nodiscard]] static role_counts countRoles(std::span<const engine_view> engines)
    {
        role_counts counts;
        for (const engine_view &engine : engines) {
            if (engine.leaving)
                continue;
            ++counts.all;
            if (engine.changing)
                continue;
            counts.prefill += engine.role == engine_role::Prefill ? 1 : 0;
            counts.decode += engine.role == engine_role::Decode ? 1 : 0;
        }
        return counts;
    }

    void recordChange(const engine_view &engine)
    {
        --m_changesLeft;
        m_changingZones.insert(engine.row->zone);
    }

    [[nodiscard]] bool windowIsFull(instant now) const
    {
        return now - m_samples.front().takenAt >= steadyWindow * 9 / 10;
    }

    /// Whether prefill and decode load each stayed within a band for the whole window.
    [[nodiscard]] bool isSteady(const fleet_load &least) const
    {
        fleet_load most = least;
        for (const load_sample &sample : m_samples) {
            most.prefillEngines = std::max(most.prefillEngines, sample.load.prefillEngines);
            most.decodeEngines = std::max(most.decodeEngines, sample.load.decodeEngines);
        }
        const double band = steadyBand * most.total();
        return most.prefillEngines - least.prefillEngines <= band
                && most.decodeEngines - least.decodeEngines <= band;
    }

    /// A change is worthwhile when the gain over the horizon exceeds the work lost during the
    /// change.
    [[nodiscard]] static bool isWorthwhile(const engine_rates &rates)
    {
        const double gain = roleGain * std::chrono::duration<double>(gainHorizon).count();
        return gain > std::chrono::duration<double>(rates.roleChangeTime).count();
    }

    /// Returns dedicated engines that the steady load no longer needs to the mixed role.
    void release(instant, std::span<const engine_view> engines, const role_counts &counts,
                 const fleet_load &steady, std::vector<role_change> &changes)
    {
        const auto excess = [](int dedicated, double load) {
            return static_cast<int>(std::floor(dedicated - load + 1.0 - releaseMargin));
        };
        changeRoles(engines, engine_role::Prefill, engine_role::Mixed,
                    excess(counts.prefill, steady.prefillEngines), steady, nanoseconds::zero(), {},
                    changes);
        changeRoles(engines, engine_role::Decode, engine_role::Mixed,
                    excess(counts.decode, steady.decodeEngines), steady, nanoseconds::zero(), {},
                    changes);
    }

    void dedicate(instant now, std::span<const engine_view> engines, const role_counts &counts,
                  const fleet_load &steady, std::vector<role_change> &changes)
    {
        const int most = static_cast<int>(counts.all * (1.0 - minMixedShare));
        int dedicationsLeft = most - counts.prefill - counts.decode;
        m_changesLeft = std::min(m_changesLeft, maxDedicationsPerDecision);
        const auto missing = [&dedicationsLeft](double load, int dedicated) {
            const int wanted = static_cast<int>(std::floor(load * dedicatedShare)) - dedicated;
            return std::clamp(wanted, 0, std::max(dedicationsLeft, 0));
        };
        const int prefill = missing(steady.prefillEngines, counts.prefill);
        dedicationsLeft -= prefill;
        const int decode = missing(steady.decodeEngines, counts.decode);
        changeRoles(engines, engine_role::Mixed, engine_role::Prefill, prefill, steady,
                    minTimeInRole, now, changes);
        changeRoles(engines, engine_role::Mixed, engine_role::Decode, decode, steady, minTimeInRole,
                    now, changes);
    }

    /// Changes the role of up to \a count engines, one in each zone, the least busy first.
    void changeRoles(std::span<const engine_view> engines, engine_role from, engine_role newRole,
                     int count, const fleet_load &steady, nanoseconds minAge, instant now,
                     std::vector<role_change> &changes)
    {
        std::vector<const engine_view *> eligible;
        for (const engine_view &engine : engines) {
            const bool longEnoughInRole
                    = now - engine.roleSince >= minAge || minAge == nanoseconds::zero();
            if (engine.role == from && !engine.changing && !engine.leaving && longEnoughInRole)
                eligible.push_back(&engine);
        }
        std::ranges::stable_sort(eligible, {}, &engine_view::running);
        for (const engine_view *engine : eligible) {
            if (count <= 0 || m_changesLeft <= 0)
                return;
            if (m_changingZones.contains(engine->row->zone))
                continue;
            recordChange(*engine);
            --count;
            changes.push_back({engine->row->name, newRole, reasonOf(steady)});
        }
    }

    [[nodiscard]] static std::string reasonOf(const fleet_load &steady)
    {
        const auto oneDecimal = [](double value) {
            return std::to_string(std::lround(value * 10) / 10) + "."
                    + std::to_string(std::lround(value * 10) % 10);
        };
        return "steady load in engines: prefill " + oneDecimal(steady.prefillEngines) + ", decode "
                + oneDecimal(steady.decodeEngines);
    }

    std::deque<load_sample> m_samples;
    instant m_startedAt{};
    int m_changesLeft = 0;                 ///< changes that may still be started in this decision
    std::set<std::string> m_changingZones; ///< zones with a change in progress
};

const role_policy_registry::registration addMixFollowing{
        "mix_following", [] { return std::make_unique<mix_following_roles>(); }};

} // namespace

} // namespace yuccascale::plugins
