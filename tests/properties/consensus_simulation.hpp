#pragma once

#include "properties/cluster_history.hpp"
#include "properties/seeded_random.hpp"
#include "yuccascale/kernel/consensus/replica.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

/// \file
/// \brief Runs replicas in simulated time under a schedule of faults generated from a seed.

namespace yuccascale::properties {

using namespace kernel::consensus;
using kernel::instant;
using kernel::milliseconds;
using kernel::nanoseconds;

/// \brief Parameters of one fault schedule.
struct schedule_settings
{
    std::uint64_t seed = 0;
    std::size_t nodes = 3;
    milliseconds faultDuration{12'000};
    milliseconds recoveryTimeout{20'000}; ///< limit for recovery after the last fault
};

/// \brief Runs one schedule.
class cluster_simulation
{
public:
    explicit cluster_simulation(const schedule_settings &settings);

    /// \returns a description of the first violation; empty if there was none.
    [[nodiscard]] std::string run();

    [[nodiscard]] const cluster_history &history() const noexcept { return m_history; }

    /// \returns the injected faults, one per line.
    [[nodiscard]] const std::string &trace() const noexcept { return m_trace; }

private:
    struct null_event_sink final : kernel::event_sink
    {
        using kernel::event_sink::record;
        void record(const kernel::event_kind &, std::span<const kernel::event_field>) override { }
    };

    struct pending_read
    {
        log_index newestAcknowledged = 0;
    };

    struct node
    {
        std::size_t number = 0;
        std::string name;
        std::uint64_t incarnation = 0;
        durable_state durableState;
        std::unique_ptr<replica> running; ///< null while the node is down
        std::uint64_t startNumber = 0;    ///< incremented at each start
        bool paused = false;
        bool crashAtNextSync = false;
        std::vector<message> heldMessages; ///< received while the node was paused
        double clockRate = 1.0;
        nanoseconds clockOffset{};
        std::optional<kernel::leadership> publishedLeadership;
        std::map<log_index, std::string>
                consumerState; ///< commands applied by the log's consumer, by index
        log_index appliedIndex = 0;
        log_index snapshotIndex = 0;
        std::map<log_index, term_number>
                pendingProposals; ///< term of each unacknowledged proposal, by index
        std::map<std::uint64_t, pending_read> pendingReads;
    };

    struct timed_event
    {
        instant due{};
        std::uint64_t sequenceNumber = 0;
        std::function<void()> action;

        [[nodiscard]] bool operator<(const timed_event &other) const noexcept
        {
            return due != other.due ? due > other.due : sequenceNumber > other.sequenceNumber;
        }
    };

    void after(nanoseconds delay, std::function<void()> action);
    void runUntil(instant end, const std::function<bool()> &done);
    [[nodiscard]] instant localTime(const node &target) const;
    [[nodiscard]] instant trueTime(const node &target, instant local) const;

    void start(node &target);
    void crash(node &target);
    void loseDisk(node &target);
    void pause(node &target, nanoseconds duration);
    void scheduleTick(node &target);
    void processActions(node &target);
    [[nodiscard]] bool persist(node &target, const actions &nextActions);
    void apply(node &target, const log_entry &entry);
    void installSnapshot(node &target, const snapshot_data &snapshot);
    void saveSnapshot(node &target);
    void publishLeadership(node &target);
    void send(const message &sentMessage);
    void deliver(const message &sentMessage, std::uint64_t startNumber);
    void injectFault();
    void issueCallerOperations();
    void checkAuthority();
    [[nodiscard]] node &randomNode();
    [[nodiscard]] bool toleratesDiskLoss() const;
    [[nodiscard]] bool hasRecovered() const;
    void appendTrace(const std::string &text);

    schedule_settings m_settings;
    seeded_random m_random;
    null_event_sink m_events;
    cluster_history m_history;
    std::vector<node> m_nodes;
    std::vector<std::vector<bool>> m_linkCut; ///< indexed by sender, then receiver
    std::priority_queue<timed_event> m_queue;
    std::uint64_t m_nextSequenceNumber = 0;
    instant m_now{};
    bool m_faultsEnabled = true;
    std::uint64_t m_nextCommand = 1;
    std::uint64_t m_nextIncarnation = 1;
    std::uint64_t m_nextRead = 1;
    std::string m_trace;
};

} // namespace yuccascale::properties
