#pragma once

#include "yuccascale/http/caller_services.hpp"

#include <set>
#include <string>

/// \file
/// \brief Polls endpoints for their load.

namespace yuccascale::http {

/// \brief Polls each endpoint of the pools at an interval. Used on the first loop only.
class load_poller
{
public:
    explicit load_poller(caller_services &services)
        : m_services(services)
    { }

    /// \brief Once the interval has passed, polls the endpoints that have answered the last poll.
    void pollDue();

private:
    void poll(const polled_endpoint &endpoint);
    void handleAnswer(const polled_endpoint &endpoint, const net::buffered_answer &answer);

    caller_services &m_services;
    std::set<std::string> m_pending; ///< endpoints whose answer is outstanding
    kernel::instant m_nextAt{};
};

} // namespace yuccascale::http
