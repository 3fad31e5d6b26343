#include "fakes/replica_group.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace yuccascale::golden {

namespace {

using namespace std::chrono_literals;

std::string text(kernel::instant time)
{
    return std::to_string(std::chrono::duration_cast<kernel::milliseconds>(time.time_since_epoch())
                                  .count())
            + " ms";
}

/// Writes down the authority of every replica at this moment.
void noteAuthority(fakes::replica_group &group)
{
    for (std::size_t at = 0; at < 3; ++at) {
        const auto authority = group.at(at).leadershipAt(group.now());
        std::string line = "has no authority";
        if (authority)
            line = "has authority: fence " + std::to_string(authority->fence) + " since "
                    + text(authority->leaseStart) + " until " + text(authority->leaseEnd)
                    + ", orders without fence from " + text(authority->ordersAllowedFrom);
        group.appendTrace(group.member(at).name, line);
    }
}

void compare(const std::string &name, const std::string &session)
{
    const std::string path = std::string(YUCCASCALE_SOURCE_DIR) + "/tests/golden/" + name;
    if (std::getenv("YUCCASCALE_UPDATE_GOLDEN")) {
        std::ofstream(path) << session;
        return;
    }
    std::ifstream file(path);
    std::ostringstream expected;
    expected << file.rdbuf();
    EXPECT_EQ(session, expected.str()) << "YUCCASCALE_UPDATE_GOLDEN=1 rewrites " << path;
}

} // namespace

TEST(consensus_golden, electionAndLeaseHandover)
{
    fakes::replica_group group(3);
    const std::size_t first = group.runUntilLeader();
    noteAuthority(group);
    (void)group.at(first).propose("edit 1");
    group.run(300ms);

    group.pause(first, true);
    const std::size_t second = group.runUntilLeader();
    noteAuthority(group);
    (void)group.at(second).propose("edit 2");
    group.run(100ms);

    group.pause(first, false);
    noteAuthority(group);
    group.run(500ms);
    noteAuthority(group);

    const std::size_t third = 3 - first - second;
    group.loseDisk(third);
    group.run(1s);
    group.start(third);
    group.run(1s);
    noteAuthority(group);
    compare("consensus_lease_handover.txt", group.trace());
}

} // namespace yuccascale::golden
