#include "yuccascale/cli/command_line.hpp"

#include "yuccascale/cli/flags.hpp"
#include "yuccascale/cli/key_commands.hpp"
#include "yuccascale/cli/local_commands.hpp"
#include "yuccascale/cli/node_command.hpp"
#include "yuccascale/cli/output.hpp"
#include "yuccascale/cli/report_commands.hpp"
#include "yuccascale/cli/table_commands.hpp"
#include "yuccascale/kernel/text_distance.hpp"

#include <algorithm>
#include <array>
#include <iostream>

namespace yuccascale::cli {

using kernel::error_kind;
using kernel::fail;
using kernel::result;

namespace {

constexpr std::array<command, 19> commands{{
        {"node", "", "", "runs a node on this VM", "yuccascale node --settings=node.yaml", runNode},
        {"route", "list", "", "lists the routes", "yuccascale route list --output=json",
         listRoutes},
        {"route", "put", "FILE", "adds or replaces the routes of a YAML file",
         "yuccascale route put briefing.yaml --from-revision=7", putRoutes},
        {"route", "remove", "NAME", "removes a route", "yuccascale route remove briefing",
         removeRoute},
        {"pool", "list", "", "lists the pools", "yuccascale pool list", listPools},
        {"pool", "put", "FILE", "adds or replaces the pools of a YAML file",
         "yuccascale pool put engines.yaml", putPools},
        {"pool", "remove", "NAME", "removes a pool", "yuccascale pool remove engines", removePool},
        {"organisation", "list", "", "lists the organisations", "yuccascale organisation list",
         listOrganisations},
        {"organisation", "put", "FILE", "adds or replaces the organisations of a YAML file",
         "yuccascale organisation put organisations.yaml", putOrganisations},
        {"organisation", "remove", "NAME", "removes an organisation",
         "yuccascale organisation remove albany", removeOrganisation},
        {"key", "create", "ORGANISATION ID", "creates a key and shows it once",
         "yuccascale key create albany albany-1", createKey},
        {"key", "list", "", "lists the ids of the keys", "yuccascale key list", listKeys},
        {"key", "withdraw", "ID", "withdraws a key", "yuccascale key withdraw albany-1",
         withdrawKey},
        {"status", "", "", "shows the leader, the degraded states and their remedies",
         "yuccascale status", showStatus},
        {"explain", "", "ID", "shows the events and decisions for a request, role change or order",
         "yuccascale explain req-42", explainId},
        {"wait", "", "", "waits until a revision is in force at every --address",
         "yuccascale wait --revision=8 --timeout=6s", waitForRevision},
        {"events", "", "", "prints the catalogue of log events",
         "yuccascale events --output=markdown", printEvents},
        {"settings", "check", "FILE", "checks a node's settings file",
         "yuccascale settings check node.yaml", checkSettings},
        {"version", "", "", "prints the version", "yuccascale version", printVersion},
}};

std::string commandName(const command &definition)
{
    std::string name(definition.group);
    if (!definition.action.empty())
        name += " " + std::string(definition.action);
    return name;
}

void printCommand(const command &definition)
{
    std::cout << "  yuccascale " << commandName(definition);
    if (!definition.arguments.empty())
        std::cout << " " << definition.arguments;
    std::cout << "\n      " << definition.summary << "\n      example: " << definition.example
              << "\n";
}

/// Prints the commands of \a group, or all commands when it is empty.
void printHelp(std::string_view group)
{
    std::cout << "usage:\n";
    for (const command &definition : commands) {
        if (group.empty() || definition.group == group)
            printCommand(definition);
    }
    std::cout << "flags: --address=IP:port[,IP:port] --operator-key-file=FILE "
                 "--output=json|table --timeout=10s --from-revision=N --revision=N --help\n"
                 "exit codes: 0 success, 1 failure, 2 invalid usage, 3 conflict, 4 no node could "
                 "run the command\n";
}

boost::leaf::error_id unknownWord(const std::string &word, const std::vector<std::string> &known)
{
    return fail(error_kind::InvalidArgument, "command line",
                "unknown word '" + word + "'; did you mean '" + kernel::nearestWord(word, known)
                        + "'?");
}

result<const command *> findCommand(command_arguments words)
{
    std::vector<std::string> groups;
    std::vector<std::string> actions;
    for (const command &definition : commands) {
        groups.emplace_back(definition.group);
        if (definition.group != words[0])
            continue;
        if (definition.action.empty() || (words.size() > 1 && definition.action == words[1]))
            return &definition;
        actions.emplace_back(definition.action);
    }
    if (actions.empty())
        return unknownWord(words[0], groups);
    if (words.size() > 1)
        return unknownWord(words[1], actions);
    return fail(error_kind::InvalidArgument, "command line",
                "'" + words[0] + "' needs a second word; see 'yuccascale " + words[0] + " --help'");
}

result<void> runCommand(const std::vector<std::string> &arguments)
{
    BOOST_LEAF_AUTO(words, parseFlags(arguments));
    const bool helpRequested = FLAGS_help || (!words.empty() && words[0] == "help");
    if (helpRequested || words.empty()) {
        printHelp(words.empty() || words[0] == "help" ? "" : words[0]);
        if (helpRequested)
            return {};
        return fail(error_kind::InvalidArgument, "command line",
                    "no command given; add one of the commands above");
    }
    BOOST_LEAF_AUTO(definition, findCommand(words));
    const command_arguments commandArguments
            = command_arguments(words).subspan(definition->action.empty() ? 1 : 2);
    if (commandArguments.size() != argumentCount(*definition))
        return fail(error_kind::InvalidArgument, "command line",
                    "expected 'yuccascale " + commandName(*definition) + " "
                            + std::string(definition->arguments)
                            + "'; example: " + std::string(definition->example));
    return definition->run(commandArguments);
}

} // namespace

std::size_t argumentCount(const command &definition)
{
    if (definition.arguments.empty())
        return 0;
    return static_cast<std::size_t>(std::ranges::count(definition.arguments, ' ')) + 1;
}

int runCommandLine(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    kernel::error problem;
    if (kernel::succeeded([&] { return runCommand(arguments); }, problem))
        return Success;
    return reportError(problem);
}

} // namespace yuccascale::cli
