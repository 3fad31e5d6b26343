#include "yuccascale/runtime/process_memory.hpp"

#include <malloc.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <limits>
#include <string>
#include <string_view>

namespace yuccascale::runtime {

namespace fs = std::filesystem;

namespace {

constexpr std::size_t bytesPerKilobyte = 1'024;
constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();
/// The program itself, copies of what a loop handles at the moment and the allocator take the rest.
constexpr std::size_t budgetDivisor = 3;
/// Of the largest body: the request, its copy on the way to an endpoint, its answer, and as much
/// for a second one that is being received.
constexpr std::size_t leastBodies = 5;
/// glibc raises its threshold when such an allocation is freed, unless it is set.
constexpr int mappedBytes = 64 << 10;

[[nodiscard]] std::size_t machineMemory(const fs::path &root)
{
    std::ifstream file(root / "proc/meminfo");
    std::string name;
    std::size_t kilobytes = 0;
    if (file >> name >> kilobytes && name == "MemTotal:")
        return kilobytes * bytesPerKilobyte;
    return unlimited;
}

/// \returns the limit that a file holds; unlimited when it holds none.
[[nodiscard]] std::size_t limitIn(const fs::path &path)
{
    std::ifstream file(path);
    std::size_t bytes = 0;
    return file >> bytes ? bytes : unlimited;
}

/// \returns the lowest limit of a control group and those above it.
[[nodiscard]] std::size_t lowestLimit(const fs::path &hierarchy, std::string_view group,
                                      const char *file)
{
    std::size_t lowest = limitIn(hierarchy / file);
    fs::path folder = hierarchy;
    for (const fs::path &part : fs::path(group).relative_path()) {
        folder /= part;
        lowest = std::min(lowest, limitIn(folder / file));
    }
    return lowest;
}

[[nodiscard]] std::size_t groupLimit(const fs::path &root)
{
    std::size_t lowest = unlimited;
    std::ifstream file(root / "proc/self/cgroup");
    for (std::string line; std::getline(file, line);) { // hierarchy:controllers:group
        const std::size_t first = line.find(':');
        const std::size_t second = line.find(':', first + 1);
        if (first == std::string::npos || second == std::string::npos)
            continue;
        const std::string controllers = line.substr(first + 1, second - first - 1);
        const std::string_view group = std::string_view(line).substr(second + 1);
        const fs::path mounted = root / "sys/fs/cgroup";
        if (controllers.empty())
            lowest = std::min(lowest, lowestLimit(mounted, group, "memory.max"));
        else if (controllers == "memory")
            lowest = std::min(lowest,
                              lowestLimit(mounted / "memory", group, "memory.limit_in_bytes"));
    }
    return lowest;
}

} // namespace

std::size_t availableMemory(const fs::path &root)
{
    const std::size_t available = std::min(machineMemory(root), groupLimit(root));
    return available == unlimited ? 0 : available;
}

std::size_t memoryBudgetOf(const settings &settings, std::size_t available)
{
    if (settings.http.memoryBytes > 0)
        return static_cast<std::size_t>(settings.http.memoryBytes);
    if (settings.processMemoryBytes > 0)
        available = static_cast<std::size_t>(settings.processMemoryBytes);
    const auto largestBody = static_cast<std::size_t>(settings.http.maxBodyBytes);
    return std::max(available / budgetDivisor, leastBodies * largestBody);
}

void returnFreedMemory() noexcept
{
    // ignored: without it more memory stays with the process
    static_cast<void>(::mallopt(M_MMAP_THRESHOLD, mappedBytes));
}

} // namespace yuccascale::runtime
