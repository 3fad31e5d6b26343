#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/requests/request.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Identifies parts of prompts that crash the endpoints which generate from them.

namespace yuccascale::kernel::requests {

using part_set = std::set<std::uint64_t>; ///< ids of prompt parts

/// \returns ids of the parts that other requests may share: all but the last.
[[nodiscard]] part_set sharedParts(std::span<const prompt_part> parts);

/// \returns the fingerprint under which a pool's requests that hold all of \a parts are banned.
[[nodiscard]] std::string partBanOf(std::string_view pool, const part_set &parts);

/// \returns whether one of the \a bans is for parts that a request of \a pool holds.
[[nodiscard]] bool isBannedByParts(const std::set<std::string> &bans, std::string_view pool,
                                   std::span<const prompt_part> parts);

/// \brief How much evidence identifies a part as the cause of crashes.
struct part_suspect_limits
{
    /// Broken connections of one endpoint within this time count as one crash.
    nanoseconds sameCrashWindow = seconds(2);
    /// Crashes closer than this may have one common cause, such as the loss of a zone.
    nanoseconds independentAfter = milliseconds(500);
    std::size_t leastCrashes = 3;
    /// A part is the cause when a sound one would be in as many crashes with at most this
    /// probability.
    double chanceOfError = 1e-6;
    /// The share of all requests that are lost in crashes is taken over this time.
    nanoseconds rateWindow = seconds(10);
    /// Time after which a crash is forgotten.
    nanoseconds retention = std::chrono::minutes(10);
    std::size_t maxCrashes = 64; ///< kept
    /// Between two evaluations, since many endpoints may crash at once.
    nanoseconds evaluationInterval = milliseconds(100);
    nanoseconds banTime = std::chrono::minutes(60);
};

/// \brief Collects, from all entries, which parts endpoints were working on when they crashed.
///
/// A part of an answered prompt is cleared. A part that was present in several independent crashes,
/// and was not cleared since, is the cause if so many would be unlikely for a sound part: as likely
/// as that a request is lost in one of the other crashes, for each of them. Another part that was
/// present in all of them and in more goes before it. Parts that were always present together are
/// banned together: requests with only some of them still run and clear the sound ones. Not
/// thread-safe; its owner serialises calls.
///
/// \example
///     if (suspects.crashed(now, "engine-7", {0x5c1e, 0x91bd}, 1))
///         tellOtherEntries();
///     for (const part_set &cause : suspects.takeCauses(now))
///         ban(partBanOf("engines", cause));
class part_suspects
{
public:
    part_suspects() = default;
    explicit part_suspects(part_suspect_limits limits)
        : m_limits(limits)
    { }

    /// \brief Records that an endpoint crashed while it worked on prompts with \a parts.
    /// \param lostRequests requests of this entry that failed in it; 0 for another entry's report
    /// \returns false when the parts of this crash were known.
    bool crashed(instant now, const std::string &endpoint, const part_set &parts,
                 std::size_t lostRequests);

    /// \brief Records an answered request of this entry, and clears its parts.
    /// \returns those that were suspected.
    part_set answered(instant now, const part_set &parts);

    /// \brief Clears parts that another entry saw answered.
    /// \returns those that were suspected.
    part_set clear(const part_set &parts);

    /// \returns the causes found since the last call. Cheap when there is no new evidence; new
    ///          evidence may be evaluated by a later call.
    [[nodiscard]] std::vector<part_set> takeCauses(instant now);

    /// \returns whether a request holds all parts of a cause.
    [[nodiscard]] bool isBanned(instant now, std::span<const prompt_part> parts) const;

private:
    struct crash
    {
        std::string endpoint;
        instant at{};
        part_set parts;
        std::size_t lostRequests = 0; ///< of this entry
    };
    /// Requests of this entry that were answered within one second.
    struct answer_count
    {
        instant from{};
        std::size_t answers = 0;
    };
    using crash_set = std::set<std::size_t>; ///< indexes of crashes

    void removeExpired(instant now);
    [[nodiscard]] std::map<std::uint64_t, crash_set> crashesByPart() const;
    [[nodiscard]] std::size_t independentCount(const crash_set &crashes) const;
    [[nodiscard]] double lossRateOutside(instant now, const crash_set &crashes) const;
    [[nodiscard]] bool isUnlikelyForASoundPart(instant now, const crash_set &crashes) const;

    part_suspect_limits m_limits;
    std::deque<crash> m_crashes;               ///< in the order of their times
    std::deque<answer_count> m_answers;        ///< within the rate window
    bool m_evidenceChanged = false;            ///< since the last evaluation
    instant m_evaluateFrom{};                  ///< no evaluation before
    std::map<part_set, instant> m_bannedUntil; ///< by cause
};

} // namespace yuccascale::kernel::requests
