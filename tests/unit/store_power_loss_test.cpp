#include "fakes/volatile_disk.hpp"
#include "yuccascale/store/replica_store.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <map>
#include <random>

/// \file
/// \brief Schedules of kills, restarts, losses of power and full disks at a
/// store on a disk that forgets.

namespace yuccascale::store {

namespace {

using namespace kernel::consensus;
using fakes::full_disk;
using fakes::process_killed;
using fakes::volatile_disk;

constexpr unsigned schedules = 3'000;
constexpr unsigned schedulesOfFullDisks = 1'000; ///< each takes longer
constexpr int stepsPerSchedule = 40;
constexpr unsigned mostTries = 120; ///< of opening a store while the disk is full
constexpr std::size_t mostFilesBesideWrites = 8;
const std::filesystem::path folder = "data";

[[nodiscard]] unsigned numberFromEnvironment(const char *name, unsigned fallback)
{
    const char *text = std::getenv(name);
    return text ? static_cast<unsigned>(std::strtoul(text, nullptr, 10)) : fallback;
}

/// A replica's store that is written, killed and restarted at random, and what
/// it has promised.
class promising_store
{
public:
    /// \param becomesFull whether the disk is full at times
    promising_store(unsigned seed, bool becomesFull)
        : m_random(seed)
        , m_disk(seed)
        , m_becomesFull(becomesFull)
    { }

    /// \returns the first broken promise; empty if all were kept.
    [[nodiscard]] std::string run()
    {
        restart();
        for (int step = 0; step < stepsPerSchedule && m_violation.empty(); ++step)
            takeStep();
        return m_violation;
    }

private:
    [[nodiscard]] unsigned draw(unsigned below) { return m_random() % below; }

    void takeStep()
    {
        if (draw(3) == 0)
            m_disk.killAfter(draw(12));
        if (m_becomesFull && draw(3) == 0)
            fillDisk();
        try {
            const unsigned kind = draw(9);
            if (kind == 0)
                return crash(false);
            if (kind == 1)
                return crash(true);
            if (kind == 2)
                return saveSnapshot();
            if (kind == 3)
                return installSnapshot();
            append();
        } catch (const process_killed &) {
            crash(draw(2) == 0);
        }
    }

    void fillDisk()
    {
        constexpr std::array kinds{full_disk::Writes, full_disk::WritesAndNames, full_disk::Syncs};
        m_disk.fillAfter(draw(20), kinds[draw(kinds.size())], draw(2) == 0 ? 0 : draw(400));
    }

    void crash(bool powerLost)
    {
        m_disk.letLive();
        m_store.reset();
        if (powerLost)
            m_disk.losePower();
        restart();
    }

    /// The process may be killed while it starts, too. While the disk is full, it
    /// tries again and again.
    void restart()
    {
        for (unsigned tries = 0; m_violation.empty(); ++tries) {
            if (draw(3) == 0)
                m_disk.killAfter(draw(10));
            if (tries == mostTries || draw(8) == 0)
                m_disk.makeRoom();
            try {
                const bool opened = open();
                m_disk.letLive();
                checkFiles();
                if (opened)
                    return;
            } catch (const process_killed &) {
                m_disk.letLive();
                m_store.reset();
                if (draw(2) == 0)
                    m_disk.losePower();
            }
        }
    }

    /// \returns false when the disk is full.
    [[nodiscard]] bool open()
    {
        m_store.reset();
        kernel::error problem;
        const bool opened = kernel::succeeded(
                [&]() -> kernel::result<void> {
                    BOOST_LEAF_ASSIGN(m_store, replica_store::open(folder, 77, m_disk));
                    return {};
                },
                problem);
        if (m_disk.killed())
            throw process_killed();
        if (opened)
            adopt(m_store->takeRecovery().state);
        else if (!isFull(problem))
            m_violation = "does not start: " + problem.where + ": " + problem.message;
        return opened;
    }

    [[nodiscard]] bool isFull(const kernel::error &problem) const
    {
        return m_disk.full() && problem.kind == kernel::error_kind::Unavailable;
    }

    /// Tries to open leave nothing behind that adds up.
    void checkFiles()
    {
        const std::size_t files = m_disk.fileCount();
        if (files > m_writes + mostFilesBesideWrites)
            m_violation = "too many files: " + std::to_string(files);
    }

