#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <optional>

/// \file
/// \brief Decides which requests an entry refuses while it is short of processor time.

namespace yuccascale::kernel::requests {

/// \brief Sheds load, so that what is admitted does not wait long for the processor.
///
/// Once requests have waited for the event loop longer than they should for some time, a part of
/// the new ones is refused before any work is done for it. The part grows with the lag, so the lag
/// settles where the work that is admitted fits: at an offered load of k times the capacity, at the
/// square root of k times the tolerated lag. A short pause of the process sheds nothing. Not
/// thread-safe.
class load_shedder
{
public:
    /// A request waits for the loop some ten times from its connection to the end of its answer.
    static constexpr milliseconds toleratedLag{25};
    /// Time for which the lag must have been longer.
    static constexpr milliseconds patience{250};

    /// \param lag how long work now waits for the event loop
    /// \returns whether to admit the next request.
    [[nodiscard]] bool admit(instant now, nanoseconds lag) noexcept;

private:
    std::optional<instant> m_lateSince; ///< the lag has been too long
    double m_credit = 0; ///< requests that may be admitted; a refused one leaves its part here
};

} // namespace yuccascale::kernel::requests
