#include "fakes/replica_group.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace yuccascale::golden {

namespace {

using namespace std::chrono_literals;

std::string formatTime(kernel::instant time)
{
    return std::to_string(std::chrono::duration_cast<kernel::milliseconds>(time.time_since_epoch())
                                  .count())
            + " ms";
}

/// Adds each replica's current authority to the trace.
void recordAuthority(fakes::replica_group &group)
{
    for (std::size_t index = 0; index < 3; ++index) {
        const auto authority = group.at(index).leadershipAt(group.now());
        std::string line = "has no authority";
        if (authority)
            line = "has authority: fence " + std::to_string(authority->fence) + " since "
                    + formatTime(authority->leaseStart) + " until "
                    + formatTime(authority->leaseEnd) + ", orders without fence from "
                    + formatTime(authority->ordersAllowedFrom);
        group.appendTrace(group.member(index).name, line);
    }
}

void compareWithGolden(const std::string &name, const std::string &session)
{
    const std::string path = std::string(YUCCASCALE_SOURCE_DIR) + "/tests/golden/" + name;
    if (std::getenv("YUCCASCALE_UPDATE_GOLDEN")) {
        std::ofstream(path) << session;
        return;
    }
    std::ifstream file(path);
    std::ostringstream expected;
    expected << file.rdbuf();
    EXPECT_EQ(session, expected.str()) << "the recorded trace changed; if this is intended, "
                                          "YUCCASCALE_UPDATE_GOLDEN=1 rewrites "
                                       << path;
}

} // namespace

/// Guards against unintended changes of the message sequence: the first leader is paused, a second
/// one takes over the lease, the first resumes, and the third node loses its disk and rejoins.
TEST(consensus_golden, electionAndLeaseHandover)
{
    fakes::replica_group group(3);
    const std::size_t firstLeader = group.runUntilLeader();
    recordAuthority(group);
    (void)group.at(firstLeader).propose("edit 1");
    group.run(300ms);

    group.pause(firstLeader, true);
    const std::size_t secondLeader = group.runUntilLeader();
    recordAuthority(group);
    (void)group.at(secondLeader).propose("edit 2");
    group.run(100ms);

    group.pause(firstLeader, false);
    recordAuthority(group);
    group.run(500ms);
    recordAuthority(group);

    const std::size_t follower = 3 - firstLeader - secondLeader;
    group.loseDisk(follower);
    group.run(1s);
    group.start(follower);
    group.run(1s);
    recordAuthority(group);
    compareWithGolden("consensus_lease_handover.txt", group.trace());
}

} // namespace yuccascale::golden
