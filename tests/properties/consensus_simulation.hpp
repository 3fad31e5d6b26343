#pragma once

#include "yuccascale/kernel/consensus/replica.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

/// \file
/// \brief Replicas under a schedule of faults drawn from a seed, on simulated time.

namespace yuccascale::properties {

using namespace kernel::consensus;
using kernel::instant;
using kernel::milliseconds;
using kernel::nanoseconds;

/// \brief Draws from a seed; the same on every machine.
class seeded_random
{
public:
    explicit seeded_random(std::uint64_t seed)
        : m_state(seed)
    { }
    [[nodiscard]] std::uint64_t next() noexcept;
    [[nodiscard]] std::uint64_t below(std::uint64_t bound) noexcept { return next() % bound; }
    [[nodiscard]] bool chance(unsigned percent) noexcept { return below(100) < percent; }
    [[nodiscard]] nanoseconds between(milliseconds shortest, milliseconds longest) noexcept;

private:
    std::uint64_t m_state;
};

/// \brief What the nodes did, as seen from outside, with the promises broken so far.
class cluster_history
{
public:
    void applied(const std::string &node, const log_entry &entry);
    void acknowledged(const log_entry &entry);
    void authority(const member_id &node, std::uint64_t fence, instant until, instant ordersFrom);
    void readConfirmed(log_index newestAcknowledgedWhenAsked, log_index appliedWhenConfirmed);
    void holdersOfAuthority(std::size_t count);
    void broken(std::string promise);

    [[nodiscard]] const std::string &violation() const noexcept { return m_violation; }
    [[nodiscard]] log_index newestAcknowledged() const noexcept { return m_newestAcknowledged; }
    [[nodiscard]] const std::map<log_index, std::string> &acknowledgedCommands() const noexcept
    {
        return m_acknowledged;
    }
    [[nodiscard]] std::size_t fences() const noexcept { return m_fences.size(); }

private:
    struct fence_record
    {
        member_id holder;
        instant until{}; ///< latest end of the authority, in true time
    };

    std::map<log_index, log_entry> m_applied;
    std::map<log_index, std::string> m_acknowledged;
    std::map<std::uint64_t, fence_record> m_fences;
    log_index m_newestAcknowledged = 0;
    std::string m_violation;
};

/// \brief Shape of a schedule.
struct schedule_settings
{
    std::uint64_t seed = 0;
    std::size_t nodes = 3;
    milliseconds faultsFor{12'000};
    milliseconds calmFor{20'000}; ///< longest time to recover once all faults have ended
};

/// \brief Runs one schedule.
class cluster_simulation
{
public:
    explicit cluster_simulation(const schedule_settings &settings);

    /// \returns the first broken promise, or nothing.
    [[nodiscard]] std::string run();

    [[nodiscard]] const cluster_history &history() const noexcept { return m_history; }

    /// \returns the faults of the schedule, one a line.
    [[nodiscard]] const std::string &trace() const noexcept { return m_trace; }

private:
    struct null_event_sink final : kernel::event_sink
    {
        using kernel::event_sink::record;
        void record(const kernel::event_kind &, std::span<const kernel::event_field>) override { }
    };

    struct asked_read
    {
        log_index newestAcknowledged = 0;
    };

    struct node
    {
        std::size_t number = 0;
        std::string name;
        std::uint64_t incarnation = 0;
        durable_state disk;
        std::unique_ptr<replica> running; ///< null while it is down
        std::uint64_t life = 0;           ///< rises with each start
        bool paused = false;
        bool crashAtNextSync = false;
        std::vector<message> heldBack; ///< came while it was paused
        double clockRate = 1.0;
        nanoseconds clockOffset{};
        std::optional<kernel::leadership> published;
        std::map<log_index, std::string> state; ///< of the consumer
        log_index applied = 0;
        log_index snapshotIndex = 0;
        std::map<log_index, term_number> waiting; ///< proposals
        std::map<std::uint64_t, asked_read> reads;
    };

    struct timed_event
    {
        instant at{};
        std::uint64_t order = 0;
        std::function<void()> act;

        [[nodiscard]] bool operator<(const timed_event &other) const noexcept
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void after(nanoseconds delay, std::function<void()> act);
    void runUntil(instant end, const std::function<bool()> &done);
    [[nodiscard]] instant localTime(const node &at) const;
    [[nodiscard]] instant trueTime(const node &at, instant local) const;

    void start(node &at);
    void crash(node &at);
    void loseDisk(node &at);
    void pause(node &at, nanoseconds length);
    void scheduleTick(node &at);
    void work(node &at);
    [[nodiscard]] bool makeDurable(node &at, const actions &todo);
    void apply(node &at, const log_entry &entry);
    void install(node &at, const snapshot_data &snapshot);
    void saveSnapshot(node &at);
    void publish(node &at);
    void send(const message &sent);
    void deliver(const message &sent, std::uint64_t life);
    void injectFault();
    void act();
    void checkAuthority();
    [[nodiscard]] node &anyNode();
    [[nodiscard]] bool sparesADisk() const;
    [[nodiscard]] bool isCalm() const;
    void note(const std::string &text);

    schedule_settings m_settings;
    seeded_random m_random;
    null_event_sink m_events;
    cluster_history m_history;
    std::vector<node> m_nodes;
    std::vector<std::vector<bool>> m_cut; ///< from, to
    std::priority_queue<timed_event> m_queue;
    std::uint64_t m_order = 0;
    instant m_now{};
    bool m_faulty = true;
    std::uint64_t m_nextCommand = 1;
    std::uint64_t m_nextIncarnation = 1;
    std::uint64_t m_nextRead = 1;
    std::string m_trace;
};

} // namespace yuccascale::properties
