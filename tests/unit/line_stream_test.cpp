#include "yuccascale/runtime/line_stream.hpp"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace yuccascale::runtime {

namespace {

/// Refuses writes beyond \a bytes of a file, as a full disk does.
void limitFiles(rlim_t bytes)
{
    rlimit limit{};
    ASSERT_EQ(::getrlimit(RLIMIT_FSIZE, &limit), 0);
    limit.rlim_cur = bytes;
    ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &limit), 0);
}

} // namespace

/// Guards against a node that writes no line for good once its log's disk was full.
TEST(line_stream, goesOnOnceTheDiskHasRoom)
{
    std::signal(SIGXFSZ, SIG_IGN);
    const auto path = std::filesystem::temp_directory_path()
            / ("yuccascale-lines-" + std::to_string(::getpid()));
    std::atomic<std::uint64_t> dropped{0};
    {
        line_stream lines(path.string(), dropped);
        lines << "one\n" << std::flush;
        limitFiles(6);
        lines << "two\n" << std::flush;
        lines << "three\n" << std::flush;
        limitFiles(RLIM_INFINITY);
        lines << "four\n" << std::flush;
        EXPECT_TRUE(lines.good());
    }
    std::ifstream file(path);
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    EXPECT_EQ(text, "one\ntw\nfour\n");
    EXPECT_EQ(dropped, 2U);
    std::filesystem::remove(path);
}

} // namespace yuccascale::runtime
