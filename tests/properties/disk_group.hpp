#pragma once

#include "fakes/volatile_disk.hpp"
#include "properties/seeded_random.hpp"
#include "yuccascale/kernel/consensus/replica.hpp"
#include "yuccascale/store/replica_store.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief Replicas with real stores on disks that forget and become full, in simulated time.

namespace yuccascale::properties {

using namespace kernel::consensus;
using kernel::instant;

/// \brief Parameters of one schedule.
struct disk_schedule
{
    std::uint64_t seed = 0;
    std::size_t nodes = 3;
    std::size_t voters = 3;
    bool otherFaults = false; ///< kills, losses of power and lost disks as well
};

/// \brief Times after a failed write and at elections, as in the runtime and its settings.
inline constexpr milliseconds reopenInterval{500};
inline constexpr milliseconds electionTimeout{700};

/// \brief From the moment that the last disk has room until an edit is acknowledged: one opening, a
/// follower's longest wait, the time in which a restarted voter grants no vote, and a second try.
inline constexpr milliseconds acknowledgedWithin = reopenInterval + 4 * electionTimeout;

/// \brief Fills the disks of a group one after another, never two at once, while edits are sent.
///
/// Each replica is driven as runtime::replicated_log does it; a message takes 1 to 3 ms.
class disk_group
{
public:
    explicit disk_group(const disk_schedule &schedule);

    /// \returns what went wrong first; empty if nothing did.
    [[nodiscard]] std::string run();

    /// \returns the faults, one a line.
    [[nodiscard]] const std::string &trace() const noexcept { return m_trace; }

    /// \returns the time from the end of the last fault to the next acknowledgement.
    [[nodiscard]] milliseconds recoveredAfter() const noexcept { return m_recoveredAfter; }

    /// \returns the number of acknowledged edits.
    [[nodiscard]] std::size_t acknowledged() const noexcept { return m_acknowledged.size(); }

    /// \returns the number of writes that a full disk refused.
    [[nodiscard]] std::size_t failedWrites() const noexcept { return m_failedWrites; }

private:
    struct traced_events;

    struct node
    {
        std::size_t number = 0;
        std::string name;
        std::uint64_t incarnation = 0;
        std::unique_ptr<fakes::volatile_disk> disk;
        std::unique_ptr<store::replica_store> store;
        std::unique_ptr<traced_events> events;
        std::unique_ptr<replica> running; ///< null while the process or its store is down
        instant opensAt{};                ///< the next try while it is down
        std::map<log_index, std::string> state;
        log_index applied = 0;
        log_index snapshotIndex = 0;
        std::map<log_index, term_number> pending; ///< terms of proposals, by index
    };

    /// Writes the events of a replica to the trace.
    struct traced_events final : kernel::event_sink
    {
        traced_events(disk_group &group, std::string name)
            : m_group(group)
            , m_name(std::move(name))
        { }
        using kernel::event_sink::record;
        void record(const kernel::event_kind &kind,
                    std::span<const kernel::event_field> fields) override;

    private:
        disk_group &m_group;
        std::string m_name;
    };

    struct travelling
    {
        instant due{};
        message sent;
    };

    void step();
    void runFor(nanoseconds time);
    void deliverDue();
    void editDue();
    void runNode(node &target);
    void open(node &target);
    void adopt(node &target, const store::recovery &found);
    [[nodiscard]] kernel::result<void> executeActions(node &target, bool &more);
    [[nodiscard]] kernel::result<void> persist(node &target, const actions &batch);
    [[nodiscard]] kernel::result<void> saveSnapshotWhenDue(node &target);
    void apply(node &target, const log_entry &entry);
    void send(const std::vector<message> &messages);
    void close(node &target, milliseconds downFor);
    void closeKilled(node &target);

    void fillOneDisk();
    void strike();
    void losePower(node &target, milliseconds downFor);
    void loseDisk(node &target);
    [[nodiscard]] node &randomNode();
    [[nodiscard]] node *leader();
    [[nodiscard]] bool allVote() const;
    void endFaults();
    void checkEnd();
    /// \returns where each replica stands, for a violation.
    [[nodiscard]] std::string describe() const;
    void violate(const std::string &what);
    void note(const std::string &what);
    [[nodiscard]] milliseconds drawMs(unsigned below);

    disk_schedule m_schedule;
    seeded_random m_random;
    std::vector<node> m_nodes;
    std::deque<travelling> m_messages;
    instant m_now{};
    instant m_nextEditAt{};
    std::uint64_t m_edits = 0;
    std::uint64_t m_nextIncarnation = 100;
    std::map<log_index, std::string> m_acknowledged;
    std::size_t m_failedWrites = 0;
    instant m_lastAcknowledgedAt{};
    milliseconds m_recoveredAfter{};
    std::string m_violation;
    std::string m_trace;
};

} // namespace yuccascale::properties
