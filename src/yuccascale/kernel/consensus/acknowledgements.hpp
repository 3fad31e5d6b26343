#pragma once

#include "yuccascale/kernel/consensus/types.hpp"

#include <map>

/// \file
/// \brief Send times of the requests that members acknowledged, to confirm the leader and its
/// lease.

namespace yuccascale::kernel::consensus {

/// \brief For each member, the send time of the newest request that it acknowledged.
class acknowledgements
{
public:
    /// \brief Discards all send times; called when a leader's term begins.
    void clear() noexcept { m_sentAt.clear(); }

    /// \brief Records that \a member acknowledged a request that was sent at \a sentAt.
    void record(const member_id &member, instant sentAt);

    /// \returns the latest time such that requests sent at it or later were acknowledged by a
    ///          quorum of \a members, counting \a self as acknowledging at \a now.
    [[nodiscard]] instant quorumAckedSendTime(const membership &members, const member_id &self,
                                              instant now) const;

    /// \returns when the newest request that \a member acknowledged was sent; instant::min() when
    ///          it acknowledged none.
    [[nodiscard]] instant lastAckedSendTime(const member_id &member) const;

private:
    std::map<member_id, instant> m_sentAt;
};

} // namespace yuccascale::kernel::consensus
