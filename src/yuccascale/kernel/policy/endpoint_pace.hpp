#pragma once

#include "yuccascale/kernel/clock.hpp"

/// \file
/// \brief How long work takes at an endpoint now, relative to the usual time there.

namespace yuccascale::kernel::policy {

/// \brief The pace of an endpoint: 1 is usual, 2.5 means that work takes 2.5 times as long.
///
/// Addresses endpoints that other work on their VM slows down for some hundreds of milliseconds.
/// The last figure tells about the next tens of milliseconds; longer work meets several paces, so
/// it is predicted from an average. Without figures the pace is the usual one.
class endpoint_pace
{
public:
    /// \brief Records a reported figure, unless a newer one is known.
    void observe(instant measuredAt, double pace) noexcept;

    /// \returns whether a figure was ever recorded.
    [[nodiscard]] bool reported() const noexcept { return m_measuredAt != instant{}; }

    /// \returns the mean pace from \a now until \a workSeconds later.
    [[nodiscard]] double expected(instant now, double workSeconds) const noexcept;

    /// \returns the average with decay, without the last figure.
    [[nodiscard]] double average(instant now) const noexcept;

private:
    instant m_measuredAt{};
    double m_last = 1;
    double m_average = 1; ///< at m_measuredAt
};

} // namespace yuccascale::kernel::policy
