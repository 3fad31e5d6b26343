#pragma once

#include "yuccascale/http/caller_services.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>

/// \file
/// \brief Keeps an entry's pools up to date: tables, load reports, turns that time makes possible.

namespace yuccascale::http {

/// \brief Asks endpoints for their load.
class load_source
{
public:
    virtual ~load_source() = default;

    /// \brief Starts asking an endpoint; its report goes to the pools when it comes.
    virtual void ask(const listed_endpoint &endpoint) = 0;
};

/// \brief Thread that looks after the pools.
class endpoint_poller
{
public:
    /// \param source where load reports come from
    endpoint_poller(caller_services &services, std::unique_ptr<load_source> source);
    ~endpoint_poller();
    endpoint_poller(const endpoint_poller &) = delete;
    endpoint_poller &operator=(const endpoint_poller &) = delete;

    void shutdown();

private:
    void run();

    caller_services &m_services;
    std::unique_ptr<load_source> m_source;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::thread m_thread;
};

/// \returns a source that calls `GET /load` at each endpoint from this entry.
[[nodiscard]] std::unique_ptr<load_source> makeDirectLoadSource(caller_services &services);

/// \brief Hands newer tables to the pools.
void followTables(caller_services &services);

} // namespace yuccascale::http
