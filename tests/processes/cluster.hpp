#pragma once

#include "fakes/http_client.hpp"
#include "processes/child_process.hpp"
#include "processes/endpoint_relay.hpp"
#include "processes/relay.hpp"
#include "yuccascale/kernel/json.hpp"

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Starts real nodes and stand-ins of the outside systems on free loopback ports.

namespace yuccascale::processes {

using kernel::json;
using kernel::milliseconds;

/// \brief Calls \a condition until it holds or \a timeout has passed.
/// \returns whether it held.
[[nodiscard]] bool waitUntil(milliseconds timeout, const std::function<bool()> &condition);

/// \brief Size and configuration of a cluster.
struct cluster_options
{
    int nodes = 4; ///< the first three have the control role
    int engines = 3;
    json engineOptions = json::object();  ///< for every engine stand-in
    json serviceOptions = json::object(); ///< for the plain service stand-in
    std::string usageWindow = "60s";
    std::string shutdownLimit;    ///< setting promises.shutdown; empty: not set
    std::string tablePropagation; ///< setting promises.table_propagation; empty: not set
    std::string http;             ///< further fields of the setting http, in YAML; may be empty
    std::string control;          ///< fields of the setting control, in YAML; may be empty
    std::string addressTtl = "1s";
    std::string routeDeadline = "30s"; ///< of both routes
    bool relayLastNode = false;  ///< puts relays on the last node's links, see setLastNodeCut()
    bool relayEndpoints = false; ///< puts a relay before each endpoint, see cutFromEndpoints()
};

/// \brief Result of a command-line command.
struct command_answer
{
    int exitCode = -1;
    json document; ///< its output parsed as JSON
    std::string text;
};

/// \brief Starts nodes and stand-ins and creates the routes "chat" and "tickets", the organisation
///        "albany" and its key. The destructor ends all started processes.
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

    /// \returns the outcome of each settings reload of node \a node, oldest first.
    [[nodiscard]] std::vector<std::string> reloadOutcomes(std::size_t node) const;

    /// \returns how often node \a node recorded the event \a name.
    [[nodiscard]] std::size_t eventCount(std::size_t node, std::string_view name) const;

    /// \returns the index of the leader reported by node \a queriedNode; size() if none is reported
    ///          within readyTimeout.
    [[nodiscard]] std::size_t leader(std::size_t queriedNode) const;

    void startNode(std::size_t node);
    [[nodiscard]] bool isReady(std::size_t node) const;
    [[nodiscard]] bool waitReady(std::size_t node) const;
    [[nodiscard]] bool waitAllReady() const;

    [[nodiscard]] std::filesystem::path dataFolder(std::size_t node) const
    {
        return m_folder / ("data-" + m_nodes.at(node).name);
    }

    /// \brief Deletes the contents of a node's data folder, as after a disk replacement.
    void eraseData(std::size_t node) const;

    /// \brief Drops or forwards the bytes between the last node and all others.
    void setLastNodeCut(bool enabled);

    /// \brief Calls \a action for each relay between the last node and the others.
    void forEachRelay(const std::function<void(relay &)> &action) const;

    /// \brief Applies \a fault to what \a nodes send to and receive from every endpoint.
    void cutFromEndpoints(const std::set<std::size_t> &nodes, endpoint_fault fault) const;

    /// \brief Ends the faults of cutFromEndpoints().
    void rejoinEndpoints() const;

    /// \returns the results of the load program, one object per request.
    [[nodiscard]] std::vector<json> loadResults() const;

    /// \brief Runs a command-line command against \a nodes; against all nodes if empty.
    [[nodiscard]] command_answer command(std::vector<std::string> words,
                                         const std::vector<std::size_t> &nodes = {}) const;

    /// \brief Writes \a rows to a file and puts them into \a table.
    [[nodiscard]] command_answer put(const std::string &table, const json &rows,
                                     const std::vector<std::size_t> &nodes = {}) const;

    /// \returns a chat call for node \a node with the organisation's key.
    [[nodiscard]] fakes::http_call chat(std::size_t node, const std::string &id,
                                        const std::string &prompt, int outputTokens,
                                        const std::string &route = "chat") const;

    /// \returns a ticket call for node \a node with the organisation's key.
    [[nodiscard]] fakes::http_call ticket(std::size_t node,
                                          const std::string &idempotencyKey) const;

    /// \returns the recorded events of type \a event of the stand-ins \a name, which is "engines",
    ///          "services" or "platform".
    [[nodiscard]] std::vector<json> history(const std::string &name,
                                            const std::string &event) const;

    /// \returns all recorded events of the stand-ins \a name.
    [[nodiscard]] std::vector<json> history(const std::string &name) const;

    /// \brief Starts the load program with \a plan, to which addresses, key and routes are added.
    [[nodiscard]] std::unique_ptr<child_process> startLoad(json plan) const;

    /// \returns the number of requests with each outcome in the load program's results.
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
    [[nodiscard]] std::string endpointAddress(int port);
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
    std::vector<std::unique_ptr<endpoint_relay>> m_endpointRelays;
    std::vector<std::unique_ptr<child_process>> m_standins;
    std::string m_key;
};

} // namespace yuccascale::processes
