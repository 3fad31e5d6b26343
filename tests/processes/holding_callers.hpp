#pragma once

#include "processes/cluster.hpp"
#include "processes/request_record.hpp"

#include <array>
#include <atomic>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

/// \file
/// \brief Callers that hold an entry's address and keep their connection in use until it ends.

namespace yuccascale::processes {

/// \brief Mix and pace of the callers of every entry.
struct caller_mix
{
    unsigned seed = 1;
    int callersPerNode = 4;
    milliseconds longestPause{300};   ///< between an answer and the next request
    milliseconds longestSending{0};   ///< of a request that is sent slowly; 0: none is
    std::size_t pipelinedPercent = 0; ///< of the requests, a second one follows at once
    std::size_t longChatPercent = 0;
    std::string longChatRoute = "chat";
    std::size_t ticketPercent = 20;
    std::size_t newConnectionPercent = 10; ///< of the requests, not on the kept connection
    milliseconds patience{12'000};         ///< for an answer
};

/// \brief Runs the callers, each on its own thread, until stop(). A caller never asks for other
///        addresses: it returns to its own as soon as something listens there.
class holding_callers
{
public:
    holding_callers(const cluster &system, const caller_mix &mix);
    ~holding_callers();
    holding_callers(const holding_callers &) = delete;
    holding_callers &operator=(const holding_callers &) = delete;

    /// \brief During a burst callers pause no longer between requests.
    void setBurst(bool enabled) noexcept { m_burst = enabled; }

    /// \brief Waits for the requests in flight.
    void stop();

    /// \returns all requests so far, in the order of their ends.
    [[nodiscard]] std::vector<request_record> records() const;

private:
    class caller;

    void add(const request_record &record);

    const cluster &m_system;
    caller_mix m_mix;
    std::atomic<bool> m_burst{false};
    std::atomic<bool> m_stopped{false};
    mutable std::mutex m_mutex; ///< guards m_records
    std::vector<request_record> m_records;
    std::vector<std::thread> m_threads;
};

} // namespace yuccascale::processes
