#pragma once

#include "yuccascale/kernel/error.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"
#include "yuccascale/kernel/orders/order_message.hpp"
#include "yuccascale/kernel/plugin_registry.hpp"
#include "yuccascale/kernel/policy/cheap_headroom.hpp"
#include "yuccascale/kernel/policy/fleet.hpp"
#include "yuccascale/kernel/state/order_ledger.hpp"
#include "yuccascale/kernel/state/usage_windows.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief Drivers of the outside systems that the leader talks to; one plug-in each.
///
/// Errors of all calls: error_kind::Unavailable when nothing was sent, error_kind::Forbidden when
/// the permit was refused and nothing was sent, error_kind::OutcomeUnknown when it may have
/// arrived.

namespace yuccascale::kernel::orders {

/// \brief The last check of authority, made on an open connection right before the first byte.
/// \returns false when the bytes must not be sent.
using send_permit = std::function<bool()>;

/// \brief Where a driver finds its interface and how long its bytes may be under way.
struct driver_settings
{
    std::string address;  ///< IP:port; empty where each call names its own
    std::string nodeName; ///< name of this node, for interfaces that want to know who calls
    milliseconds connectTimeout{250};
    milliseconds sendTimeout{500}; ///< sent bytes are delivered or dropped within this
    milliseconds answerTimeout{1'000};
};

/// \brief What a target says of an order.
enum class target_state { Unknown, Running, Done, Refused, Busy };

/// \brief A target's answer to an order or to a question about one.
struct target_reply
{
    target_state state = target_state::Unknown;
    std::string detail;
    std::vector<state::endpoint> started; ///< the endpoint that the platform brought, or none
};

/// \brief What an engine runs now.
struct target_report
{
    nanoseconds age{}; ///< how old the report is
    int running = 0;
    int queued = 0;
    std::uint64_t incarnation = 0;
};

/// \brief Gives orders to engines or to the platform.
class order_target
{
public:
    virtual ~order_target() = default;

    /// \brief Sends exactly these bytes on a fresh connection.
    [[nodiscard]] virtual result<target_reply> send(const order_message &message,
                                                    const send_permit &permit)
            = 0;

    /// \returns what the target says of an order.
    [[nodiscard]] virtual result<target_reply> queryOrder(const std::string &address,
                                                          std::uint64_t orderId)
            = 0;
};

/// \brief Reads an endpoint's load report.
class load_source
{
public:
    virtual ~load_source() = default;

    [[nodiscard]] virtual result<target_report> report(const std::string &address) = 0;
};

/// \brief The weight store's answer to a request to fetch.
struct fetch_reply
{
    bool granted = false;
    milliseconds retryAfter{}; ///< when not granted
};

/// \brief Asks the rate-limited weight store to bring a model to an endpoint.
class weight_store
{
public:
    virtual ~weight_store() = default;

    [[nodiscard]] virtual result<fetch_reply>
    fetch(const std::string &model, const std::string &endpoint, const send_permit &permit) = 0;
};

/// \brief The usage interface's answer to a report.
enum class usage_reply { Accepted, Differs };

/// \brief Reports usage windows.
class usage_sink
{
public:
    virtual ~usage_sink() = default;

    /// \param fence of the reporter
    [[nodiscard]] virtual result<usage_reply> report(const state::frozen_window &window,
                                                     std::uint64_t fence, const send_permit &permit)
            = 0;
};

/// \brief A row of the platform's list of VMs, which lags.
struct vm_row
{
    std::string name;
    std::string address; ///< IP:port
    bool leaving = false;
};

/// \brief Reads what the platform tells: its VMs and its offers.
class platform_reader
{
public:
    virtual ~platform_reader() = default;

    [[nodiscard]] virtual result<std::vector<vm_row>> vms() = 0;
    [[nodiscard]] virtual result<std::vector<policy::endpoint_offer>> offers() = 0;
};

/// \brief Reads the platform's list of endpoints.
class endpoint_lister
{
public:
    virtual ~endpoint_lister() = default;

    /// \returns the endpoints that can be read; entries that cannot are left out.
    [[nodiscard]] virtual result<std::vector<feed::listed_endpoint>> endpoints() = 0;
};

/// \brief Orders numbers of endpoints from the platform.
class endpoint_scaler
{
public:
    virtual ~endpoint_scaler() = default;

    /// \param fence of the leader that orders
    /// \returns false when none are to be had there at the moment.
    [[nodiscard]] virtual result<bool> order(const policy::count_order &order, std::uint64_t fence,
                                             const send_permit &permit)
            = 0;
};

using endpoint_scaler_registry = plugin_registry<endpoint_scaler, driver_settings>;
using endpoint_lister_registry = plugin_registry<endpoint_lister, driver_settings>;
using order_target_registry = plugin_registry<order_target, driver_settings>;
using load_source_registry = plugin_registry<load_source, driver_settings>;
using weight_store_registry = plugin_registry<weight_store, driver_settings>;
using usage_sink_registry = plugin_registry<usage_sink, driver_settings>;
/// The first settings are of the VM list, the second of the endpoint ordering interface.
using platform_reader_registry = plugin_registry<platform_reader, driver_settings, driver_settings>;

} // namespace yuccascale::kernel::orders
