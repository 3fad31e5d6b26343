#pragma once

#include "fakes/http_client.hpp"
#include "processes/child_process.hpp"
#include "processes/relay.hpp"
#include "yuccascale/kernel/json.hpp"

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief Real nodes and stand-ins on free ports of the loopback address.

namespace yuccascale::processes {

using kernel::json;
using kernel::milliseconds;

/// \brief Calls \a condition until it holds or \a timeout has passed.
/// \returns whether it held.
[[nodiscard]] bool waitUntil(milliseconds timeout, const std::function<bool()> &condition);

/// \brief What a cluster is made of.
struct cluster_options
{
    int nodes = 4; ///< the first three have the control role
    int engines = 3;
    json engineOptions = json::object();  ///< for every engine stand-in
    json serviceOptions = json::object(); ///< for the plain service stand-in
    std::string usageWindow = "60s";
    std::string
            shutdownLimit; ///< time within which a node that was told to end is gone; empty: none
    bool relayLastNode = false; ///< the last node's links pass through relays, see setLastNodeCut()
};

/// \brief Answer of a command of the command line.
struct command_answer
{
    int exitCode = -1;
    json document; ///< what it printed as JSON
    std::string text;
};

/// \brief Starts everything, makes a route "chat", a route "tickets", an organisation "albany" and
///        its key; ends every process that it started.
class cluster
{
public:
    static constexpr milliseconds readyTimeout{20'000};

    explicit cluster(const cluster_options &options);
    ~cluster();
    cluster(const cluster &) = delete;
    cluster &operator=(const cluster &) = delete;

    [[nodiscard]] std::size_t size() const noexcept { return m_nodes.size(); }
    [[nodiscard]] const std::string &callerAddress(std::size_t node) const;
    [[nodiscard]] child_process &nodeProcess(std::size_t node) const;
    [[nodiscard]] const std::string &key() const noexcept { return m_key; }
    [[nodiscard]] const std::filesystem::path &folder() const noexcept { return m_folder; }
    [[nodiscard]] std::filesystem::path settingsFile(std::size_t node) const;

    /// \returns the outcomes of the settings that node \a node read again, oldest first.
    [[nodiscard]] std::vector<std::string> reloadOutcomes(std::size_t node) const;

    /// \returns the index of the leading node, as node \a queriedNode knows it.
    [[nodiscard]] std::size_t leader(std::size_t queriedNode) const;

    void startNode(std::size_t node);
    [[nodiscard]] bool isReady(std::size_t node) const;
    [[nodiscard]] bool waitReady(std::size_t node) const;
    [[nodiscard]] bool waitAllReady() const;

    /// \brief Empties a node's data folder, as a replaced disk would be.
    void eraseData(std::size_t node) const;

    /// \brief Swallows or passes the bytes between the last node and all others.
    void setLastNodeCut(bool enabled);

    /// \brief Does something to each relay between the last node and the others.
    void forEachRelay(const std::function<void(relay &)> &action) const;

    /// \returns the load program's results, one object a request.
    [[nodiscard]] std::vector<json> loadResults() const;

    /// \brief Runs a command of the command line against \a nodes; all when empty.
    [[nodiscard]] command_answer command(std::vector<std::string> words,
                                         const std::vector<std::size_t> &nodes = {}) const;

    /// \brief Writes \a rows to a file and puts them into \a table.
    [[nodiscard]] command_answer put(const std::string &table, const json &rows,
                                     const std::vector<std::size_t> &nodes = {}) const;

    /// \returns a chat call for node \a node with the organisation's key.
    [[nodiscard]] fakes::http_call chat(std::size_t node, const std::string &id,
                                        const std::string &prompt, int outputTokens) const;

    /// \returns a ticket call for node \a node with the organisation's key.
    [[nodiscard]] fakes::http_call ticket(std::size_t node,
                                          const std::string &idempotencyKey) const;

    /// \returns the events of the stand-ins, by name "engines", "services" or "platform".
    [[nodiscard]] std::vector<json> history(const std::string &name,
                                            const std::string &event) const;

    /// \brief Starts the load program with \a plan; addresses, key and routes are filled in.
    [[nodiscard]] std::unique_ptr<child_process> startLoad(json plan) const;

    /// \returns how often each outcome stands in the load program's results.
    [[nodiscard]] std::map<std::string, int> loadOutcomes() const;

private:
    struct node_parts
    {
        std::string name;
        std::string linkAddress;
        std::string callerAddress;
        bool control = false;
        std::unique_ptr<child_process> process;
    };

    void startAllStandins();
    void startStandinProcess(const std::string &name, const json &rows);
    void startRelays();
    [[nodiscard]] std::string seedList() const;
    [[nodiscard]] std::string linkRoutes(std::size_t node) const;
    void writeSettings(std::size_t node) const;
    void createTables();
    [[nodiscard]] std::string linkAddressFrom(std::size_t node, std::size_t other) const;

    cluster_options m_options;
    std::filesystem::path m_folder;
    std::vector<node_parts> m_nodes;
    std::vector<int> m_enginePorts;
    int m_servicePort = 0;
    std::map<std::string, int> m_platformPorts;
    std::map<std::string, std::string> m_relayAddresses; ///< by "from>to"
    std::vector<std::unique_ptr<relay>> m_relays;
    std::vector<std::unique_ptr<child_process>> m_standins;
    std::string m_key;
};

} // namespace yuccascale::processes
