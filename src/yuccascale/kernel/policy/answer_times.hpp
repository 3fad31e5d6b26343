#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <optional>

/// \file
/// \brief Keeps how long the answers to one kind of request took at most.

namespace yuccascale::kernel::policy {

/// \brief The longest time to a complete answer among those of the last half a minute or so.
class answer_times
{
public:
    /// \param time from a request's arrival to the end of its answer
    void answered(instant now, nanoseconds time) noexcept;

    /// \param time from a request's arrival to its end without an answer, which would have taken
    ///        longer
    void ended(instant now, nanoseconds time) noexcept;

    /// \returns the longest time; nothing when only a few requests were answered lately.
    [[nodiscard]] std::optional<nanoseconds> longest(instant now) const noexcept;

private:
    /// The longest time in a part of the observed span.
    struct period
    {
        instant from{};
        nanoseconds longest{};
        int answers = 0;
        bool used = false;
    };

    [[nodiscard]] period &at(instant now) noexcept;

    period m_current;
    period m_last;
};

} // namespace yuccascale::kernel::policy
