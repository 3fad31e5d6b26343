#include "yuccascale/cli/command_line.hpp"

#include "yuccascale/runtime/settings.hpp"

#include <iostream>
#include <string_view>

namespace yuccascale::cli {

namespace {

int checkSettings(const std::string &file)
{
    kernel::error problem;
    if (kernel::succeeded([&] { return runtime::readSettings(file); }, problem)) {
        std::cout << file << ": good\n";
        return Success;
    }
    std::cerr << problem.message << "\n";
    return Usage;
}

} // namespace

int runCommandLine(int argc, char **argv)
{
    if (argc == 4 && std::string_view(argv[1]) == "settings"
        && std::string_view(argv[2]) == "check")
        return checkSettings(argv[3]);
    std::cerr << "usage: yuccascale settings check FILE\n";
    return Usage;
}

} // namespace yuccascale::cli
