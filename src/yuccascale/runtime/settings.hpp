#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/error.hpp"
#include "yuccascale/kernel/events.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// \file
/// \brief A node's settings, read from YAML and checked whole before anything starts.

namespace yuccascale::runtime {

/// \brief Work a node does.
struct node_roles
{
    bool entry = false;   ///< serves callers
    bool control = false; ///< keeps a replica of the control log; needs a data folder
};

/// \brief Another node of the system, or this one.
struct node_settings
{
    std::string name;
    std::string zone;          ///< availability zone
    std::string linkAddress;   ///< IP:port for the other nodes
    std::string callerAddress; ///< IP:port for callers and operators
    node_roles roles;
};

/// \brief Where and how log lines are written.
struct log_settings
{
    bool json = false;
    kernel::severity level = kernel::severity::Info;
    std::string file; ///< empty: the standard error stream
};

/// \brief Bounds on what callers may send.
struct http_settings
{
    std::int64_t maxBodyBytes = 8 << 20;
    kernel::milliseconds readTimeout{10'000};  ///< a caller that sends slower is refused
    kernel::milliseconds writeTimeout{10'000}; ///< a caller that reads slower is dropped
    int threads = 256;                         ///< connections served at once
    kernel::milliseconds addressTtl{5'000};    ///< how long a caller may keep an entry's address
};

/// \brief Times of the control role.
struct control_settings
{
    kernel::milliseconds heartbeat{250};
    kernel::milliseconds electionTimeout{1'000}; ///< the shortest; the longest is twice this
    kernel::milliseconds lease{1'500}; ///< authority of a leader after its last confirmed heartbeat
    kernel::milliseconds freshness{2'400};  ///< how long an entry may act on its tables unconfirmed
    kernel::milliseconds feedInterval{800}; ///< how often an entry asks for newer tables
    kernel::milliseconds orderLife{3'000};  ///< longest time an order can be under way
    std::uint64_t snapshotEntries = 4'096;  ///< log entries between snapshots
};

/// \brief Interfaces of the platform; an empty address turns one off.
struct platform_settings
{
    std::string endpointOrders;               ///< IP:port of the endpoint ordering interface
    std::string usageReports;                 ///< IP:port of the usage report interface
    std::string weightStore;                  ///< IP:port of the weight store
    std::string vmList;                       ///< IP:port of the list of live and leaving VMs
    kernel::milliseconds usageWindow{60'000}; ///< length of a usage window
};

/// \brief Names of the strategy plug-ins in use, and the deployment's weights.
struct policy_settings
{
    std::string routing = "predicted_first_token";
    std::string admission = "deadline";
    std::string fairness = "fair_share";
    std::string roles = "mix_following";
    std::string placement = "steady_and_cheap";
};

/// \brief All settings of a node.
struct settings
{
    std::string file;            ///< where they were read from
    std::string node;            ///< this node's name, one of nodes
    std::string dataFolder;      ///< empty unless the node has the control role
    std::string secretFile;      ///< cluster secret; readable by its owner only
    std::string operatorKeyFile; ///< key for the operator interface; readable by its owner only
    std::vector<node_settings> nodes;
    log_settings log;
    http_settings http;
    control_settings control;
    platform_settings platform;
    policy_settings policy;

    /// \returns this node's own row of nodes.
    [[nodiscard]] const node_settings &self() const;
};

/// \brief Reads and checks a settings file.
/// \returns every problem in one error, each with file, line and remedy.
///
/// \example
///     BOOST_LEAF_AUTO(settings, readSettings("node.yaml"));
[[nodiscard]] kernel::result<settings> readSettings(const std::string &file);

/// \brief Reads a secret file without its trailing line break.
/// \returns error_kind::Forbidden when others may read it, error_kind::NotFound when it is missing.
[[nodiscard]] kernel::result<std::string> readSecret(const std::string &file);

} // namespace yuccascale::runtime