    /// Compares what was found with what was promised; from now on, what was
    /// found is promised.
    void adopt(const durable_state &found)
    {
        std::map<log_index, term_number> terms;
        for (const log_entry &entry : found.entries)
            terms[entry.index] = entry.term;
        const log_index covered = found.snapshot ? found.snapshot->index : 0;
        // the log of another leader ends the promises of the former one
        if (m_installing != 0 && covered == m_installing)
            m_terms.clear();
        m_installing = 0;
        for (const auto &[index, term] : m_terms) {
            const auto entry = terms.find(index);
            if (index > covered && (entry == terms.end() || entry->second != term))
                m_violation = "entry " + std::to_string(index) + " is lost";
        }
        if (found.hardState.term < m_hardState.term)
            m_violation = "the term went back";
        m_hardState = found.hardState;
        m_terms = std::move(terms);
        m_last = m_terms.empty() ? std::max(covered, log_index{0}) : m_terms.rbegin()->first;
        m_covered = covered;
        m_coveredTerm = found.snapshot ? found.snapshot->term : 0;
    }

    [[nodiscard]] term_number newestTerm() const
    {
        return std::max(m_hardState.term, m_coveredTerm);
    }

    void append()
    {
        const hard_state next{newestTerm() + draw(2), std::nullopt};
        std::vector<log_entry> entries;
        const unsigned count = draw(3);
        for (unsigned each = 1; each <= count; ++each)
            entries.push_back({next.term, m_last + each, entry_kind::Command,
                               std::string(1 + draw(60), 'x')});
        ++m_writes;
        if (!done([&] { return m_store->write({next, std::nullopt, entries}); }))
            return;
        m_hardState = next;
        for (const log_entry &entry : entries)
            m_terms[entry.index] = entry.term;
        m_last += count;
    }

    void saveSnapshot()
    {
        if (m_terms.empty() || m_last <= m_covered)
            return;
        const snapshot_data snapshot{m_last,
                                     m_terms.at(m_last),
                                     {{{"a", 1}}, {}},
                                     std::make_shared<const std::string>("state")};
        if (!done([&] { return m_store->saveSnapshot(snapshot); }))
            return;
        m_covered = m_last;
        const log_index keepFrom = m_last - std::min<log_index>(m_last, draw(4));
        static_cast<void>(done([&] { return m_store->compact(keepFrom); }));
    }

    /// The leader of a newer term sends a snapshot: of more than this log holds,
    /// or of another log.
    void installSnapshot()
    {
        const bool differs = m_last > m_covered && draw(2) == 0;
        const log_index index = differs
                ? m_covered + 1 + draw(static_cast<unsigned>(m_last - m_covered))
                : m_last + 1 + draw(3);
        const hard_state next{newestTerm() + 1, std::nullopt};
        ++m_writes;
        const snapshot_data snapshot{
                index, next.term, {{{"a", 1}}, {}}, std::make_shared<const std::string>("state")};
        m_installing = index;
        if (!done([&] { return m_store->saveSnapshot(snapshot); }))
            return;
        if (!done([&] { return m_store->write({next, index, {}}); }))
            return;
        m_installing = 0;
        m_hardState = next;
        m_terms.clear();
        m_last = m_covered = index;
        m_coveredTerm = next.term;
    }

    template<typename Work>
    [[nodiscard]] bool done(Work &&work)
    {
        kernel::error problem;
        const bool succeeded = kernel::succeeded(std::forward<Work>(work), problem);
        if (m_disk.killed())
            throw process_killed();
        if (!succeeded && isFull(problem))
            restart();
        else if (!succeeded)
            m_violation = problem.where + ": " + problem.message;
        return succeeded;
    }

