#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/requests/request.hpp"

#include <optional>

/// \file
/// \brief Decides which requests an entry that is shutting down still begins, and until when it
/// answers them.

namespace yuccascale::kernel::requests {

/// \brief The time that an entry has left after a request to shut down.
///
/// Only a request's deadline bounds its time. How long other requests took is an estimate, on which
/// a request is begun only if it is idempotent, and only early in the shutdown, while callers
/// cannot know of it yet and most of the time limit is left.
///
/// \example
///     const drain_plan plan(leavingSince, shutdownLimit, addressTtl);
///     if (!plan.endsInTime(now, callerRequest, longestAnswer))
///         refuse();
class drain_plan
{
public:
    /// \brief The plan of an entry that is not leaving: it never ends.
    drain_plan() = default;

    /// \param limit from \a since to the end of the process; zero: no bound
    /// \param addressTtl how long callers may hold a list of entries that they got before \a since
    drain_plan(instant since, nanoseconds limit, nanoseconds addressTtl = {}) noexcept;

    /// \returns when the last answer must have been sent.
    [[nodiscard]] instant end() const noexcept { return m_end; }

    /// \returns how long callers may take after end() to close their connections; as much again is
    ///          left to end the process.
    [[nodiscard]] nanoseconds closingTime() const noexcept { return m_closingTime; }

    /// \param longestAnswer time that recent answers of the kind took at most once sent; nothing
    ///        when none was seen
    /// \returns whether a request that is sent now ends before the process.
    [[nodiscard]] bool endsInTime(instant now, const request &callerRequest,
                                  std::optional<nanoseconds> longestAnswer) const noexcept;

private:
    [[nodiscard]] bool mayEstimate(const request &callerRequest) const noexcept;

    instant m_end = instant::max();
    instant m_estimatesUntil = instant::max(); ///< for requests received by then
    nanoseconds m_closingTime = nanoseconds::max();
};

} // namespace yuccascale::kernel::requests
