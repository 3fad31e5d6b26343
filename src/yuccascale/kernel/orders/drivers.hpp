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
#include <tuple>
#include <vector>

/// \file
/// \brief Interfaces to the external systems that the leader calls; each is implemented by
/// plug-ins.
///
/// Errors of all calls: error_kind::Unavailable when nothing was sent, error_kind::Forbidden when
/// the permit was refused and nothing was sent, error_kind::OutcomeUnknown when the request may
/// have arrived.

namespace yuccascale::kernel::orders {

/// \brief Last check of authority, made on the open connection right before the first byte is sent.
/// \returns false when the bytes must not be sent.
using send_permit = std::function<bool()>;

/// \brief Address and timeouts of a driver.
struct driver_settings
{
    std::string address;  ///< IP:port; empty when each call gives the address
    std::string nodeName; ///< name of this node, for interfaces that require it
    milliseconds connectTimeout{250};
    milliseconds sendTimeout{500}; ///< sent bytes are delivered or dropped within this time
    milliseconds answerTimeout{1'000};
};

/// \brief State of an order as its target reports it.
enum class target_state { Unknown, Running, Done, Refused, Busy };

/// \brief A target's reply to an order or to a status query.
struct target_reply
{
    target_state state = target_state::Unknown;
    std::string detail;
    std::vector<state::endpoint> started; ///< the endpoint that the platform started, or none
};

/// \brief Current load of an engine.
struct target_report
{
    nanoseconds age{}; ///< time since the engine measured it
    int running = 0;
    int queued = 0;
    std::uint64_t incarnation = 0;
};

/// \brief Sends orders to engines or to the platform.
class order_target
{
public:
    virtual ~order_target() = default;

    /// \brief Sends exactly these bytes on a new connection.
    [[nodiscard]] virtual result<target_reply> send(const order_message &message,
                                                    const send_permit &permit)
            = 0;

    /// \returns the state of an order as its target reports it.
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

/// \brief The weight store's reply to a fetch request.
struct fetch_reply
{
    bool granted = false;
    milliseconds retryAfter{}; ///< delay before the next attempt, when not granted
};

/// \brief Asks the rate-limited weight store to transfer a model to an endpoint.
class weight_store
{
public:
    virtual ~weight_store() = default;

    [[nodiscard]] virtual result<fetch_reply>
    fetch(const std::string &model, const std::string &endpoint, const send_permit &permit) = 0;
};

/// \brief The usage interface's reply to a report.
enum class usage_reply { Accepted, Differs };

/// \brief Reports usage windows.
class usage_sink
{
public:
    virtual ~usage_sink() = default;

    /// \param fence of the reporting leader
    [[nodiscard]] virtual result<usage_reply> report(const state::frozen_window &window,
                                                     std::uint64_t fence, const send_permit &permit)
            = 0;
};

/// \brief A row of the platform's list of VMs. The list may be out of date.
struct vm_row
{
    std::string name;
    std::string address; ///< IP:port
    bool leaving = false;
};

/// \brief Reads the platform's list of VMs and its offers of endpoints.
class platform_reader
{
public:
    virtual ~platform_reader() = default;

    [[nodiscard]] virtual result<std::vector<vm_row>> vms() = 0;
    [[nodiscard]] virtual result<std::vector<policy::endpoint_offer>> offers() = 0;
};

/// \brief An entry of the platform's list that names no endpoint.
struct ignored_entry
{
    std::string name; ///< as far as it can be read
    std::string problem;

    [[nodiscard]] bool operator<(const ignored_entry &other) const
    {
        return std::tie(name, problem) < std::tie(other.name, other.problem);
    }
};

/// \brief The platform's list of endpoints.
struct endpoint_listing
{
    std::vector<feed::listed_endpoint> endpoints;
    std::vector<ignored_entry> ignored; ///< the others hold
};

/// \brief Reads the platform's list of endpoints.
class endpoint_lister
{
public:
    virtual ~endpoint_lister() = default;

    [[nodiscard]] virtual result<endpoint_listing> read() = 0;
};

/// \brief Sets the number of endpoints that the platform runs for a pool in an availability zone.
class endpoint_scaler
{
public:
    virtual ~endpoint_scaler() = default;

    /// \param fence of the ordering leader
    /// \returns false when the platform has no capacity there at the moment.
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
/// The first settings are for the VM list, the second for the endpoint ordering interface.
using platform_reader_registry = plugin_registry<platform_reader, driver_settings, driver_settings>;

} // namespace yuccascale::kernel::orders
