#include "yuccascale/runtime/settings.hpp"

#include "yuccascale/runtime/yaml_reader.hpp"
#include "yuccascale/wire/socket.hpp"

#include <sys/stat.h>
#include <unistd.h>
#include <yaml-cpp/yaml.h>

#include <fstream>
#include <iterator>

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
    if (!roles.entry && !roles.control)
        node.problem("roles", "missing; give the node the role entry, control or both");
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
    node.rejectUnknownFields();
}

/// With less, the heads of a few dozen requests use it up.
constexpr std::int64_t leastMemoryBytes = 1 << 20;

void readHttp(yaml_reader node, http_settings &http)
{
    node.text("protocol", http.protocol);
    http.readiness = node.address("readiness", false);
    http.directory = node.address("directory", false);
    http.operators = node.address("operators", false);
    http.metrics = node.address("metrics", false);
    node.bytes("max_header", http.maxHeaderBytes);
    node.count("max_header_fields", http.maxHeaderFields);
    node.bytes("max_body", http.maxBodyBytes);
    node.bytes("memory", http.memoryBytes);
    node.duration("read_timeout", http.readTimeout);
    node.duration("write_timeout", http.writeTimeout);
    node.duration("idle_timeout", http.idleTimeout);
    node.duration("address_ttl", http.addressTtl);
    node.count("connections", http.connections);
    node.count("loops", http.loops);
    node.rejectUnknownFields();
    if (http.memoryBytes > 0 && http.memoryBytes < leastMemoryBytes)
        node.problem("memory",
                     "must be at least 1 MB; raise it, or leave it out for a third of the "
                     "memory of the process");
}

void readToleratedLosses(yaml_reader &node, control_settings &control)
{
    constexpr int maxToleratedLosses = 4;
    double losses = 0;
    node.number("tolerated_losses", losses);
    control.toleratedLosses = static_cast<int>(losses);
    if (losses > maxToleratedLosses || losses != control.toleratedLosses)
        return node.problem("tolerated_losses",
                            "must be a whole number from 0 to "
                                    + std::to_string(maxToleratedLosses));
    if (control.toleratedLosses == 0)
        return;
    const int voters = 2 * control.toleratedLosses + 1;
    if (control.voters != control_settings{}.voters && control.voters != voters)
        node.problem("voters", "differs from the number that tolerated_losses needs; leave it out");
    control.voters = voters;
}

void readControl(yaml_reader node, control_settings &control)
{
    node.duration("heartbeat", control.heartbeat);
    node.duration("election_timeout", control.electionTimeout);
    node.duration("lease", control.lease);
    node.duration("freshness", control.freshness);
    node.duration("feed_interval", control.feedInterval);
    node.duration("order_life", control.orderLifetime);
    node.count("snapshot_entries", control.snapshotEntries);
    node.count("voters", control.voters);
    readToleratedLosses(node, control);
    node.rejectUnknownFields();
    if (control.voters % 2 == 0)
        node.problem("voters",
                     "must be odd; an even number tolerates no more failures than the odd number "
                     "below it");
    if (control.heartbeat * 3 > control.electionTimeout)
        node.problem("heartbeat", "must be at most a third of election_timeout; lower it");
    if (control.feedInterval * 3 > control.freshness)
        node.problem("feed_interval", "must be at most a third of freshness; lower it");
}

