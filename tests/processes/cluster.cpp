#include "processes/cluster.hpp"

#include "fakes/free_port.hpp"
#include "processes/program.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace yuccascale::processes {

namespace fs = std::filesystem;

namespace {

constexpr milliseconds commandTimeout{30'000};
constexpr milliseconds pollInterval{20};
constexpr std::array<const char *, 3> zones{"perth-a", "perth-b", "bunbury"};
const std::string binaryFolder = YUCCASCALE_BINARY_DIR;

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

void writeFile(const fs::path &file, const std::string &text)
{
    std::ofstream(file) << text;
    fs::permissions(file, fs::perms(0600));
}

std::string readFile(const fs::path &file)
{
    std::ifstream stream(file);
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

std::vector<json> readLines(const fs::path &file)
{
    std::vector<json> out;
    std::istringstream lines(readFile(file));
    for (std::string line; std::getline(lines, line);) {
        json document = json::parse(line, nullptr, false);
        if (!document.is_discarded())
            out.push_back(std::move(document));
    }
    return out;
}

fs::path newFolder()
{
    static std::atomic<int> number{0};
    fs::path folder = fs::temp_directory_path()
            / ("yuccascale-cluster-" + std::to_string(::getpid()) + "-" + std::to_string(number++));
    fs::create_directories(folder);
    return folder;
}

} // namespace

bool waitUntil(milliseconds timeout, const std::function<bool()> &condition)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= until)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

cluster::cluster(const cluster_options &options)
    : m_options(options)
    , m_folder(newFolder())
    , m_nodes(static_cast<std::size_t>(options.nodes))
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        m_nodes[index].name = "node-" + std::to_string(index + 1);
        m_nodes[index].linkAddress = loopback(fakes::freePort());
        m_nodes[index].callerAddress = loopback(fakes::freePort());
        m_nodes[index].control = index < 3;
    }
    std::generate_n(std::back_inserter(m_enginePorts), options.engines, fakes::freePort);
    m_servicePort = fakes::freePort();
    for (const char *kind : {"endpoints", "usage", "weights", "vms"})
        m_platformPorts[kind] = fakes::freePort();
    for (std::size_t other = 0; options.relayLastNode && other + 1 < m_nodes.size(); ++other) {
        m_relayAddresses[m_nodes[other].name + ">"] = loopback(fakes::freePort());
        m_relayAddresses[">" + m_nodes[other].name] = loopback(fakes::freePort());
    }
    writeFile(m_folder / "secret", "0123456789abcdef0123456789abcdef\n");
    startAllStandins();
    startRelays();
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        fs::create_directories(m_folder / ("data-" + m_nodes[index].name));
        writeSettings(index);
        startNode(index);
    }
    if (!waitAllReady())
        throw std::runtime_error("not all nodes became ready within "
                                 + std::to_string(readyTimeout.count())
                                 + " ms each; see the logs in " + m_folder.string());
    createTables();
}

cluster::~cluster()
{
    m_nodes.clear();
    m_endpointRelays.clear();
    m_standins.clear();
    m_relays.clear();
    if (testing::Test::HasFailure())
        std::cerr << "logs and histories of the failed test are kept in " << m_folder << "\n";
    else
        fs::remove_all(m_folder);
}

const std::string &cluster::callerAddress(std::size_t node) const
{
    return m_nodes.at(node).callerAddress;
}

child_process &cluster::nodeProcess(std::size_t node) const
{
    return *m_nodes.at(node).process;
}

fs::path cluster::settingsFile(std::size_t node) const
{
    return m_folder / (m_nodes.at(node).name + ".yaml");
}

std::vector<std::string> cluster::reloadOutcomes(std::size_t node) const
{
    std::vector<std::string> outcomes;
    std::ifstream file(m_folder / (m_nodes.at(node).name + ".log"));
    for (std::string line; std::getline(file, line);) {
        const json read = json::parse(line, nullptr, false);
        if (read.is_object() && read.value("name", "") == "settings_reloaded")
            outcomes.push_back(read.value("outcome", ""));
    }
    return outcomes;
}

