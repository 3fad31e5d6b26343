#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <optional>

/// \file
/// \brief Decides which requests an entry that is shutting down still begins, and until when it
/// answers them.

namespace yuccascale::kernel::requests {

/// \brief The time that an entry has left after a request to shut down.
///
/// \example
///     const drain_plan plan(leavingSince, shutdownLimit);
///     if (!plan.endsInTime(now, deadline, longestAnswer))
///         refuse();
class drain_plan
{
public:
    /// \brief The plan of an entry that is not leaving: it never ends.
    drain_plan() = default;

    /// \param limit from \a since to the end of the process; zero: no bound
    drain_plan(instant since, nanoseconds limit) noexcept;

    /// \returns when the last answer must have been sent.
    [[nodiscard]] instant end() const noexcept { return m_end; }

    /// \param answerBy the latest end that the caller and the route allow
    /// \param longestAnswer time that recent answers of the kind took at most; nothing when none
    ///        was seen, so that only \a answerBy bounds it
    /// \returns whether a request that begins now ends before the process.
    [[nodiscard]] bool endsInTime(instant now, instant answerBy,
                                  std::optional<nanoseconds> longestAnswer) const noexcept;

private:
    instant m_end = instant::max();
};

} // namespace yuccascale::kernel::requests
