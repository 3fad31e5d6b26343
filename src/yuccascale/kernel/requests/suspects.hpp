#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Finds the request that crashes endpoints.

namespace yuccascale::kernel::requests {

/// \brief Times that tell a request's crash from the loss of an availability zone.
struct suspect_limits
{
    nanoseconds sameCrashWindow = seconds(2); ///< broken connections of one endpoint within this
                                              ///< are one crash
    nanoseconds zoneLossWindow
            = seconds(2); ///< two endpoints of a zone crashing within this blame it
    nanoseconds retention = std::chrono::minutes(10);
};

/// \brief What this entry ran on its endpoints at their crashes.
///
/// Everything that an endpoint ran when it crashed is suspect. A suspect runs on an endpoint with
/// no other suspect, so that a second crash has one common request, which is guilty.
class crash_suspects
{
public:
    crash_suspects() = default;
    explicit crash_suspects(suspect_limits limits)
        : m_limits(limits)
    { }

    /// \brief A request was sent to an endpoint.
    void started(const std::string &endpoint, const std::string &fingerprint);

    /// \brief The endpoint no longer runs it, for another reason than a crash.
    /// \param answered a whole answer came: it is no suspect any more
    void finished(const std::string &endpoint, const std::string &fingerprint, bool answered);

    /// \brief An endpoint crashed while it ran the request.
    /// \returns the fingerprint found guilty, or an empty string.
    [[nodiscard]] std::string crashed(instant now, const std::string &endpoint,
                                      const std::string &zone);

    /// \returns true while the request must run apart from other suspects.
    [[nodiscard]] bool isSuspect(const std::string &fingerprint) const;

    /// \returns true when the endpoint runs a suspect other than \a fingerprint.
    [[nodiscard]] bool runsAnotherSuspect(const std::string &endpoint,
                                          const std::string &fingerprint) const;

    /// \returns how many fingerprints are suspect.
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
    std::map<std::string, instant> m_suspects;                   ///< since their first crash
    std::map<std::string, crash> m_crashes;                      ///< the last of each endpoint
};

} // namespace yuccascale::kernel::requests
