#pragma once

#include "fakes/keep_alive_connection.hpp"
#include "processes/document_edits.hpp"
#include "processes/service_fleet.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// \file
/// \brief Callers who ask every entry all the time on connections that they keep.

namespace yuccascale::processes {

/// \brief A request as its caller saw it.
struct called_request
{
    std::size_t entry = 0;
    request_subject subject;
    test_time sentAt{};
    test_time answeredAt{};
    int status = 0; ///< 0: no answer
};

/// \brief Some callers for each entry, until stop(). Thread-safe.
class entry_callers
{
public:
    entry_callers(const zone_cluster &system, const document_edits &edits, unsigned seed);
    ~entry_callers();
    entry_callers(const entry_callers &) = delete;
    entry_callers &operator=(const entry_callers &) = delete;

    void stop();

    /// \returns the requests by id; after stop().
    [[nodiscard]] const std::map<std::string, called_request> &requests() const noexcept
    {
        return m_requests;
    }

    /// \returns how the requests were handled: refused as one of 401, 403 and 404, or run, once for
    ///          each of \a runs; after stop().
    [[nodiscard]] std::vector<handled_request> handled(const std::vector<service_run> &runs) const;

    /// \returns how many requests were answered with each status; after stop().
    [[nodiscard]] std::map<int, int> statuses() const;

private:
    void run(std::size_t entry, unsigned seed, const std::string &name, bool asksForNothing);
    [[nodiscard]] called_request ask(fakes::keep_alive_connection &connection, std::size_t entry,
                                     const request_subject &subject, const std::string &id) const;
    void record(const std::string &id, const called_request &request);

    const zone_cluster &m_system;
    const document_edits &m_edits;
    std::mutex m_mutex; ///< guards m_requests
    std::map<std::string, called_request> m_requests;
    std::atomic<bool> m_stopped{false};
    std::vector<std::thread> m_threads;
};

} // namespace yuccascale::processes
