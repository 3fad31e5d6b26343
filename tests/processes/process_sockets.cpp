#include "processes/process_sockets.hpp"

#include <charconv>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>

namespace yuccascale::processes {

namespace fs = std::filesystem;

namespace {

constexpr int hexadecimal = 16;
constexpr std::string_view socketLinkPrefix = "socket:[";

/// One line of /proc/net/tcp.
struct tcp_entry
{
    std::uint16_t localPort = 0;
    std::uint16_t remotePort = 0;
    std::string inode;
};

/// \returns the port of "0100007F:1F90".
std::uint16_t portOf(std::string_view text)
{
    std::uint16_t port = 0;
    text.remove_prefix(text.find(':') + 1);
    std::from_chars(text.data(), text.data() + text.size(), port, hexadecimal);
    return port;
}

tcp_entry parseEntry(const std::string &line)
{
    std::istringstream fields(line);
    std::string local;
    std::string remote;
    std::string ignored;
    tcp_entry entry;
    fields >> ignored >> local >> remote >> ignored >> ignored >> ignored >> ignored >> ignored
            >> ignored >> entry.inode;
    entry.localPort = portOf(local);
    entry.remotePort = portOf(remote);
    return entry;
}

/// \returns the inodes of the sockets that a process holds.
std::set<std::string> socketsOf(pid_t process)
{
    std::set<std::string> inodes;
    std::error_code ended;
    const fs::path folder = "/proc/" + std::to_string(process) + "/fd";
    for (const fs::directory_entry &descriptor : fs::directory_iterator(folder, ended)) {
        const std::string target = fs::read_symlink(descriptor.path(), ended).string();
        if (target.starts_with(socketLinkPrefix))
            inodes.insert(target.substr(socketLinkPrefix.size(),
                                        target.size() - socketLinkPrefix.size() - 1));
    }
    return inodes;
}

} // namespace

std::set<std::uint16_t> localPortsTo(std::uint16_t remotePort, const std::set<pid_t> &processes)
{
    std::set<std::string> inodes;
    for (const pid_t process : processes)
        inodes.merge(socketsOf(process));
    std::set<std::uint16_t> ports;
    std::ifstream file("/proc/net/tcp");
    std::string line;
    std::getline(file, line); // the names of the columns
    while (std::getline(file, line)) {
        const tcp_entry entry = parseEntry(line);
        if (entry.remotePort == remotePort && inodes.contains(entry.inode))
            ports.insert(entry.localPort);
    }
    return ports;
}

} // namespace yuccascale::processes
