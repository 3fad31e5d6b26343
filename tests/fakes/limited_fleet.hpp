#pragma once

#include "fakes/manual_clock.hpp"
#include "yuccascale/http/caller_pools.hpp"
#include "yuccascale/kernel/requests/endpoint_driver.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// \file
/// \brief Entries before endpoints that name limits in their answers, on one test clock.
///
/// The code under test is the pools of each entry, the platform's driver and the codec of the
/// messages between entries. Callers, endpoints and the network are simulated.

namespace yuccascale::fakes {

/// \brief Size and load of a limited_fleet.
struct limited_fleet_plan
{
    std::uint64_t seed = 1;
    std::size_t entries = 7;
    std::size_t endpoints = 18;
    double offeredRate = 100;    ///< requests per second at all entries together
    double lostMessageShare = 0; ///< of the messages between entries
    double notRunShare = 0;      ///< of the requests, which are sent once more
};

/// \brief Plays a load and judges it from what the endpoints see.
class limited_fleet
{
public:
    explicit limited_fleet(const limited_fleet_plan &plan);
    limited_fleet(const limited_fleet &) = delete;
    limited_fleet &operator=(const limited_fleet &) = delete;

    /// \brief Sets the limit that an endpoint names from now on; empty: none.
    void nameLimit(std::size_t endpoint, const std::string &requestsPerSecond);

    /// \brief Ends an entry. The others notice it a little later.
    void kill(std::size_t entry);

    /// \brief Starts an entry that was killed, without its memory.
    void restart(std::size_t entry);

    void run(kernel::nanoseconds time);

    /// \returns a description of each limit that was exceeded.
    [[nodiscard]] std::vector<std::string> violations() const;

    /// \returns the requests that have arrived at an endpoint.
    [[nodiscard]] int arrivals(std::size_t endpoint) const
    {
        return static_cast<int>(m_endpoints[endpoint].arrivals.size());
    }

    [[nodiscard]] int refused() const noexcept { return m_refused; }

    /// \returns the requests that were refused after they had been kept waiting.
    [[nodiscard]] int refusedLate() const noexcept { return m_refusedLate; }

private:
    /// One life of an entry's process.
    struct entry_life
    {
        std::unique_ptr<http::caller_pools> pools;
        std::vector<std::optional<kernel::instant>> toldAt; ///< by endpoint: first answer with a
                                                            ///< limit since the last one without
    };
    struct arrival
    {
        kernel::instant at{};
        bool told = false; ///< its entry had seen a limit half a second before
    };
    /// A limit that an endpoint named without a break.
    struct named_limit
    {
        kernel::instant from{};
        kernel::instant to{};
        double requestsPerSecond = 0;
    };
    struct simulated_endpoint
    {
        std::string limit; ///< as its answers name it; empty: none
        std::vector<named_limit> limits;
        std::vector<arrival> arrivals;
    };
    struct sent_request
    {
        std::shared_ptr<entry_life> entry;
        std::uint64_t ticket = 0;
        std::size_t endpoint = 0;
        kernel::instant headAt{};
        kernel::instant endAt{};
        bool headSeen = false;
        bool notRun = false;
    };
    struct waiting_request
    {
        std::shared_ptr<entry_life> entry;
        kernel::requests::request request;
        std::shared_ptr<http::caller_mailbox> mailbox;
    };
    struct message_in_transit
    {
        kernel::instant at{};
        std::size_t to = 0;
        std::string bytes;
    };

    [[nodiscard]] kernel::state::table_set tables() const;
    void start(std::size_t entry);
    void setPositions();
    void step();
    void submit();
    [[nodiscard]] kernel::requests::request newRequest() const;
    void push(const std::shared_ptr<entry_life> &entry, const kernel::requests::request &subject,
              const kernel::requests::enqueue &options);
    void handle(std::uint64_t ticket, const http::caller_mailbox::message &message);
    void arrive(const waiting_request &sent, const kernel::requests::endpoint_assignment &target);
    void answer(sent_request &sent);
    void end(const sent_request &sent);
    void post(std::size_t from, const kernel::requests::endpoint_updates &updates);
    void deliverMessages();
    void endWaiting();
    [[nodiscard]] bool chance(double share);

    limited_fleet_plan m_plan;
    std::mt19937_64 m_random;
    manual_clock m_clock;
    net::io_context m_loop;
    std::unique_ptr<kernel::requests::endpoint_driver> m_driver;
    runtime::settings m_settings;
    std::vector<std::shared_ptr<entry_life>> m_entries; ///< null while an entry is down
    std::optional<kernel::instant> m_positionsDueAt;
    std::vector<simulated_endpoint> m_endpoints;
    std::map<std::uint64_t, waiting_request> m_waiting;
    std::vector<sent_request> m_sent;
    std::deque<message_in_transit> m_messages;
    std::uint64_t m_lastTicket = 0;
    double m_owedRequests = 0;
    int m_refused = 0;
    int m_refusedLate = 0;
};

} // namespace yuccascale::fakes
