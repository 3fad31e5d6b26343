#pragma once

#include "fakes/http_server.hpp"
#include "processes/test_time.hpp"

#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// \file
/// \brief Stand-ins of the platform: services whose servers leave one after another, and its list.

namespace yuccascale::processes {

/// \brief A request that a server ran.
struct service_run
{
    std::string requestId;
    std::string service;
    test_time at{};
    std::optional<test_time> drainingAt; ///< of the server, when the list showed that by then
};

/// \brief Runs two servers of each service and the platform's interfaces. Thread-safe.
class service_fleet
{
public:
    explicit service_fleet(const std::vector<std::string> &services);
    ~service_fleet();
    service_fleet(const service_fleet &) = delete;
    service_fleet &operator=(const service_fleet &) = delete;

    [[nodiscard]] std::string platformAddress() const;

    /// \brief Begins to replace servers: one is listed as draining, later it is no more listed.
    void startReplacing(unsigned seed);
    void stopReplacing();

    /// \returns all runs so far.
    [[nodiscard]] std::vector<service_run> runs() const;
    [[nodiscard]] int drained() const noexcept { return m_drained; }

private:
    struct server
    {
        std::string id;
        std::string service;
        std::string zone;
        std::int64_t bornMs = 0;
        bool listed = true;
        std::optional<test_time> drainingAt;
        std::unique_ptr<fakes::http_server> http;
    };

    server &start(const std::string &service);
    [[nodiscard]] fakes::http_reply serve(server &one, const fakes::http_request &request);
    [[nodiscard]] fakes::http_reply answerPlatform(const fakes::http_request &request) const;
    [[nodiscard]] std::string list() const;
    void replaceServers(unsigned seed);
    [[nodiscard]] server *oldestStaying(const std::string &service);
    void pause(milliseconds time) const;

    std::vector<std::string> m_services;
    mutable std::mutex m_mutex; ///< guards servers and runs
    std::list<server> m_servers;
    std::vector<service_run> m_runs;
    std::atomic<int> m_drained{0};
    std::atomic<bool> m_stopped{false};
    std::thread m_replacing;
    std::unique_ptr<fakes::http_server> m_platform;
};

} // namespace yuccascale::processes