/// Entries hear of each other each half second, which a shorter window does not leave room for.
void checkQuota(yaml_reader &node, const promise_settings &promises)
{
    constexpr kernel::milliseconds leastWindow{2'000};
    if (promises.quotaWindow.count() > 0 && promises.quotaWindow < leastWindow)
        node.problem("quota_window", "must be at least 2s, or left out to keep no quotas");
    const bool unused = promises.quotaOver > 0 || promises.quotaSlack > 0;
    if (promises.quotaWindow.count() == 0 && unused)
        node.problem("quota_over", "has no effect without quota_window; set quota_window");
}

void readPromises(yaml_reader node, promise_settings &promises)
{
    node.duration("key_withdrawal", promises.keyWithdrawal);
    node.duration("table_propagation", promises.tablePropagation);
    node.duration("drain_notice", promises.drainNotice);
    node.duration("shutdown", promises.shutdown);
    node.number("retry_share", promises.retryShare);
    node.number("retry_burst", promises.retryBurst);
    node.duration("retry_window", promises.retryWindow);
    node.flag("shared_retries", promises.sharedRetries);
    node.duration("quota_window", promises.quotaWindow);
    node.number("quota_over", promises.quotaOver);
    node.number("quota_slack", promises.quotaSlack);
    node.rejectUnknownFields();
    checkQuota(node, promises);
}

void readPlatform(yaml_reader node, platform_settings &platform)
{
    node.text("drivers", platform.drivers);
    platform.endpointList = node.address("endpoint_list", false);
    platform.endpointCounts = node.address("endpoint_counts", false);
    node.duration("list_interval", platform.listInterval);
    node.duration("usage_batch", platform.usageBatch);
    platform.endpointOrders = node.address("endpoint_orders", false);
    platform.usageReports = node.address("usage_reports", false);
    platform.weightStore = node.address("weight_store", false);
    platform.vmList = node.address("vm_list", false);
    node.duration("usage_window", platform.usageWindow);
    node.rejectUnknownFields();
}

void readPolicy(yaml_reader node, policy_settings &policy)
{
    node.text("routing", policy.routing);
    node.text("admission", policy.admission);
    node.text("fairness", policy.fairness);
    node.text("roles", policy.roles);
    node.text("placement", policy.placement);
    node.count("prefill_ahead", policy.prefillAhead);
    node.flag("assume_others", policy.assumeOthers);
    node.duration("cheap_notice", policy.cheapNotice);
    node.choose("capacity",
                {{"cheap_headroom", [&] { policy.capacity = capacity_policy::CheapHeadroom; }},
                 {"follow_demand", [&] { policy.capacity = capacity_policy::FollowDemand; }}});
    node.rejectUnknownFields();
}

/// Without the list, orders cannot be checked, and without the interface for counts, none is sent.
void checkCapacity(yaml_reader &root, const settings &out)
{
    if (!out.roles.control || out.policy.capacity != capacity_policy::FollowDemand)
        return;
    if (out.platform.endpointList.empty() || out.platform.endpointCounts.empty())
        root.problem("policy.capacity",
                     "follow_demand needs platform.endpoint_list and platform.endpoint_counts; set "
                     "both or use cheap_headroom");
}

/// Replaces the port of each seed by seed_link_port, when that is set.
void checkSeeds(yaml_reader &root, settings &out)
{
    std::int64_t port = 0;
    root.count("seed_link_port", port);
    for (std::string &seed : out.seeds) {
        wire::socket_address address;
        kernel::error parseError;
        const bool readable = kernel::succeeded(
                [&]() -> result<void> {
                    BOOST_LEAF_ASSIGN(address, wire::parseAddress(seed));
                    return {};
                },
                parseError);
        if (!readable)
            root.problem("seeds", "'" + seed + "' is " + parseError.message);
        else if (port != 0)
            seed = address.host + ":" + std::to_string(port);
    }
    if (out.seeds.empty())
        root.problem("seeds", "missing; name the link addresses of one to three control nodes");
}

/// An entry that is up to date has polled a control node within an interval, which has polled the
/// leader within another one.
void checkPropagation(yaml_reader &root, const settings &out)
{
    constexpr int intervals = 3; ///< two polls, and what they take
    const kernel::milliseconds promised = out.promises.tablePropagation;
    if (promised.count() > 0 && out.control.feedInterval * intervals > promised)
        root.problem("promises.table_propagation",
                     "must be at least three times control.feed_interval; raise it or lower the "
                     "interval");
}

/// An entry that cannot reach the leader accepts keys for as long as its tables are fresh, so the
/// freshness time is derived from the bound on key withdrawal.
void deriveFreshness(settings &out)
{
    /// The rest covers clock error and requests in flight. An edit that is made while a leader is
    /// lost waits for leases that it granted, so a longer freshness delays its acknowledgement.
    constexpr double freshnessShare = 0.86;
    if (out.promises.keyWithdrawal.count() > 0) {
        out.control.freshness = std::chrono::duration_cast<kernel::milliseconds>(
                out.promises.keyWithdrawal * freshnessShare);
    }
}

void checkDataFolder(yaml_reader &root, const settings &out)
{
    if (!out.roles.control)
        return;
    if (out.dataFolder.empty())
        root.problem("data_folder", "missing; a control node needs a folder on its disk, set one");
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
    out.zone = root.required("zone");
    readRoles(root, out.roles);
    out.linkAddress = root.address("link", true);
    out.callerAddress = root.address("callers", out.roles.entry);
    out.seeds = root.texts("seeds");
    out.linkRoutes = root.pairs("link_routes");
    root.flag("first_start", out.firstStart);
    root.text("cluster_secret", out.secretFile);
    root.text("operator_key", out.operatorKeyFile);
    root.text("data_folder", out.dataFolder);
    root.bytes("process_memory", out.processMemoryBytes);
    readLog(root.child("log"), out.log);
    readHttp(root.child("http"), out.http);
    readControl(root.child("control"), out.control);
    readPromises(root.child("promises"), out.promises);
    readPlatform(root.child("platform"), out.platform);
    readPolicy(root.child("policy"), out.policy);
    checkSeeds(root, out);
    root.rejectUnknownFields();
    checkDataFolder(root, out);
    checkSecret(root, "cluster_secret", out.secretFile);
    checkSecret(root, "operator_key", out.operatorKeyFile);
    checkPropagation(root, out);
    checkCapacity(root, out);
    deriveFreshness(out);
    return out;
}

} // namespace

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
    return fail(error_kind::InvalidArgument, "settings", all);
}

result<std::string> readSecret(const std::string &file)
{
    struct stat fileStatus
    { };
    if (::stat(file.c_str(), &fileStatus) != 0)
        return fail(error_kind::NotFound, file,
                    "'" + file + "' does not exist or cannot be read; create it with mode 0600");
    if ((fileStatus.st_mode & (S_IRWXG | S_IRWXO)) != 0)
        return fail(error_kind::Forbidden, file,
                    "'" + file + "' is accessible to its group or others; run chmod 600 on it");
    std::ifstream stream(file, std::ios::binary);
    std::string secret{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r'))
        secret.pop_back();
    constexpr std::size_t minSecretBytes = 16;
    if (secret.size() < minSecretBytes)
        return fail(error_kind::InvalidArgument, file,
                    "'" + file + "' holds " + std::to_string(secret.size())
                            + " bytes, fewer than 16; make the secret longer");
    return secret;
}

} // namespace yuccascale::runtime
