#pragma once

#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/kernel/events.hpp"
#include "yuccascale/net/http_exchange.hpp"
#include "yuccascale/runtime/worker_threads.hpp"

#include <functional>
#include <memory>
#include <string>

/// \file
/// \brief The operators' HTTP interface of a node (docs/interfaces.md).

namespace yuccascale::http {

/// \brief What the operator interface uses of its node.
struct operator_services
{
    kernel::clock &clock;
    kernel::event_sink &events;
    kernel::control_client &control;
    std::string operatorKey;
    std::function<kernel::json()> status;
    std::function<kernel::json(std::string_view id)> explain;
    std::function<void()> beginShutdown;
    std::shared_ptr<runtime::worker_threads> workers = nullptr; ///< null: threads of its own
};

/// \brief Serves the `/operator` paths.
class operator_interface
{
public:
    explicit operator_interface(const operator_services &services);
    ~operator_interface();
    operator_interface(const operator_interface &) = delete;
    operator_interface &operator=(const operator_interface &) = delete;

    /// \brief Answers a request in the background.
    /// \returns false when its path is not one of these.
    [[nodiscard]] bool tryServe(const std::shared_ptr<net::http_exchange> &exchange);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace yuccascale::http
