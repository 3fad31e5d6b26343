#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Identifies requests that crash endpoints.

namespace yuccascale::kernel::requests {

/// \brief Time windows that distinguish a crash caused by a request from the loss of an
/// availability zone.
struct suspect_limits
{
    /// Broken connections of one endpoint within this time count as one crash.
    nanoseconds sameCrashWindow = seconds(2);
    /// Crashes of two endpoints of a zone within this time count as loss of the zone.
    nanoseconds zoneLossWindow = seconds(2);
    /// Time after which suspects and crashes are removed.
    nanoseconds retention = std::chrono::minutes(10);
};

/// \brief Tracks the requests that this entry was running at endpoints when they crashed.
///
/// Every request that was running at an endpoint when it crashed becomes a suspect. A suspect is
/// run on an endpoint without other suspects, so that a second crash identifies the request that
/// causes the crashes.
class crash_suspects
{
public:
    crash_suspects() = default;
    explicit crash_suspects(suspect_limits limits)
        : m_limits(limits)
    { }

    /// \brief Records that a request was sent to an endpoint.
    void started(const std::string &endpoint, const std::string &fingerprint);

    /// \brief Records that the endpoint no longer runs a request, for another reason than a crash.
    /// \param answered a complete answer arrived, which clears the request of suspicion
    void finished(const std::string &endpoint, const std::string &fingerprint, bool answered);

    /// \brief Records that an endpoint crashed while running requests.
    /// \returns the fingerprint identified as the cause, or an empty string.
    [[nodiscard]] std::string crashed(instant now, const std::string &endpoint,
                                      const std::string &zone);

    /// \returns true while the request must be isolated from other suspects.
    [[nodiscard]] bool isSuspect(const std::string &fingerprint) const;

    /// \returns true when the endpoint is running a suspect other than \a fingerprint.
    [[nodiscard]] bool runsAnotherSuspect(const std::string &endpoint,
                                          const std::string &fingerprint) const;

    /// \returns the number of suspect fingerprints.
    [[nodiscard]] std::size_t size() const noexcept { return m_suspects.size(); }

private:
    struct crash
    {
        instant at{};
        std::string zone;
    };

    [[nodiscard]] bool zoneLost(instant now, const std::string &endpoint,
                                const std::string &zone) const;
    void removeExpired(instant now);

    suspect_limits m_limits;
    std::map<std::string, std::multiset<std::string>> m_running; ///< by endpoint
    std::map<std::string, instant> m_suspects; ///< time of their first crash, by fingerprint
    std::map<std::string, crash> m_crashes;    ///< last crash of each endpoint
};

} // namespace yuccascale::kernel::requests