std::size_t cluster::eventCount(std::size_t node, std::string_view name) const
{
    std::size_t count = 0;
    std::ifstream file(m_folder / (m_nodes.at(node).name + ".log"));
    for (std::string line; std::getline(file, line);) {
        const json read = json::parse(line, nullptr, false);
        if (read.is_object() && read.value("name", "") == name)
            ++count;
    }
    return count;
}

void cluster::startStandinProcess(const std::string &name, const json &rows)
{
    writeFile(m_folder / (name + ".json"), rows.dump());
    m_standins.push_back(std::make_unique<child_process>(
            std::vector<std::string>{binaryFolder + "/tests/yuccascale-standin", "all",
                                     m_folder / (name + ".json"),
                                     "--history=" + (m_folder / (name + ".jsonl")).string()},
            m_folder / (name + ".out")));
}

void cluster::startAllStandins()
{
    json engines = json::array();
    for (std::size_t index = 0; index < m_enginePorts.size(); ++index) {
        json row = m_options.engineOptions;
        row["kind"] = "engine";
        row["name"] = "engine-" + std::to_string(index + 1);
        row["port"] = m_enginePorts[index];
        engines.push_back(row);
    }
    startStandinProcess("engines", engines);
    json service = m_options.serviceOptions;
    service["kind"] = "service";
    service["name"] = "service-1";
    service["port"] = m_servicePort;
    startStandinProcess("services", json::array({service}));
    json platform = json::array();
    for (const auto &[kind, port] : m_platformPorts)
        platform.push_back({{"kind", kind}, {"name", kind}, {"port", port}});
    startStandinProcess("platform", platform);
}

void cluster::startRelays()
{
    if (!m_options.relayLastNode)
        return;
    const node_parts &last = m_nodes.back();
    for (std::size_t other = 0; other + 1 < m_nodes.size(); ++other) {
        const node_parts &node = m_nodes[other];
        m_relays.push_back(
                std::make_unique<relay>(m_relayAddresses.at(node.name + ">"), last.linkAddress));
        m_relays.push_back(
                std::make_unique<relay>(m_relayAddresses.at(">" + node.name), node.linkAddress));
    }
}

std::string cluster::linkAddressFrom(std::size_t node, std::size_t other) const
{
    const std::size_t last = m_nodes.size() - 1;
    if (!m_options.relayLastNode || node == other || (node != last && other != last))
        return m_nodes[other].linkAddress;
    return node == last ? m_relayAddresses.at(">" + m_nodes[other].name)
                        : m_relayAddresses.at(m_nodes[node].name + ">");
}

std::string cluster::seedList() const
{
    std::string list;
    for (const node_parts &node : m_nodes) {
        if (node.control)
            list += (list.empty() ? "'" : ", '") + node.linkAddress + "'";
    }
    return list;
}

std::string cluster::linkRoutes(std::size_t node) const
{
    std::string routes;
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
        const std::string seen = linkAddressFrom(node, other);
        if (seen != m_nodes[other].linkAddress)
            routes += (routes.empty() ? "'" : ", '") + m_nodes[other].linkAddress + "': '" + seen
                    + "'";
    }
    return routes;
}

void cluster::writeSettings(std::size_t node) const
{
    const std::string folder = m_folder.string();
    const std::string &name = m_nodes[node].name;
    std::ostringstream text;
    text << "node: " << name << "\ncluster_secret: " << folder
         << "/secret\noperator_key: " << folder << "/secret\n";
    if (m_nodes[node].control)
        text << "data_folder: " << folder << "/data-" << name << "\n";
    text << "zone: " << zones.at(node % zones.size()) << "\nroles: ["
         << (m_nodes[node].control ? "entry, control" : "entry") << "]\nlink: '"
         << m_nodes[node].linkAddress << "'\ncallers: '" << m_nodes[node].callerAddress
         << "'\nfirst_start: true\nseeds: [" << seedList() << "]\nlink_routes: {"
         << linkRoutes(node) << "}\n";
    text << "http: {address_ttl: " << m_options.addressTtl
         << (m_options.http.empty() ? "" : ", " + m_options.http)
         << "}\nlog: {format: json, file: '" << folder << "/" << name
         << ".log'}\nplatform:\n  endpoint_orders: " << loopback(m_platformPorts.at("endpoints"))
         << "\n  usage_reports: " << loopback(m_platformPorts.at("usage"))
         << "\n  weight_store: " << loopback(m_platformPorts.at("weights"))
         << "\n  vm_list: " << loopback(m_platformPorts.at("vms"))
         << "\n  usage_window: " << m_options.usageWindow << "\n";
    if (!m_options.control.empty())
        text << "control: {" << m_options.control << "}\n";
    text << "promises:\n  retry_share: 0.2\n";
    if (!m_options.shutdownLimit.empty())
        text << "  shutdown: " << m_options.shutdownLimit << "\n";
    if (!m_options.tablePropagation.empty())
        text << "  table_propagation: " << m_options.tablePropagation << "\n";
    writeFile(m_folder / (name + ".yaml"), text.str());
}

