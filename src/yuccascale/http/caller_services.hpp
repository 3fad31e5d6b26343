#pragma once

#include "yuccascale/http/caller_commits.hpp"
#include "yuccascale/http/caller_pools.hpp"
#include "yuccascale/http/endpoint_client.hpp"
#include "yuccascale/kernel/requests/key_check.hpp"
#include "yuccascale/runtime/metrics.hpp"

#include <atomic>
#include <memory>
#include <set>
#include <string>

/// \file
/// \brief What every request of an entry uses.

namespace yuccascale::http {

/// \brief Fingerprints that this entry found guilty, ahead of the tables. Thread-safe.
class local_bans
{
public:
    void add(const std::string &fingerprint)
    {
        const std::scoped_lock guard(m_mutex);
        m_fingerprints.insert(fingerprint);
    }
    [[nodiscard]] bool contains(const std::string &fingerprint) const
    {
        const std::scoped_lock guard(m_mutex);
        return m_fingerprints.contains(fingerprint);
    }

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_fingerprints;
};

/// \brief Shared parts of an entry.
struct caller_services
{
    const kernel::clock &clock;
    kernel::event_sink &events;
    kernel::control_client &control;
    std::string entry;  ///< node and incarnation
    std::string secret; ///< signs resume tokens
    std::unique_ptr<caller_pools> pools;
    caller_commits commits;
    endpoint_client endpoints;
    std::unique_ptr<kernel::requests::endpoint_driver> engineDriver;
    std::unique_ptr<kernel::requests::endpoint_driver> serviceDriver;
    local_bans bans;
    runtime::metrics metrics;
    std::atomic<std::uint64_t> nextTicket{1};
    std::atomic<std::uint64_t> revision{0}; ///< of the tables that the pools have
    std::atomic<int> running{0};            ///< requests that have no answer yet

    [[nodiscard]] const kernel::requests::endpoint_driver &
    driverOf(kernel::state::backend_kind kind) const
    {
        return kind == kernel::state::backend_kind::Model ? *engineDriver : *serviceDriver;
    }

    /// \returns whether a request may be sent now.
    [[nodiscard]] kernel::requests::start_check
    checkStart(const kernel::requests::request &subject) const
    {
        if (bans.contains(subject.fingerprint))
            return kernel::requests::start_check::Banned;
        return kernel::requests::checkStart(clock.now(), control.view(), subject);
    }
};

} // namespace yuccascale::http
