#include "processes/cluster.hpp"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <iostream>
#include <set>

namespace yuccascale::processes {

namespace {

using test_clock = std::chrono::steady_clock;

/// One opening of the data folder, and an election with a second try, at the default settings.
constexpr milliseconds acknowledgedWithin{500 + 4 * 1'000};
constexpr milliseconds fullFor{3'000};
constexpr std::size_t controlNodes = 3;
constexpr int rounds = 2;

/// A limit on the size of files refuses every write of this process, as a full disk does.
void setDiskFull(const child_process &process, bool full)
{
    rlimit limit{};
    ASSERT_EQ(::prlimit(process.id(), RLIMIT_FSIZE, nullptr, &limit), 0);
    limit.rlim_cur = full ? 0 : limit.rlim_max;
    ASSERT_EQ(::prlimit(process.id(), RLIMIT_FSIZE, &limit, nullptr), 0);
}

/// Adds organisations, one after another, until \a until.
void edit(const cluster &system, test_clock::time_point until, std::set<std::string> &accepted)
{
    while (test_clock::now() < until) {
        const std::string name = "added-" + std::to_string(accepted.size());
        if (system.put("organisation", json{{"name", name}}).exitCode == 0)
            accepted.insert(name);
    }
}

[[nodiscard]] bool inForce(const cluster &system, std::size_t node, std::set<std::string> wanted)
{
    const command_answer answer = system.command({"organisation", "list"}, {node});
    if (!answer.document.is_array())
        return false;
    for (const json &row : answer.document)
        wanted.erase(row.at("name").get<std::string>());
    return wanted.empty();
}

[[nodiscard]] std::size_t filesOf(const cluster &system, std::size_t node)
{
    std::size_t files = 0;
    for (const auto &each : std::filesystem::directory_iterator(system.dataFolder(node)))
        files += each.is_regular_file() ? 1 : 0;
    return files;
}

} // namespace

/// Guards against changes that are refused for good once disks have been full in turn.
TEST(full_disks, anEditIsAcknowledgedSoonAfterTheLastFullDiskHasRoom)
{
    cluster_options options;
    options.control = "snapshot_entries: 16";
    cluster system(options);
    std::set<std::string> accepted;
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t node = 0; node < controlNodes; ++node) {
            setDiskFull(system.nodeProcess(node), true);
            edit(system, test_clock::now() + fullFor, accepted);
            setDiskFull(system.nodeProcess(node), false);
        }
        const auto begin = test_clock::now();
        const std::string name = "after-" + std::to_string(round);
        EXPECT_EQ(system.put("organisation", json{{"name", name}}).exitCode, 0);
        const auto took = std::chrono::duration_cast<milliseconds>(test_clock::now() - begin);
        EXPECT_LE(took, acknowledgedWithin);
        std::cout << "acknowledged " << took.count() << " ms after the last disk has room\n";
        accepted.insert(name);
        EXPECT_TRUE(system.waitAllReady());
    }
    for (std::size_t node = 0; node < system.size(); ++node) {
        EXPECT_TRUE(
                waitUntil(cluster::readyTimeout, [&] { return inForce(system, node, accepted); }))
                << "node " << node + 1;
    }
    constexpr std::size_t mostFiles = 16; ///< some segments beside snapshot, manifest and lock
    for (std::size_t node = 0; node < controlNodes; ++node) {
        EXPECT_TRUE(system.nodeProcess(node).id() > 0);
        // without a failed write this would test nothing
        EXPECT_GT(system.eventCount(node, "store_reopened"), 0U) << "node " << node + 1;
        EXPECT_LE(filesOf(system, node), mostFiles);
    }
}

} // namespace yuccascale::processes
