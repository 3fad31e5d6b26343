#pragma once

#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/kernel/events.hpp"

#include <functional>
#include <string>

/// \file
/// \brief The operators' HTTP interface of a node (docs/interfaces.md).

namespace httplib {
class Server;
}

namespace yuccascale::http {

/// \brief What the operator interface needs of its node.
struct operator_services
{
    kernel::clock &clock;
    kernel::event_sink &events;
    kernel::control_client &control;
    std::string operatorKey;
    std::function<kernel::json()> status;
    std::function<kernel::json(std::string_view id)> explain;
    std::function<void()> beginShutdown;
};

/// \brief Adds the `/operator` calls to a server that has not started yet.
/// \param services must outlive the server
void addOperatorRoutes(httplib::Server &server, const operator_services &services);

} // namespace yuccascale::http
