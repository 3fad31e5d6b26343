#include "yuccascale/kernel/consensus/acknowledgements.hpp"

#include <algorithm>
#include <functional>
#include <vector>

namespace yuccascale::kernel::consensus {

void acknowledgements::record(const member_id &member, instant sentAt)
{
    instant &newestSentAt = m_sentAt.try_emplace(member, sentAt).first->second;
    newestSentAt = std::max(newestSentAt, sentAt);
}

instant acknowledgements::quorumAckedSendTime(const membership &members, const member_id &self,
                                              instant now) const
{
    std::vector<instant> sendTimes;
    for (const member_id &voter : members.voters)
        sendTimes.push_back(voter == self ? now : lastAckedSendTime(voter));
    if (sendTimes.empty())
        return instant::min();
    std::ranges::sort(sendTimes, std::greater<>());
    return sendTimes[members.quorum() - 1];
}

instant acknowledgements::lastAckedSendTime(const member_id &member) const
{
    const auto found = m_sentAt.find(member);
    return found == m_sentAt.end() ? instant::min() : found->second;
}

} // namespace yuccascale::kernel::consensus
