#include "processes/process_memory.hpp"

#include <filesystem>
#include <fstream>
#include <string>

namespace yuccascale::processes {

namespace {

constexpr std::size_t bytesPerKilobyte = 1'024;
const std::string peakField = "VmHWM:";

} // namespace

std::size_t peakMemoryOf(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (status >> word) {
        std::size_t kilobytes = 0;
        if (word == peakField && status >> kilobytes)
            return kilobytes * bytesPerKilobyte;
    }
    return 0;
}

std::size_t descriptorsOf(pid_t process)
{
    std::error_code ended;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(process) + "/fd",
                                                      ended);
    std::size_t count = 0;
    for (auto entry = begin(entries); !ended && entry != end(entries); entry.increment(ended))
        ++count;
    return count;
}

} // namespace yuccascale::processes
