#pragma once

#include "yuccascale/kernel/clock.hpp"

/// \file
/// \brief Decides when "no such key" or "no such route" may be said.

namespace yuccascale::kernel::requests {

/// \brief What an entry does with a request that its tables do not allow.
enum class negative_verdict {
    Final,             ///< the tables are new enough to refuse it
    AwaitConfirmation, ///< an edit that allows it may be in force; the tables are to be confirmed
                       ///< first
    NotReady,          ///< no confirmation came in time
};

/// \brief When tables are new enough for a negative answer.
///
/// A request that the tables allow needs no such care: an edit is acknowledged only when no lease
/// on older tables outlasts what is promised (feed::table_leases). A refusal that is wrong ends a
/// request that is in order.
struct negative_answer_rule
{
    nanoseconds propagation; ///< until an acknowledged edit is in force everywhere; 0: no bound
    nanoseconds patience;    ///< how long a request is held for a confirmation

    /// \param receivedAt when the request arrived
    /// \param confirmedAt when the tables were certainly the newest
    [[nodiscard]] negative_verdict judge(instant now, instant receivedAt,
                                         instant confirmedAt) const noexcept
    {
        if (propagation == nanoseconds::zero() || receivedAt - confirmedAt <= propagation)
            return negative_verdict::Final;
        return now - receivedAt < patience ? negative_verdict::AwaitConfirmation
                                           : negative_verdict::NotReady;
    }
};

} // namespace yuccascale::kernel::requests
