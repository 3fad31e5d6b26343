#include "yuccascale/cli/node_command.hpp"

#include "yuccascale/runtime/node.hpp"
#include "yuccascale/runtime/process_memory.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>

DEFINE_string(settings, "", "settings file of the node");

namespace yuccascale::cli {

namespace {

/// The value of --settings, or that of the environment variable when the flag is not set.
std::string settingsFile()
{
    if (!FLAGS_settings.empty())
        return FLAGS_settings;
    const char *fromEnvironment = std::getenv("YUCCASCALE_SETTINGS");
    return fromEnvironment == nullptr ? std::string() : fromEnvironment;
}

/// Holds the signals that the node handles back, or lets those that were held back through.
/// \param how SIG_BLOCK or SIG_UNBLOCK
void maskSignals(int how)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(how, &set, nullptr);
}

} // namespace

kernel::result<void> runNode(command_arguments)
{
    runtime::returnFreedMemory();
    const std::string file = settingsFile();
    if (file.empty()) {
        return kernel::fail(kernel::error_kind::InvalidArgument, "--settings",
                            "no settings file given; add --settings=node.yaml");
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN); // the write that is refused says so
    maskSignals(SIG_BLOCK);
    BOOST_LEAF_AUTO(settings, runtime::readSettings(file));
    runtime::node node(settings);
    BOOST_LEAF_CHECK(node.start());
    node.handleSignals();
    maskSignals(SIG_UNBLOCK);
    node.waitUntilDrained();
    return {};
}

} // namespace yuccascale::cli