    std::minstd_rand m_random;
    volatile_disk m_disk;
    bool m_becomesFull;
    std::unique_ptr<replica_store> m_store;
    hard_state m_hardState;
    std::map<log_index, term_number> m_terms; ///< of the promised entries that the log holds
    log_index m_last = 0;
    log_index m_covered = 0; ///< by the snapshot
    term_number m_coveredTerm = 0;
    log_index m_installing = 0; ///< the snapshot that may be saved; 0: none
    std::size_t m_writes = 0;
    std::string m_violation;
};

log_entry entry(log_index index)
{
    return {1, index, entry_kind::Command, "entry " + std::to_string(index)};
}

/// Opens the store and takes what it recovered.
[[nodiscard]] durable_state reopen(std::unique_ptr<replica_store> &store, volatile_disk &disk)
{
    durable_state found;
    kernel::error problem;
    const bool opened = kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_ASSIGN(store, replica_store::open(folder, 77, disk));
                found = store->takeRecovery().state;
                return {};
            },
            problem);
    EXPECT_TRUE(opened) << problem.where << ": " << problem.message;
    return found;
}

/// Writes two entries, is killed before the sync of the second, and starts
/// again.
[[nodiscard]] std::size_t entriesReadAfterAKill(std::unique_ptr<replica_store> &store,
                                                volatile_disk &disk)
{
    static_cast<void>(reopen(store, disk));
    kernel::error problem;
    const std::vector<log_entry> first{entry(1)};
    const std::vector<log_entry> second{entry(2)};
    EXPECT_TRUE(kernel::succeeded(
            [&] {
                return store->write({hard_state{1, {}}, std::nullopt, first});
            },
            problem));
    disk.killAfter(1);
    EXPECT_THROW(static_cast<void>(store->write({std::nullopt, std::nullopt, second})),
                 process_killed);
    store.reset();
    return reopen(store, disk).entries.size();
}

} // namespace

/// Guards against promises that rest on what a killed process had not synced.
TEST(store_power_loss, whatWasReadAfterAKillSurvivesALossOfPower)
{
    for (unsigned seed = 0; seed < 40; ++seed) {
        volatile_disk disk(seed);
        std::unique_ptr<replica_store> store;
        const std::size_t promised = entriesReadAfterAKill(store, disk);
        store.reset();
        disk.losePower();
        EXPECT_GE(reopen(store, disk).entries.size(), promised) << "seed " << seed;
        if (testing::Test::HasFailure())
            return;
    }
}

/// Guards against promises that rest on a write whose sync failed.
TEST(store_power_loss, whatWasReadAfterAFailedSyncSurvivesALossOfPower)
{
    for (unsigned seed = 0; seed < 40; ++seed) {
        volatile_disk disk(seed);
        std::unique_ptr<replica_store> store;
        static_cast<void>(reopen(store, disk));
        kernel::error problem;
        const std::vector<log_entry> first{entry(1)};
        disk.failSyncs(1);
        EXPECT_FALSE(kernel::succeeded(
                [&] {
                    return store->write({hard_state{1, {}}, std::nullopt, first});
                },
                problem));
        store.reset();
        const std::size_t promised = reopen(store, disk).entries.size();
        store.reset();
        disk.losePower();
        EXPECT_GE(reopen(store, disk).entries.size(), promised) << "seed " << seed;
        if (testing::Test::HasFailure())
            return;
    }
}

/// Guards against a replica that refuses its log since some removed segments
/// came back with the power.
TEST(store_power_loss, startsWhenSomeOfTheRemovedSegmentsComeBack)
{
    for (unsigned seed = 0; seed < 40; ++seed) {
        volatile_disk disk(seed);
        std::unique_ptr<replica_store> store;
        kernel::error problem;
        for (log_index index = 1; index <= 4; ++index) {
            static_cast<void>(reopen(store, disk));
            const std::vector<log_entry> next{entry(index)};
            ASSERT_TRUE(kernel::succeeded(
                    [&] {
                        return store->write({hard_state{1, {}}, std::nullopt, next});
                    },
                    problem));
            store.reset();
        }
        static_cast<void>(reopen(store, disk));
        const snapshot_data snapshot{
                4, 1, {{{"a", 1}}, {}}, std::make_shared<const std::string>("state")};
        ASSERT_TRUE(kernel::succeeded([&] { return store->saveSnapshot(snapshot); }, problem));
        disk.killAfter(12 + seed % 6);
        try {
            static_cast<void>(kernel::succeeded([&] { return store->compact(5); }, problem));
        } catch (const process_killed &) { }
        disk.letLive();
        store.reset();
        disk.losePower();
        EXPECT_EQ(reopen(store, disk).snapshot.value_or(snapshot_data{}).index, 4U);
        if (testing::Test::HasFailure())
            return;
    }
}

