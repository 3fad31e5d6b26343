#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/policy/prefill_rates.hpp"

#include <cstdint>
#include <vector>

/// \file
/// \brief Measures the work of one entry for the endpoints of a pool, from which the leader plans
///        their number.

namespace yuccascale::kernel::requests {

/// \brief Length of a span. The leader adds the spans of all entries, so that a wave of seconds is
///        not averaged away by reports that entries send at different times.
inline constexpr milliseconds workSpanLength{250};

/// \brief Work of one span.
struct work_span
{
    double uncachedTokens = 0; ///< prompt tokens that engines have to compute
    double steadyTokens = 0;   ///< part of them that only steady endpoints may compute
    double busySeconds = 0;    ///< time that requests spent at endpoints, summed over requests
    double steadySeconds = 0;  ///< part of it at requests that only steady endpoints may run

    work_span &operator+=(const work_span &other) noexcept;
    [[nodiscard]] bool operator==(const work_span &) const = default;
};

/// \brief What became of the requests of one interval.
struct request_counts
{
    double offered = 0;
    double late = 0;     ///< refused by this entry, or begun after the target for the first token
    double sent = 0;     ///< to endpoints, further attempts included
    double rejected = 0; ///< by endpoints that did not run them
    double waiting = 0;  ///< at the end of the interval
    double running = 0;  ///< at the end of the interval

    request_counts &operator+=(const request_counts &other) noexcept;
    [[nodiscard]] bool operator==(const request_counts &) const = default;
};

/// \brief Work of one entry between two reports.
struct work_report
{
    milliseconds interval{};           ///< between the reports
    std::vector<work_span> spans;      ///< the oldest first; the last one may be shorter
    double prefillTokensPerSecond = 0; ///< learnt, of one engine; 0: nothing observed
    request_counts counts;

    [[nodiscard]] bool operator==(const work_report &) const = default;
};

/// \brief Counts work between two reports. Not thread-safe.
class work_meter
{
public:
    /// \brief Counts a request of a caller.
    /// \param refused this entry refused it at once
    void offered(bool refused) noexcept;

    /// \brief Counts queued requests that were refused later.
    void refusedLater(std::size_t count) noexcept;

    /// \brief Counts a request that is sent to endpoints.
    /// \param uncachedTokens expected
    /// \param slots that it takes
    void sent(instant now, std::int64_t uncachedTokens, int slots, bool steadyOnly);

    /// \brief Counts slots that a request no longer takes.
    void ended(instant now, int slots, bool steadyOnly);

    /// \brief Counts a request that an endpoint did not run.
    void rejected() noexcept;

    /// \brief Counts an answer.
    /// \param moreTokens prompt tokens computed beyond the expected ones
    /// \param late its first token came after the target
    void answered(instant now, std::int64_t moreTokens, bool steadyOnly, bool late);

    /// \brief Learns the prefill rate of engines; short prompts show other delays and are ignored.
    /// \param tokensAhead prompt tokens that the engine had to compute before
    void prefilled(std::int64_t tokens, std::int64_t tokensAhead, nanoseconds time) noexcept;

    /// \returns the work since the last call, or since the first event.
    [[nodiscard]] work_report takeReport(instant now, std::size_t waiting);

private:
    void advance(instant now);
    [[nodiscard]] work_span &spanAt(instant now);
    void addTokens(instant now, std::int64_t tokens, bool steadyOnly);

    instant m_startedAt{}; ///< of the interval
    instant m_countedTo{}; ///< busy time is counted up to here
    std::vector<work_span> m_spans;
    request_counts m_counts;
    int m_busySlots = 0;
    int m_steadySlots = 0;
    /// What an engine can do shows in prefills that did not wait: the others include the wait
    /// behind work that this entry does not know of.
    static constexpr double unhinderedQuantile = 0.9;
    policy::quantile_tracker m_prefillRate{unhinderedQuantile, 0};
};

} // namespace yuccascale::kernel::requests
