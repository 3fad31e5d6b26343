#include "yuccascale/runtime/settings.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace yuccascale::runtime {

namespace {

/// A temporary folder with a settings file and its secret files.
class settings_test : public testing::Test
{
protected:
    settings_test()
        : m_folder(std::filesystem::temp_directory_path()
                   / ("yuccascale-settings-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(m_folder / "data");
        writeFile("secret", "0123456789abcdef0123456789abcdef\n", true);
    }
    ~settings_test() override { std::filesystem::remove_all(m_folder); }

    void writeFile(const std::string &name, const std::string &text, bool ownerOnly)
    {
        std::ofstream(m_folder / name) << text;
        const auto rights = ownerOnly ? std::filesystem::perms(0600) : std::filesystem::perms(0644);
        std::filesystem::permissions(m_folder / name, rights);
    }

    std::string problemsOf(const std::string &extra, const std::string &link = "127.0.0.1:7400")
    {
        const std::string folder = m_folder.string();
        writeFile("node.yaml",
                  "node: perth-a-1\ncluster_secret: " + folder + "/secret\noperator_key: " + folder
                          + "/secret\ndata_folder: " + folder
                          + "/data\nzone: perth-a\nroles: [entry, control]\nlink: " + link
                          + "\ncallers: 127.0.0.1:7500\nseeds: ['127.0.0.1:7400']\n"
                          + "first_start: true\n" + extra,
                  false);
        kernel::error problem;
        const std::string file = (m_folder / "node.yaml").string();
        if (kernel::succeeded([&] { return readSettings(file); }, problem))
            return {};
        return problem.message;
    }

    std::filesystem::path m_folder;
};

} // namespace

TEST_F(settings_test, acceptsACompleteFile)
{
    EXPECT_EQ(problemsOf("control: {lease: 2s}\n"), "");
}

TEST_F(settings_test, reportsLineAndNearestNameOfAnUnknownField)
{
    const std::string problems = problemsOf("htpp: {threads: 4}\n");
    EXPECT_NE(problems.find("node.yaml:11: htpp: unknown field; did you mean 'http'?"),
              std::string::npos)
            << problems;
}

TEST_F(settings_test, rejectsADurationWithoutAUnit)
{
    EXPECT_NE(problemsOf("control: {lease: 1500}\n").find("lease: '1500' has no known unit"),
              std::string::npos);
}

/// Guards against a process that starts and then refuses nearly every request.
TEST_F(settings_test, rejectsAMemoryBudgetThatIsTooSmallToServe)
{
    const std::string problems = problemsOf("http: {memory: 4KB}\n");
    EXPECT_NE(problems.find("memory: must be at least 1 MB"), std::string::npos) << problems;
    EXPECT_NE(problems.find("raise it"), std::string::npos) << problems;
    EXPECT_EQ(problemsOf("http: {memory: 1MB}\n"), "");
}

TEST_F(settings_test, rejectsAnAddressWithoutAPort)
{
    EXPECT_NE(problemsOf("", "127.0.0.1").find("link: '127.0.0.1' is not an address"),
              std::string::npos);
}

TEST_F(settings_test, rejectsASecretFileReadableByOthers)
{
    writeFile("secret", "0123456789abcdef0123456789abcdef\n", false);
    EXPECT_NE(problemsOf("").find("chmod 600"), std::string::npos);
}

TEST_F(settings_test, reportsAllProblemsInOneError)
{
    const std::string problems = problemsOf("htpp: {}\ncontrol: {lease: 1}\n", "nowhere");
    EXPECT_EQ(std::ranges::count(problems, '\n'), 2) << problems;
}

/// Guards against entries without a bound on the list of endpoints though the platform names one.
TEST_F(settings_test, readsHowLongADrainingEndpointServesOn)
{
    EXPECT_EQ(problemsOf("promises: {drain_notice: 3s}\n"), "");
    kernel::error problem;
    kernel::milliseconds notice{};
    EXPECT_TRUE(kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_AUTO(read, readSettings((m_folder / "node.yaml").string()));
                notice = read.promises.drainNotice;
                return {};
            },
            problem));
    EXPECT_EQ(notice, kernel::seconds(3));
    EXPECT_NE(problemsOf("promises: {drain_notice: 3000}\n"), "");
}

/// Guards against a window too short for entries that hear of each other each half second, and
/// against a tolerance that has no effect.
TEST_F(settings_test, readsTheToleranceOfQuotas)
{
    EXPECT_EQ(problemsOf("promises: {quota_window: 8s, quota_over: 0.1, quota_slack: 190000}\n"),
              "");
    kernel::error problem;
    promise_settings promises;
    EXPECT_TRUE(kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_AUTO(read, readSettings((m_folder / "node.yaml").string()));
                promises = read.promises;
                return {};
            },
            problem));
    EXPECT_EQ(promises.quotaWindow, kernel::seconds(8));
    EXPECT_EQ(promises.quotaOver, 0.1);
    EXPECT_EQ(promises.quotaSlack, 190'000);
    EXPECT_NE(problemsOf("promises: {quota_window: 1s}\n").find("at least 2s"), std::string::npos);
    EXPECT_NE(problemsOf("promises: {quota_slack: 9}\n").find("set quota_window"),
              std::string::npos);
    EXPECT_NE(problemsOf("promises: {quota_window: 8s, quota_over: -1}\n"), "");
}

TEST_F(settings_test, derivesTheVotersFromTheLossesToTolerate)
{
    const auto votersOf = [&](const std::string &control) {
        EXPECT_EQ(problemsOf("control: {" + control + "}\n"), "");
        int voters = 0;
        kernel::error problem;
        EXPECT_TRUE(kernel::succeeded(
                [&]() -> kernel::result<void> {
                    BOOST_LEAF_AUTO(read, readSettings((m_folder / "node.yaml").string()));
                    voters = read.control.voters;
                    return {};
                },
                problem));
        return voters;
    };
    EXPECT_EQ(votersOf("tolerated_losses: 1"), 3);
    EXPECT_EQ(votersOf("tolerated_losses: 2"), 5);
    EXPECT_EQ(votersOf("tolerated_losses: 0"), 3) << "the default";
    EXPECT_NE(problemsOf("control: {tolerated_losses: 2, voters: 7}\n"), "");
    EXPECT_NE(problemsOf("control: {tolerated_losses: 1.5}\n"), "");
    EXPECT_NE(problemsOf("control: {tolerated_losses: -1}\n"), "");
}

/// Guards against a leader that plans capacity and can't order it.
TEST_F(settings_test, followDemandNeedsTheListAndTheCounts)
{
    EXPECT_EQ(problemsOf("policy: {capacity: cheap_headroom}\n"), "");
    EXPECT_EQ(problemsOf("policy: {capacity: follow_demand}\n"
                         "platform: {endpoint_list: 127.0.0.1:1, endpoint_counts: 127.0.0.1:1}\n"),
              "");
    const std::string problem = problemsOf("policy: {capacity: follow_demand}\n"
                                           "platform: {endpoint_list: 127.0.0.1:1}\n");
    EXPECT_NE(problem.find("policy.capacity"), std::string::npos) << problem;
    EXPECT_NE(problem.find("platform.endpoint_counts; set both"), std::string::npos) << problem;
    EXPECT_NE(problemsOf("policy: {capacity: all}\n").find("capacity"), std::string::npos);
}

} // namespace yuccascale::runtime
