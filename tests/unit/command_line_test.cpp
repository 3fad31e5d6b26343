#include "yuccascale/cli/command_line.hpp"
#include "yuccascale/cli/row_file.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace yuccascale::cli {

namespace {

struct command_outcome
{
    int code;
    std::string out;
    std::string err;
};

command_outcome run(std::vector<std::string> words)
{
    words.insert(words.begin(), "yuccascale");
    std::vector<char *> arguments;
    arguments.reserve(words.size());
    for (std::string &word : words)
        arguments.push_back(word.data());
    testing::internal::CaptureStdout();
    testing::internal::CaptureStderr();
    const int code = runCommandLine(static_cast<int>(arguments.size()), arguments.data());
    return {code, testing::internal::GetCapturedStdout(), testing::internal::GetCapturedStderr()};
}

/// A temporary row file.
class row_file_test : public testing::Test
{
protected:
    ~row_file_test() override { std::filesystem::remove(m_file); }

    std::string write(const std::string &text)
    {
        std::ofstream(m_file) << text;
        return m_file;
    }

    std::string m_file = std::filesystem::temp_directory_path()
            / ("yuccascale-rows-" + std::to_string(::getpid()) + ".yaml");
};

} // namespace

TEST(command_line, suggestsTheNearestWordForAMistypedOne)
{
    const command_outcome group = run({"rout", "list"});
    EXPECT_EQ(group.code, Usage);
    EXPECT_NE(group.err.find("did you mean 'route'?"), std::string::npos) << group.err;
    const command_outcome action = run({"key", "withdrew", "k"});
    EXPECT_NE(action.err.find("did you mean 'withdraw'?"), std::string::npos) << action.err;
    const command_outcome flag = run({"status", "--adress=127.0.0.1:1"});
    EXPECT_EQ(flag.code, Usage);
    EXPECT_NE(flag.err.find("did you mean '--address'?"), std::string::npos) << flag.err;
}

TEST(command_line, reportsTheArgumentsThatACommandNeeds)
{
    const command_outcome outcome = run({"key", "create", "albany"});
    EXPECT_EQ(outcome.code, Usage);
    EXPECT_NE(outcome.err.find("key create ORGANISATION ID"), std::string::npos) << outcome.err;
}

TEST(command_line, exitsWithUnreachableWhenNoNodeAnswers)
{
    const std::string keyFile = std::filesystem::temp_directory_path()
            / ("yuccascale-operator-key-" + std::to_string(::getpid()));
    std::ofstream(keyFile) << "0123456789abcdef0123456789abcdef";
    std::filesystem::permissions(keyFile, std::filesystem::perms(0600));
    const command_outcome outcome = run(
            {"status", "--address=127.0.0.1:1", "--timeout=1ms", "--operator-key-file=" + keyFile});
    std::filesystem::remove(keyFile);
    EXPECT_EQ(outcome.code, Unreachable) << outcome.err;
}

TEST_F(row_file_test, readsUnitsAndListsOfRows)
{
    const std::string file = write(
            "- {name: a, pool: p, deadline: 4s}\n- {name: b, pool: p, idempotent: false}\n");
    std::vector<kernel::state::route> rows;
    kernel::error problem;
    ASSERT_TRUE(kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_ASSIGN(rows, readRouteFile(file));
                return {};
            },
            problem))
            << problem.message;
    ASSERT_EQ(rows.size(), 2U);
    EXPECT_EQ(rows[0].deadlineMs, 4'000);
    EXPECT_FALSE(rows[1].idempotent);
}

TEST_F(row_file_test, reportsTheLineOfEveryProblem)
{
    const std::string file
            = write("name: engines\nmodle: m\nendpoints:\n  - name: e1\n"
                    "    address: 127.0.0.1\n    zone: perth-a\n    tenure: chaep\n");
    kernel::error problem;
    ASSERT_FALSE(kernel::succeeded([&] { return readPoolFile(file); }, problem));
    EXPECT_NE(problem.message.find(":2: modle: unknown field; did you mean 'model'?"),
              std::string::npos)
            << problem.message;
    EXPECT_NE(problem.message.find(":5: address: '127.0.0.1' is"), std::string::npos)
            << problem.message;
    EXPECT_NE(problem.message.find(":7: tenure: 'chaep' is not known"), std::string::npos)
            << problem.message;
}

} // namespace yuccascale::cli
