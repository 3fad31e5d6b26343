#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/error.hpp"
#include "yuccascale/kernel/events.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// \file
/// \brief A node's settings, read from YAML and validated completely before anything starts.

namespace yuccascale::runtime {

/// \brief The roles of a node.
struct node_roles
{
    bool entry = false;   ///< serves callers
    bool control = false; ///< keeps a replica of the replicated log; needs a data folder
};

/// \brief Format, level and destination of the log.
struct log_settings
{
    bool json = false;
    kernel::severity level = kernel::severity::Info;
    std::string file; ///< empty: standard error; "-": standard output
};

/// \brief How callers and operators are served.
struct http_settings
{
    std::string protocol = "own"; ///< name of the caller protocol plug-in
    std::string readiness;        ///< IP:port that serves only the readiness check, or empty
    std::string directory;        ///< IP:port that serves only the list of entries, or empty
    std::string operators;        ///< IP:port for the operator's document, or empty
    std::string metrics;          ///< IP:port that serves only metrics, or empty
    std::int64_t maxHeaderBytes = 16 << 10;
    std::int64_t maxHeaderFields = 128;
    std::int64_t maxBodyBytes = 8 << 20;
    std::int64_t memoryBytes = 0; ///< held for callers in all; 0: a part of the process's memory
    kernel::milliseconds readTimeout{10'000};  ///< a caller that sends slower is refused
    kernel::milliseconds writeTimeout{10'000}; ///< a caller that reads slower is dropped
    kernel::milliseconds idleTimeout{15'000};  ///< between two requests on a connection
    kernel::milliseconds addressTtl{5'000};    ///< how long a caller may cache an entry's address
    /// Open at the same time; 3,000 are served, the others are for refusals.
    int connections = 3'064;
    int loops = 0; ///< threads that serve callers; 0: 2, or 1 on a node with both roles
};

/// \brief Settings of the control role and of the feed.
struct control_settings
{
    kernel::milliseconds heartbeat{250};
    kernel::milliseconds electionTimeout{1'000}; ///< minimum; the maximum is twice this
    kernel::milliseconds lease{1'500};         ///< from the last heartbeat that a quorum confirmed
    kernel::milliseconds freshness{2'400};     ///< how long an entry may use tables once confirmed
    kernel::milliseconds feedInterval{800};    ///< how often an entry polls for newer tables
    kernel::milliseconds orderLifetime{3'000}; ///< longest time an order can be in flight
    std::uint64_t snapshotEntries = 4'096;     ///< log entries between snapshots
    int voters = 3; ///< replicas that should vote; 2n+1 tolerate the loss of n
    /// Replicas that may be lost at the same time, with their disks. Sets voters unless it is 0.
    int toleratedLosses = 0;
};

/// \brief Bounds that the deployment guarantees; internal times are derived from them.
struct promise_settings
{
    kernel::milliseconds keyWithdrawal{0}; ///< until a withdrawn key stops working; 0: no bound
    /// Until an acknowledged change of the tables is in force at every entry; 0: no bound
    kernel::milliseconds tablePropagation{6'000};
    /// From when the platform's list shows an endpoint as draining or no longer until it gets no
    /// request; 0: no bound
    kernel::milliseconds drainNotice{0};
    kernel::milliseconds shutdown{0}; ///< from a shutdown request to the node's exit; 0: no bound
    double retryShare = 0.2;          ///< retries allowed per request, across all entries
    double retryBurst = 32;           ///< further retries allowed in one window
    kernel::milliseconds retryWindow{10'000};
    bool sharedRetries = false;          ///< all entries share one burst, also across restarts
    kernel::milliseconds quotaWindow{0}; ///< in which organisations' quotas count; 0: none are kept
    double quotaOver = 0;                ///< share of a quota that may be used beyond it
    double quotaSlack = 0;               ///< tokens, or requests, that may be used beyond that
};

/// \brief Interfaces of the platform; an empty address disables one.
struct platform_settings
{
    std::string drivers = "http";           ///< driver plug-ins for these interfaces
    std::string endpointList;               ///< IP:port of the endpoint list
    std::string endpointCounts;             ///< IP:port of the interface that sets endpoint counts
    std::string endpointOrders;             ///< IP:port of the endpoint ordering interface
    std::string usageReports;               ///< IP:port of the usage report interface
    std::string weightStore;                ///< IP:port of the weight store
    std::string vmList;                     ///< IP:port of the list of running and leaving VMs
    kernel::milliseconds listInterval{500}; ///< between two reads of the endpoint list
    kernel::milliseconds usageWindow{60'000}; ///< length of a usage window
    kernel::milliseconds usageBatch{0}; ///< longest time that usage counts are held for a batch
};

/// \brief How the numbers of a pool's endpoints are decided.
enum class capacity_policy {
    CheapHeadroom, ///< cheap endpoints up to the bound of each zone
    FollowDemand,  ///< steady and cheap ones as the measured demand requires
};

/// \brief Names of the policy plug-ins in use, and their parameters.
struct policy_settings
{
    std::string routing = "predicted_first_token";
    std::string admission = "deadline";
    std::string fairness = "fair_share";
    std::string roles = "mix_following";
    std::string placement = "steady_and_cheap";
    std::int64_t prefillAhead = 3'200; ///< prompt tokens that may be queued inside an engine
    /// Guaranteed notice before a cheap endpoint is reclaimed. Non-idempotent requests that end
    /// within it may run there; zero keeps them all on steady endpoints.
    kernel::milliseconds cheapNotice{0};
    capacity_policy capacity = capacity_policy::CheapHeadroom;
    bool assumeOthers = true; ///< assume that each other entry sends the same load
};

/// \brief All settings of a node.
struct settings
{
    std::string file; ///< path of the settings file
    std::string node; ///< this node's name, unique in the system
    std::string zone; ///< availability zone
    node_roles roles;
    std::string linkAddress;        ///< IP:port for the other nodes, which identify this node by it
    std::string callerAddress;      ///< IP:port for callers; empty without the entry role
    std::vector<std::string> seeds; ///< link addresses of control nodes to contact first
    std::map<std::string, std::string> linkRoutes; ///< link address to the address to dial
    bool firstStart = false; ///< the seeds may bootstrap an empty log; never set on a replaced node
    std::string dataFolder;  ///< empty unless the node has the control role
    std::string secretFile;  ///< file of the cluster secret; empty: links are not authenticated
    std::string operatorKeyFile; ///< file of the key for the operator interface; empty: it is off
    std::int64_t processMemoryBytes = 0; ///< that this process may use; 0: what the system reports
    log_settings log;
    http_settings http;
    control_settings control;
    promise_settings promises;
    platform_settings platform;
    policy_settings policy;
};

/// \brief Reads and validates a settings file.
/// \returns error_kind::NotFound when the file is missing; error_kind::InvalidArgument with every
///          problem, each with file, line and remedy.
///
/// \example
///     BOOST_LEAF_AUTO(settings, readSettings("node.yaml"));
[[nodiscard]] kernel::result<settings> readSettings(const std::string &file);

/// \brief Reads a secret file without its trailing line break.
/// \returns error_kind::Forbidden when others may read it, error_kind::NotFound when it is missing.
[[nodiscard]] kernel::result<std::string> readSecret(const std::string &file);

} // namespace yuccascale::runtime
