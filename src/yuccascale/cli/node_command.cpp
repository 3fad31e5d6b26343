#include "yuccascale/cli/node_command.hpp"

#include "yuccascale/runtime/node.hpp"
#include "yuccascale/runtime/process_memory.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <thread>

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

/// Blocks the signals that the node handles, so that one thread can wait for them.
sigset_t blockSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    return set;
}

/// Starts a thread that begins a graceful shutdown on SIGTERM and SIGINT and reads the settings
/// again on SIGHUP, until the process ends.
void handleSignals(const sigset_t &set, const std::shared_ptr<runtime::node> &node)
{
    std::thread([set, node] {
        int signalNumber = 0;
        while (sigwait(&set, &signalNumber) == 0) {
            if (signalNumber == SIGHUP)
                node->reload();
            else
                node->beginShutdown();
        }
    }).detach();
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
    const sigset_t signals = blockSignals();
    BOOST_LEAF_AUTO(settings, runtime::readSettings(file));
    const auto node = std::make_shared<runtime::node>(settings);
    BOOST_LEAF_CHECK(node->start());
    handleSignals(signals, node);
    node->waitUntilDrained();
    return {};
}

} // namespace yuccascale::cli
