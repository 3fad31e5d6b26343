#pragma once

#include "fakes/standin.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

/// \file
/// \brief A plain service that issues numbered tickets; every run gets a new number, repeats
///        included.

namespace yuccascale::fakes {

struct plain_service_settings
{
    std::string name = "service";
    int port = 0;
    int slots = 32;                    ///< concurrent runs; further requests are refused as not run
    std::int64_t delayMs = 20;         ///< before a run, while it holds a slot
    std::uint64_t loseAnswerEvery = 0; ///< every n-th run loses its answer; 0: none
    std::uint64_t refuseEvery = 0;     ///< every n-th request is refused as not run; 0: none
    std::int64_t loadLagMs = 200;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(plain_service_settings, name, port, slots, delayMs,
                                                loseAnswerEvery, refuseEvery, loadLagMs)
};

/// \brief Runs every POST request, without detecting duplicates. Thread-safe.
class plain_service final : public standin
{
public:
    plain_service(plain_service_settings settings, const history &eventHistory);

private:
    [[nodiscard]] http_reply handle(const http_request &request);
    [[nodiscard]] http_reply run(const http_request &request);
    [[nodiscard]] http_reply load() const;

    plain_service_settings m_settings;
    const history &m_history;
    mutable std::mutex m_mutex;
    std::uint64_t m_requests = 0;
    std::uint64_t m_tickets = 0;
    int m_running = 0;
    std::map<std::string, int> m_runs; ///< by idempotency key
    http_server m_server;
};

} // namespace yuccascale::fakes
