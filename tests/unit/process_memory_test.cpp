#include "yuccascale/runtime/process_memory.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>
#include <string>

namespace yuccascale::runtime {

namespace {

constexpr std::size_t megabyte = 1U << 20U;

/// A folder with the files in which the system reports its memory.
class process_memory_test : public testing::Test
{
protected:
    process_memory_test()
        : m_root(std::filesystem::temp_directory_path()
                 / ("yuccascale-memory-" + std::to_string(::getpid())))
    { }
    ~process_memory_test() override { std::filesystem::remove_all(m_root); }

    void write(const std::string &file, const std::string &text) const
    {
        std::filesystem::create_directories((m_root / file).parent_path());
        std::ofstream(m_root / file) << text;
    }

    const std::filesystem::path m_root;
};

} // namespace

/// Guards against a budget of a large machine in a process that may use little of it.
TEST_F(process_memory_test, isTheLowestLimitOfTheMachineAndItsControlGroups)
{
    EXPECT_EQ(availableMemory(m_root), 0U);
    write("proc/meminfo", "MemTotal:       1048576 kB\nMemFree: 1 kB\n");
    EXPECT_EQ(availableMemory(m_root), 1'024 * megabyte);
    write("proc/self/cgroup", "0::/system/entry\n");
    write("sys/fs/cgroup/system/memory.max", "125829120\n");
    write("sys/fs/cgroup/system/entry/memory.max", "max\n");
    EXPECT_EQ(availableMemory(m_root), 120 * megabyte);
    write("proc/self/cgroup", "5:cpu:/x\n4:memory:/entry\n");
    write("sys/fs/cgroup/memory/entry/memory.limit_in_bytes", "167772160\n");
    EXPECT_EQ(availableMemory(m_root), 160 * megabyte);
}

/// Guards against a default that a single request and its answer exceed.
TEST_F(process_memory_test, givesCallersAThirdAndAtLeastWhatOneRequestNeeds)
{
    settings read;
    EXPECT_EQ(memoryBudgetOf(read, 300 * megabyte), 100 * megabyte);
    EXPECT_EQ(memoryBudgetOf(read, 60 * megabyte), 40 * megabyte);
    EXPECT_EQ(memoryBudgetOf(read, 0), 40 * megabyte);
    read.processMemoryBytes = 240 << 20;
    EXPECT_EQ(memoryBudgetOf(read, 300 * megabyte), 80 * megabyte);
    read.http.memoryBytes = 4 << 20;
    EXPECT_EQ(memoryBudgetOf(read, 300 * megabyte), 4 * megabyte);
}

} // namespace yuccascale::runtime
