#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <optional>

/// \file
/// \brief This entry's part of a request rate that an endpoint accepts from all entries together.

namespace yuccascale::kernel::requests {

/// \brief What an endpoint tolerates beyond the rate that it named.
struct limit_tolerance
{
    nanoseconds window = seconds(4); ///< any span of this length counts
    double factor = 1.5;             ///< of the named rate
    double requests = 5;             ///< in addition
};

/// \brief Place of this entry in the order in which the entries may send to one endpoint.
struct limit_position
{
    int rank = 0; ///< each entry has another one, from 0
    int entries = 1;

    [[nodiscard]] bool operator==(const limit_position &) const = default;
};

/// \brief A token bucket whose rate is this entry's part of the named rate.
///
/// The rate is divided among as many entries as may each save up one request without exceeding half
/// of the tolerance; the others send nothing. So the sum over all entries keeps the rate however
/// many they are, and the other half is left for entries that disagree about who is running and for
/// requests that arrive later than they were sent. An entry that has not heard of the endpoint for
/// a while asks it again, at a quarter of the rate for all such entries together.
///
/// \example
///     shared_limit limit(now, 1.7, {rank, entries});
///     if (limit.allows(now))
///         limit.sent(now);
class shared_limit
{
public:
    /// \param requestsPerSecond named by the endpoint for all entries together
    shared_limit(instant now, double requestsPerSecond, limit_position position,
                 limit_tolerance tolerance = {}) noexcept;

    /// \brief The endpoint named this rate again, or another one.
    void named(instant now, double requestsPerSecond) noexcept;
    void setPosition(instant now, limit_position position) noexcept;

    /// \returns whether one more request may be sent now.
    [[nodiscard]] bool allows(instant now) const noexcept { return tokensAt(now) >= 1; }

    /// \returns the rate at which this entry may send, per second; 0: it may not.
    [[nodiscard]] double ownRate() const noexcept;

    /// \returns the time until this entry may send one more request; nothing when it may not.
    [[nodiscard]] std::optional<nanoseconds> timeUntilAllowed(instant now) const noexcept;

    /// \brief Counts a request that is sent.
    void sent(instant now) noexcept;

    [[nodiscard]] double requestsPerSecond() const noexcept { return m_requestsPerSecond; }

private:
    [[nodiscard]] double rateOfAll() const noexcept;
    [[nodiscard]] double savedByAll() const noexcept;
    [[nodiscard]] int senders() const noexcept;
    [[nodiscard]] bool isSender() const noexcept { return m_position.rank < senders(); }
    [[nodiscard]] double capacity() const noexcept;
    [[nodiscard]] double tokensAt(instant now) const noexcept;
    [[nodiscard]] double firstTokens(int entries) const noexcept;
    void waitForSilence(instant now) noexcept;
    void roleChanged(instant now, bool wasSender) noexcept;
    void settle(instant now) noexcept;

    double m_requestsPerSecond;
    limit_position m_position;
    limit_tolerance m_tolerance;
    instant m_namedAt;     ///< the last time
    instant m_settledAt{}; ///< m_tokens were saved up by then
    double m_tokens = 0;   ///< requests that may be sent
};

} // namespace yuccascale::kernel::requests
