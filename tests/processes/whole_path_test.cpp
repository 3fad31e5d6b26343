#include "fakes/answer_text.hpp"
#include "processes/chat_stream.hpp"
#include "processes/cluster.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

namespace yuccascale::processes {

namespace {

std::string completeAnswer(const std::string &prompt, int pieces)
{
    return fakes::answerText(fakes::promptHash(prompt), pieces);
}

} // namespace

TEST(whole_path, aCallerGetsItsCompleteStreamAndTheEngineSeesNoKey)
{
    const cluster system{{}};
    for (std::size_t node = 0; node < system.size(); ++node) {
        const std::string prompt = "a file for teller " + std::to_string(node);
        chat_stream stream;
        stream.run(system.chat(node, "path-" + std::to_string(node), prompt, 20));
        EXPECT_TRUE(stream.finished()) << stream.problem();
        EXPECT_EQ(stream.text(), completeAnswer(prompt, 20));
    }
    const std::vector<json> requests = system.history("engines", "request");
    EXPECT_EQ(requests.size(), system.size());
    for (const json &request : requests) {
        const std::string line = request.dump();
        EXPECT_EQ(line.find("authorization"), std::string::npos) << line;
        EXPECT_EQ(line.find(system.key()), std::string::npos) << line;
        EXPECT_EQ(line.find("albany"), std::string::npos) << line;
    }
}

TEST(whole_path, aStreamIsResumedCompletelyAfterItsEntryIsKilled)
{
    const cluster system{{}};
    const std::string prompt = "a long briefing";
    constexpr int pieces = 150;
    chat_stream stream;
    stream.run(system.chat(3, "resumed", prompt, pieces), [&](std::int64_t count) {
        if (count == 30)
            system.nodeProcess(3).signal(SIGKILL);
    });
    ASSERT_FALSE(stream.finished());
    const bool whole = waitUntil(milliseconds(10'000), [&] {
        stream.run(system.chat(0, "resumed", prompt, pieces));
        return stream.finished();
    });
    EXPECT_TRUE(whole) << stream.problem();
    EXPECT_EQ(stream.text(), completeAnswer(prompt, pieces));
    const std::vector<json> requests = system.history("engines", "request");
    ASSERT_GE(requests.size(), 2U);
    EXPECT_NE(requests.back().at("resume_from"), "")
            << "the resumed request started again from the first piece";
}

TEST(whole_path, aGracefulShutdownInterruptsNoStream)
{
    const cluster system{{}};
    const std::string prompt = "read to the end";
    constexpr int pieces = 300;
    chat_stream stream;
    stream.run(system.chat(3, "shutdown", prompt, pieces), [&](std::int64_t count) {
        if (count == 10)
            system.nodeProcess(3).signal(SIGTERM);
    });
    EXPECT_TRUE(stream.finished()) << stream.problem();
    EXPECT_EQ(stream.text(), completeAnswer(prompt, pieces));
    EXPECT_TRUE(system.nodeProcess(3).waitForExit(milliseconds(10'000)));
    EXPECT_EQ(system.nodeProcess(3).exitCode(), 0);
}

TEST(whole_path, reloadingSettingsInterruptsNoStreamAndRefusedSettingsChangeNothing)
{
    const cluster system{{}};
    constexpr std::size_t node = 3;
    const std::filesystem::path good = system.folder() / "good.yaml";
    std::filesystem::copy_file(system.settingsFile(node), good);
    const std::string prompt = "read while the settings change";
    constexpr int pieces = 300;
    chat_stream stream;
    stream.run(system.chat(node, "reload", prompt, pieces), [&](std::int64_t count) {
        if (count == 10) {
            std::ofstream(system.settingsFile(node), std::ios::app) << "no_such_setting: 1\n";
            system.nodeProcess(node).signal(SIGHUP);
        }
        if (count == 150) {
            std::filesystem::copy_file(good, system.settingsFile(node),
                                       std::filesystem::copy_options::overwrite_existing);
            system.nodeProcess(node).signal(SIGHUP);
        }
    });
    EXPECT_TRUE(stream.finished()) << stream.problem();
    EXPECT_EQ(stream.text(), completeAnswer(prompt, pieces));
    const std::vector<std::string> expected{"refused", "taken over"};
    EXPECT_TRUE(waitUntil(milliseconds(5'000),
                          [&] { return system.reloadOutcomes(node) == expected; }));
    chat_stream after;
    after.run(system.chat(node, "after-reload", prompt, 20));
    EXPECT_TRUE(after.finished()) << after.problem();
}

} // namespace yuccascale::processes