/// Guards against tries to open that each leave a file while the disk stays
/// full.
TEST(store_power_loss, aMinuteOfTriesOnAFullDiskAddsNoFiles)
{
    for (const full_disk kind : {full_disk::Writes, full_disk::WritesAndNames, full_disk::Syncs}) {
        for (unsigned calls = 0; calls < 30; ++calls) {
            volatile_disk disk(calls);
            std::unique_ptr<replica_store> store;
            static_cast<void>(reopen(store, disk));
            const std::vector<log_entry> entries{entry(1), entry(2)};
            kernel::error problem;
            ASSERT_TRUE(kernel::succeeded(
                    [&] {
                        return store->write({hard_state{1, {}}, std::nullopt, entries});
                    },
                    problem));
            disk.fillAfter(calls, kind, 100);
            static_cast<void>(kernel::succeeded([&] { return store->compact(1); }, problem));
            std::size_t most = 0;
            for (unsigned tries = 0; tries < mostTries; ++tries) {
                store.reset();
                static_cast<void>(kernel::succeeded(
                        [&]() -> kernel::result<void> {
                            BOOST_LEAF_ASSIGN(store, replica_store::open(folder, 77, disk));
                            return {};
                        },
                        problem));
                most = std::max(most, disk.fileCount());
            }
            EXPECT_LE(most, 5U) << "full after call " << calls;
            store.reset();
            disk.makeRoom();
            EXPECT_EQ(reopen(store, disk).entries.size(), 2U);
        }
    }
}

/// Guards against a replica that saved a leader's snapshot, was stopped before it reset its log,
/// went on after the snapshot, and later took the gap for damage or lost what it had confirmed.
TEST(store_power_loss, goesOnAfterASnapshotWhoseResetWasNotWritten)
{
    for (const log_index snapshotAt : {log_index{2}, log_index{9}}) {
        volatile_disk disk(1);
        std::unique_ptr<replica_store> store;
        static_cast<void>(reopen(store, disk));
        kernel::error problem;
        const std::vector<log_entry> former{entry(1), entry(2), entry(3)};
        const std::vector<log_entry> next{{5, snapshotAt + 1, entry_kind::Command, "next"}};
        const snapshot_data snapshot{
                snapshotAt, 4, {{{"a", 1}}, {}}, std::make_shared<const std::string>("state")};
        const auto write = [&](const std::vector<log_entry> &entries) {
            return kernel::succeeded(
                    [&] {
                        return store->write({hard_state{5, {}}, std::nullopt, entries});
                    },
                    problem);
        };
        ASSERT_TRUE(write(former));
        ASSERT_TRUE(kernel::succeeded([&] { return store->saveSnapshot(snapshot); }, problem));
        store.reset();
        EXPECT_TRUE(reopen(store, disk).entries.empty());
        ASSERT_TRUE(write(next));
        store.reset();
        EXPECT_EQ(reopen(store, disk).entries, next);
        store.reset();
    }
}

/// Runs the schedules and reports the broken ones, by what broke.
void expectAllKept(bool disksBecomeFull, unsigned usualCount)
{
    const unsigned count = numberFromEnvironment("YUCCASCALE_SCHEDULES", usualCount);
    const unsigned first = numberFromEnvironment("YUCCASCALE_SEED", 0);
    std::map<std::string, unsigned> broken;
    for (unsigned seed = first; seed < first + count; ++seed) {
        const std::string violation = promising_store(seed, disksBecomeFull).run();
        if (!violation.empty() && broken.empty())
            ADD_FAILURE() << "seed " << seed << ": " << violation;
        if (!violation.empty())
            ++broken[violation.substr(0, violation.find_first_of("0123456789"))];
    }
    for (const auto &[violation, number] : broken)
        ADD_FAILURE() << number << " of " << count << " schedules: " << violation;
}

TEST(store_power_loss, noPromiseIsBrokenAndEveryReplicaStarts)
{
    expectAllKept(false, schedules);
}

TEST(store_power_loss, noPromiseIsBrokenWhenTheDiskIsFullAtTimes)
{
    expectAllKept(true, schedulesOfFullDisks);
}

} // namespace yuccascale::store
