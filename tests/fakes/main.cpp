#include "fakes/load.hpp"
#include "fakes/standin.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <thread>

/// \file
/// \brief yuccascale-standin: stand-ins for the outside systems of yuccascale.

DEFINE_string(name, "", "name of the stand-in");
DEFINE_int32(port, 0, "port on 127.0.0.1; 0 lets the system choose");
DEFINE_string(options, "{}", "further settings as a JSON object");
DEFINE_string(history, "", "file to which the events of the stand-in are appended as JSON lines");

namespace yuccascale::fakes {

namespace {

constexpr const char *usageText
        = "yuccascale-standin KIND [--name=N] [--port=P] [--options=JSON] [--history=FILE]\n"
          "yuccascale-standin all FILE [--history=FILE]\n"
          "yuccascale-standin load PLAN [--history=FILE]\n"
          "FILE holds [{\"kind\":\"engine\",\"name\":..,\"port\":..}, ...]\n"
          "example: yuccascale-standin engine --name=e1 --port=8101 "
          "--options='{\"role\":\"decode\"}'";

/// Serves until SIGTERM or SIGINT.
int serve(const kernel::json &rows)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    static const history eventHistory(FLAGS_history);
    std::vector<std::unique_ptr<standin>> standins;
    for (const kernel::json &row : rows) {
        standins.push_back(makeStandin(row.at("kind"), row, eventHistory));
        if (!standins.back()) {
            std::cerr << "unknown stand-in kind " << row.at("kind") << "\n" << usageText << "\n";
            return 2;
        }
    }
    std::cout << "ready" << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    std::_Exit(0); // skips joining the threads of open streams
}

kernel::json singleStandin(const std::string &kind)
{
    kernel::json row = kernel::json::parse(FLAGS_options);
    row["kind"] = kind;
    row["port"] = FLAGS_port;
    row["name"] = FLAGS_name.empty() ? kind : FLAGS_name;
    return kernel::json::array({row});
}

int run(int argc, char **argv)
{
    gflags::SetUsageMessage(usageText);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc == 3 && std::string(argv[1]) == "all") {
        std::ifstream file(argv[2]);
        return serve(kernel::json::parse(file));
    }
    if (argc == 3 && std::string(argv[1]) == "load") {
        std::ifstream file(argv[2]);
        return runLoad(kernel::json::parse(file).get<load_plan>(), FLAGS_history);
    }
    if (argc == 2)
        return serve(singleStandin(argv[1]));
    std::cerr << usageText << "\n";
    return 2;
}

} // namespace

} // namespace yuccascale::fakes

int main(int argc, char **argv)
{
    try {
        return yuccascale::fakes::run(argc, argv);
    } catch (const std::exception &problem) {
        std::cerr << "yuccascale-standin: " << problem.what() << "\n";
        return 1;
    }
}
