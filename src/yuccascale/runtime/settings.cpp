#include "yuccascale/runtime/settings.hpp"

#include "yuccascale/runtime/yaml_reader.hpp"

#include <sys/stat.h>
#include <unistd.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>

namespace yuccascale::runtime {

using kernel::error_kind;
using kernel::fail;
using kernel::result;

namespace {

void readRoles(yaml_reader &node, node_roles &roles)
{
    for (const std::string &role : node.texts("roles")) {
        if (role == "entry")
            roles.entry = true;
        else if (role == "control")
            roles.control = true;
        else
            node.problem("roles", "unknown role '" + role + "'; use entry or control");
    }
}

node_settings readNode(yaml_reader &node)
{
    node_settings out;
    out.name = node.required("name");
    out.zone = node.required("zone");
    out.linkAddress = node.address("link", true);
    out.callerAddress = node.address("callers", true);
    readRoles(node, out.roles);
    node.refuseUnknown();
    return out;
}

void readLog(yaml_reader node, log_settings &log)
{
    node.choose("format",
                {{"text", [&] { log.json = false; }}, {"json", [&] { log.json = true; }}});
    node.choose("level",
                {{"debug", [&] { log.level = kernel::severity::Debug; }},
                 {"info", [&] { log.level = kernel::severity::Info; }},
                 {"warning", [&] { log.level = kernel::severity::Warning; }},
                 {"error", [&] { log.level = kernel::severity::Error; }}});
    node.text("file", log.file);
    node.refuseUnknown();
}

void readHttp(yaml_reader node, http_settings &http)
{
    node.bytes("max_body", http.maxBodyBytes);
    node.duration("read_timeout", http.readTimeout);
    node.duration("write_timeout", http.writeTimeout);
    node.duration("address_ttl", http.addressTtl);
    node.count("threads", http.threads);
    node.refuseUnknown();
}

void readControl(yaml_reader node, control_settings &control)
{
    node.duration("heartbeat", control.heartbeat);
    node.duration("election_timeout", control.electionTimeout);
    node.duration("lease", control.lease);
    node.duration("freshness", control.freshness);
    node.duration("feed_interval", control.feedInterval);
    node.duration("order_life", control.orderLife);
    node.count("snapshot_entries", control.snapshotEntries);
    node.refuseUnknown();
    if (control.heartbeat * 3 > control.electionTimeout)
        node.problem("heartbeat", "must be at most a third of election_timeout; lower it");
    if (control.feedInterval * 3 > control.freshness)
        node.problem("feed_interval", "must be at most a third of freshness; lower it");
}

void readPlatform(yaml_reader node, platform_settings &platform)
{
    platform.endpointOrders = node.address("endpoint_orders", false);
    platform.usageReports = node.address("usage_reports", false);
    platform.weightStore = node.address("weight_store", false);
    platform.vmList = node.address("vm_list", false);
    node.duration("usage_window", platform.usageWindow);
    node.refuseUnknown();
}

void readPolicy(yaml_reader node, policy_settings &policy)
{
    node.text("routing", policy.routing);
    node.text("admission", policy.admission);
    node.text("fairness", policy.fairness);
    node.text("roles", policy.roles);
    node.text("placement", policy.placement);
    node.refuseUnknown();
}

void checkNames(yaml_reader &root, const settings &out)
{
    std::set<std::string> names;
    std::set<std::string> addresses;
    for (const node_settings &node : out.nodes) {
        if (!names.insert(node.name).second)
            root.problem("nodes", "two nodes are named '" + node.name + "'; rename one");
        for (const std::string &address : {node.linkAddress, node.callerAddress}) {
            if (!address.empty() && !addresses.insert(address).second)
                root.problem("nodes", "address " + address + " stands twice; change one");
        }
    }
    if (!names.contains(out.node))
        root.problem("node", "'" + out.node + "' is not listed under nodes; add it there");
}

void checkControlQuorum(yaml_reader &root, const settings &out)
{
    const auto voters = std::ranges::count_if(
            out.nodes, [](const node_settings &node) { return node.roles.control; });
    if (voters != 1 && voters != 3 && voters != 5)
        root.problem("nodes",
                     "give the control role to 1, 3 or 5 nodes, not " + std::to_string(voters));
}

void checkDataFolder(yaml_reader &root, const settings &out)
{
    const auto own = std::ranges::find(out.nodes, out.node, &node_settings::name);
    if (own == out.nodes.end() || !own->roles.control)
        return;
    if (out.dataFolder.empty())
        root.problem("data_folder", "a control node needs one; name a folder on its disk");
    else if (::access(out.dataFolder.c_str(), W_OK | X_OK) != 0)
        root.problem(
                "data_folder",
                "'" + out.dataFolder
                        + "' is not a writable folder; create it and give this user write access");
}

void checkSecret(yaml_reader &root, std::string_view field, const std::string &file)
{
    if (file.empty())
        return;
    kernel::error problem;
    if (!kernel::succeeded([&] { return readSecret(file); }, problem))
        root.problem(field, problem.message);
}

settings readAll(yaml_reader &root)
{
    settings out;
    out.node = root.required("node");
    out.secretFile = root.required("cluster_secret");
    out.operatorKeyFile = root.required("operator_key");
    root.text("data_folder", out.dataFolder);
    for (yaml_reader &node : root.list("nodes"))
        out.nodes.push_back(readNode(node));
    readLog(root.child("log"), out.log);
    readHttp(root.child("http"), out.http);
    readControl(root.child("control"), out.control);
    readPlatform(root.child("platform"), out.platform);
    readPolicy(root.child("policy"), out.policy);
    root.refuseUnknown();
    checkNames(root, out);
    checkControlQuorum(root, out);
    checkDataFolder(root, out);
    checkSecret(root, "cluster_secret", out.secretFile);
    checkSecret(root, "operator_key", out.operatorKeyFile);
    return out;
}

} // namespace

const node_settings &settings::self() const
{
    return *std::ranges::find(nodes, node, &node_settings::name);
}

result<settings> readSettings(const std::string &file)
{
    YAML::Node document;
    try {
        document = YAML::LoadFile(file);
    } catch (const YAML::BadFile &) {
        return fail(error_kind::NotFound, file, "cannot read the settings file; check its path");
    } catch (const YAML::Exception &problem) {
        return fail(error_kind::InvalidArgument, file + ":" + std::to_string(problem.mark.line + 1),
                    problem.msg + "; correct the YAML");
    }
    std::vector<std::string> problems;
    yaml_reader root(file, document, problems);
    settings out = readAll(root);
    out.file = file;
    if (problems.empty())
        return out;
    std::string all;
    for (const std::string &problem : problems)
        all += (all.empty() ? "" : "\n") + problem;
    return fail(error_kind::InvalidArgument, file, all);
}

result<std::string> readSecret(const std::string &file)
{
    struct stat facts
    { };
    if (::stat(file.c_str(), &facts) != 0)
        return fail(error_kind::NotFound, file,
                    "'" + file + "' cannot be read; create it with mode 0600");
    if ((facts.st_mode & (S_IRWXG | S_IRWXO)) != 0)
        return fail(error_kind::Forbidden, file,
                    "'" + file + "' is open to others; run chmod 600 on it");
    std::ifstream stream(file, std::ios::binary);
    std::string secret{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r'))
        secret.pop_back();
    constexpr std::size_t minSecretBytes = 16;
    if (secret.size() < minSecretBytes)
        return fail(error_kind::InvalidArgument, file,
                    "'" + file + "' holds fewer than 16 bytes; make it longer");
    return secret;
}

} // namespace yuccascale::runtime
