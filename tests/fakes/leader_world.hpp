#pragma once

#include "fakes/order_history.hpp"
#include "fakes/state_commands.hpp"
#include "yuccascale/kernel/orders/order_driver.hpp"
#include "yuccascale/kernel/usage/entry_succession.hpp"
#include "yuccascale/kernel/usage/window_reporter.hpp"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>

/// \file
/// \brief Several control nodes that may believe to lead, one log, and outside systems, under a
///        schedule of faults drawn from a seed.

namespace yuccascale::fakes {

using kernel::instant;
using kernel::milliseconds;
using kernel::nanoseconds;

/// Drops all events.
class no_events final : public kernel::event_sink
{
public:
    using kernel::event_sink::record;
    void record(const kernel::event_kind &, std::span<const kernel::event_field>) override { }
};

class leader_world
{
public:
    leader_world(std::uint64_t seed, int faultySteps);

    /// Runs the faulty steps, then heals everything and runs until all is settled.
    void run();

    std::vector<fake_target> targets; ///< three engines and the platform
    std::vector<seen_report> reports;
    std::map<std::string, std::uint64_t> answersCounted; ///< by the entries, at their first commit
    applied_log log;

private:
    static constexpr milliseconds lease{1'500};
    static constexpr milliseconds orderLifetime{3'000};
    static constexpr milliseconds sendTime{500};
    static constexpr milliseconds inForceWithin{600};
    static constexpr milliseconds usageWindow{4'000};

    struct control_node
    {
        explicit control_node(kernel::event_sink &events);
        void restart(kernel::event_sink &events);

        std::unique_ptr<kernel::orders::order_driver> orders;
        std::unique_ptr<kernel::usage::window_reporter> usage;
        std::optional<kernel::leadership> belief;
        leader_view view;
        bool alive = true;
        instant pausedUntil{};
        instant cutUntil{};
        int life = 0; ///< rises with each kill
    };

    void step(bool faulty);
    void advanceTo(instant until);
    void at(instant when, std::function<void()> what) { m_queue.emplace(when, std::move(what)); }
    void injectFault();
    void renewOrElect(bool faulty);
    void endpointWork(bool faulty);
    void entryWork(bool faulty);
    void operatorEdit();
    void runNode(std::size_t index, bool faulty);
    void proposeOrder(std::size_t index);
    void onNode(std::size_t index, int life, std::function<void(control_node &)> what);
    void submit(std::size_t index, command command,
                const std::function<void(control_node &, bool accepted)> &answered);
    void carryOut(std::size_t index, kernel::orders::order_action action);
    void carryOutUsage(std::size_t index, kernel::usage::usage_action action);
    void sendOrder(std::size_t index, const kernel::orders::send_order &action);
    [[nodiscard]] bool permitted(const control_node &node, std::uint64_t fence,
                                 instant decidedAt) const;
    [[nodiscard]] fake_target &targetOf(const std::string &address);
    [[nodiscard]] bool leads(std::size_t index) const;
    [[nodiscard]] std::int64_t wallMs() const;
    [[nodiscard]] std::uint64_t draw(std::uint64_t below) { return m_random() % below; }
    [[nodiscard]] bool chance(bool faulty, std::uint64_t percent)
    {
        return faulty && draw(100) < percent;
    }
    [[nodiscard]] milliseconds delay(std::uint64_t mostMs)
    {
        return milliseconds(1 + draw(mostMs));
    }

    std::mt19937_64 m_random;
    int m_faultySteps;
    std::uint64_t m_electionDelay; ///< of 100 steps, those on which no election succeeds
    no_events m_events;
    std::vector<control_node> m_nodes;
    std::multimap<instant, std::function<void()>> m_queue;
    instant m_now{std::chrono::seconds(10)};
    std::size_t m_leader = 0;
    std::uint64_t m_fence = 0;
    instant m_lastRenewal{};
    instant m_oldLeasesEnd{};
    std::uint64_t m_operation = 0;
    std::map<std::string, instant> m_drainingSince;
    std::array<std::uint64_t, 2> m_incarnation{1, 1};
    std::array<std::uint64_t, 2> m_sequence{0, 0};
    bool m_faulty = true;
    bool m_counting = true;
};

} // namespace yuccascale::fakes
