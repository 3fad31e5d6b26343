#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/net/http_exchange.hpp"

#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief Requests that wait until the tables are confirmed.

namespace yuccascale::http {

/// \brief A request that arrived and is not admitted yet.
struct arrived_request
{
    std::shared_ptr<net::http_exchange> exchange;
    std::string relayGrant; ///< of the entry that passed it on; empty when a caller sent it
    kernel::instant receivedAt{};
};

/// \brief A bounded list of held requests. Thread-safe.
class held_requests
{
public:
    /// \param most requests that are held at the same time
    explicit held_requests(std::size_t most)
        : m_most(most)
    { }

    /// \returns false when the list is full.
    [[nodiscard]] bool add(const arrived_request &arrived)
    {
        const std::scoped_lock guard(m_mutex);
        if (m_requests.size() >= m_most)
            return false;
        m_requests.push_back(arrived);
        return true;
    }

    /// \returns all held requests, in the order in which they came, and forgets them.
    [[nodiscard]] std::vector<arrived_request> take()
    {
        const std::scoped_lock guard(m_mutex);
        return std::exchange(m_requests, {});
    }

    [[nodiscard]] bool empty() const
    {
        const std::scoped_lock guard(m_mutex);
        return m_requests.empty();
    }

private:
    std::size_t m_most;
    mutable std::mutex m_mutex;
    std::vector<arrived_request> m_requests;
};

} // namespace yuccascale::http