void cluster::startNode(std::size_t node)
{
    const std::string &name = m_nodes.at(node).name;
    m_nodes[node].process = std::make_unique<child_process>(
            std::vector<std::string>{programUnderTest(), "node",
                                     "--settings=" + (m_folder / (name + ".yaml")).string()},
            m_folder / (name + ".out"));
}

bool cluster::isReady(std::size_t node) const
{
    fakes::http_call call;
    call.address = callerAddress(node);
    call.path = "/ready";
    call.timeoutMs = 500;
    return fakes::callHttp(call).status == 200;
}

bool cluster::waitReady(std::size_t node) const
{
    return waitUntil(readyTimeout, [&] { return isReady(node); });
}

bool cluster::waitAllReady() const
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        if (!waitReady(index))
            return false;
    }
    return true;
}

void cluster::eraseData(std::size_t node) const
{
    const fs::path data = dataFolder(node);
    fs::remove_all(data);
    fs::create_directories(data);
}

void cluster::setLastNodeCut(bool enabled)
{
    for (const auto &one : m_relays)
        one->setCut(enabled);
}

std::size_t cluster::leader(std::size_t queriedNode) const
{
    std::size_t found = m_nodes.size();
    (void)waitUntil(readyTimeout, [&] {
        const json status = command({"status"}, {queriedNode}).document;
        const std::string name = status.is_object() ? status.value("leader", "") : "";
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            if (m_nodes[index].name == name)
                found = index;
        }
        return found < m_nodes.size();
    });
    return found;
}

command_answer cluster::command(std::vector<std::string> words,
                                const std::vector<std::size_t> &nodes) const
{
    static std::atomic<int> number{0};
    const fs::path output = m_folder / ("command-" + std::to_string(number++) + ".out");
    std::string addresses;
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        if (nodes.empty() || std::ranges::find(nodes, index) != nodes.end())
            addresses += (addresses.empty() ? "" : ",") + m_nodes[index].callerAddress;
    }
    words.insert(words.begin(), programUnderTest());
    words.push_back("--address=" + addresses);
    words.push_back("--operator-key-file=" + (m_folder / "secret").string());
    words.emplace_back("--output=json");
    child_process process(words, output);
    command_answer answer;
    if (process.waitForExit(commandTimeout))
        answer.exitCode = process.exitCode();
    answer.text = readFile(output);
    answer.document = json::parse(answer.text, nullptr, false);
    return answer;
}

command_answer cluster::put(const std::string &table, const json &rows,
                            const std::vector<std::size_t> &nodes) const
{
    static std::atomic<int> number{0};
    const fs::path file = m_folder / (table + "-" + std::to_string(number++) + ".yaml");
    writeFile(file, rows.dump());
    return command({table, "put", file}, nodes);
}

/// \returns the address at which nodes reach the endpoint on \a port.
std::string cluster::endpointAddress(int port)
{
    if (!m_options.relayEndpoints)
        return loopback(port);
    std::string address = loopback(fakes::freePort());
    m_endpointRelays.push_back(std::make_unique<endpoint_relay>(address, loopback(port)));
    return address;
}

void cluster::cutFromEndpoints(const std::set<std::size_t> &nodes, endpoint_fault fault) const
{
    std::set<pid_t> processes;
    for (const std::size_t node : nodes)
        processes.insert(nodeProcess(node).id());
    for (const std::unique_ptr<endpoint_relay> &one : m_endpointRelays)
        one->setFault(fault, processes);
}

void cluster::rejoinEndpoints() const
{
    cutFromEndpoints({}, endpoint_fault::None);
}

