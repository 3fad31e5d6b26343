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
/// \brief Simulation of several control nodes, of which more than one may act as leader at a time,
///        with one log and outside systems, under random faults drawn from a seed.

namespace yuccascale::fakes {

using kernel::instant;
using kernel::milliseconds;
using kernel::nanoseconds;

/// Drops all events.
class no_op_event_sink final : public kernel::event_sink
{
public:
    using kernel::event_sink::record;
    void record(const kernel::event_kind &, std::span<const kernel::event_field>) override { }
};

class leader_simulation
{
public:
    leader_simulation(std::uint64_t seed, int faultySteps);

    /// Runs the steps with faults, then enough steps without faults to settle all orders and usage
    /// windows.
    void run();

    std::vector<fake_target> targets; ///< three engines and the platform
    std::vector<received_report> reports;
    std::map<std::string, std::uint64_t> countedAnswers; ///< in counted usage batches, by entry
    applied_log log;

private:
    static constexpr milliseconds lease{1'500};
    static constexpr milliseconds orderLifetime{3'000};
    static constexpr milliseconds sendTimeout{500};
    static constexpr milliseconds drainPropagationTime{600};
    static constexpr milliseconds usageWindow{4'000};

    struct control_node
    {
        explicit control_node(kernel::event_sink &events);
        void restart(kernel::event_sink &events);

        std::unique_ptr<kernel::orders::order_driver> orders;
        std::unique_ptr<kernel::usage::window_reporter> usage;
        std::optional<kernel::leadership> leadership;
        leader_view view;
        bool alive = true;
        instant pausedUntil{};
        instant disconnectedUntil{};
        int restartCount = 0; ///< incremented when the node is killed
    };

    void step(bool faulty);
    void advanceTo(instant until);
    void schedule(instant when, std::function<void()> callback)
    {
        m_queue.emplace(when, std::move(callback));
    }
    void injectFault();
    void renewOrElect(bool faulty);
    void simulateEndpoints(bool faulty);
    void simulateEntries(bool faulty);
    void operatorEdit();
    void runNode(std::size_t index, bool faulty);
    void proposeOrder(std::size_t index);
    void deliverToNode(std::size_t index, int restartCount,
                       std::function<void(control_node &)> callback);
    void submit(std::size_t index, command command,
                const std::function<void(control_node &, bool accepted)> &answered);
    void execute(std::size_t index, kernel::orders::order_action action);
    void executeUsage(std::size_t index, kernel::usage::usage_action action);
    void sendOrder(std::size_t index, const kernel::orders::send_order &action);
    [[nodiscard]] bool canSend(const control_node &node, std::uint64_t fence,
                               instant decidedAt) const;
    [[nodiscard]] fake_target &targetOf(const std::string &address);
    [[nodiscard]] bool isLeader(std::size_t index) const;
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
    std::uint64_t m_electionFailurePercent; ///< of due elections in steps with faults
    no_op_event_sink m_events;
    std::vector<control_node> m_nodes;
    std::multimap<instant, std::function<void()>> m_queue;
    instant m_now{std::chrono::seconds(10)};
    std::size_t m_leader = 0;
    std::uint64_t m_fence = 0;
    instant m_lastRenewal{};
    instant m_previousLeasesEnd{};
    std::uint64_t m_operationCount = 0;
    std::map<std::string, instant> m_drainingSince;
    std::array<std::uint64_t, 2> m_incarnation{1, 1};
    std::array<std::uint64_t, 2> m_sequence{0, 0};
    bool m_faulty = true;
    bool m_countAnswers = true;
};

} // namespace yuccascale::fakes