void cluster::createTables()
{
    json engines = json::array();
    for (std::size_t index = 0; index < m_enginePorts.size(); ++index)
        engines.push_back({{"name", "engine-" + std::to_string(index + 1)},
                           {"address", endpointAddress(m_enginePorts[index])},
                           {"zone", zones.at(index % zones.size())},
                           {"slots", "8"}});
    const json service{{"name", "service-1"},
                       {"address", endpointAddress(m_servicePort)},
                       {"zone", zones.front()}};
    const json pools{{{"name", "engines"},
                      {"kind", "model"},
                      {"model", "model"},
                      {"version", "1"},
                      {"endpoints", engines}},
                     {{"name", "services"}, {"kind", "service"}, {"endpoints", {service}}}};
    const json routes{{{"name", "chat"},
                       {"pool", "engines"},
                       {"kind", "model"},
                       {"deadline", m_options.routeDeadline}},
                      {{"name", "tickets"},
                       {"pool", "services"},
                       {"kind", "service"},
                       {"deadline", m_options.routeDeadline},
                       {"idempotent", "false"}}};
    const std::vector<command_answer> answers{put("organisation", json{{"name", "albany"}}),
                                              put("pool", pools), put("route", routes),
                                              command({"key", "create", "albany", "albany-1"})};
    for (const command_answer &answer : answers) {
        if (answer.exitCode != 0)
            throw std::runtime_error("creating the initial tables failed: " + answer.text);
    }
    m_key = answers.back().document.at("key");
    const std::string revision
            = std::to_string(answers.back().document.at("revision").get<std::uint64_t>());
    if (command({"wait", "--revision=" + revision}).exitCode != 0)
        throw std::runtime_error("revision " + revision + " did not come into force on all nodes");
}

fakes::http_call cluster::chat(std::size_t node, const std::string &id, const std::string &prompt,
                               int outputTokens, const std::string &route) const
{
    fakes::http_call call;
    call.address = callerAddress(node);
    call.method = "POST";
    call.path = "/v1/chat/completions";
    call.headers = {{"Authorization", "Bearer " + m_key}, {"X-Request-Id", id}};
    call.body = json{{"model", route},
                     {"stream", true},
                     {"max_tokens", outputTokens},
                     {"messages", {{{"role", "user"}, {"content", prompt}}}}}
                        .dump();
    return call;
}

fakes::http_call cluster::ticket(std::size_t node, const std::string &idempotencyKey) const
{
    fakes::http_call call;
    call.address = callerAddress(node);
    call.method = "POST";
    call.path = "/s/tickets/new";
    call.headers = {{"Authorization", "Bearer " + m_key}, {"Idempotency-Key", idempotencyKey}};
    call.body = R"({"member":"1"})";
    return call;
}

std::vector<json> cluster::history(const std::string &name, const std::string &event) const
{
    std::vector<json> out = history(name);
    std::erase_if(out, [&](const json &line) { return line.value("event", "") != event; });
    return out;
}

std::vector<json> cluster::history(const std::string &name) const
{
    return readLines(m_folder / (name + ".jsonl"));
}

std::unique_ptr<child_process> cluster::startLoad(json plan) const
{
    for (const node_parts &node : m_nodes)
        plan["addresses"].push_back(node.callerAddress);
    plan["modelRoute"] = "chat";
    plan["serviceRoute"] = "tickets";
    for (json &row : plan["organisations"])
        row["key"] = m_key;
    writeFile(m_folder / "load.json", plan.dump());
    return std::make_unique<child_process>(
            std::vector<std::string>{binaryFolder + "/tests/yuccascale-standin", "load",
                                     m_folder / "load.json",
                                     "--history=" + (m_folder / "load.jsonl").string()},
            m_folder / "load.out");
}

void cluster::forEachRelay(const std::function<void(relay &)> &action) const
{
    for (const std::unique_ptr<relay> &one : m_relays)
        action(*one);
}

std::vector<json> cluster::loadResults() const
{
    return readLines(m_folder / "load.jsonl");
}

std::map<std::string, int> cluster::loadOutcomes() const
{
    std::map<std::string, int> out;
    for (const json &line : loadResults())
        ++out[line.value("outcome", "")];
    return out;
}

} // namespace yuccascale::processes
