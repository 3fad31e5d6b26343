#include "yuccascale/runtime/feed_service.hpp"
#include "yuccascale/wire/feed_codec.hpp"

#include <algorithm>
#include <utility>

/// \file
/// \brief How a feed_service learns and tells that an edit is in force everywhere.

namespace yuccascale::runtime {

using namespace kernel;

namespace {

/// Least time between two polls while an operator waits for an edit to be settled.
constexpr milliseconds shortestSettlingInterval{20};
/// An edit that has waited longer is asked for less often: after a fourth of that time again.
constexpr int settlingShare = 4;
/// A relay waits so long for more nodes that report a new revision, and tells the leader of all at
/// once.
constexpr milliseconds reportJoinTime{20};

} // namespace

milliseconds feed_service::settlingPollInterval() const
{
    const milliseconds usual = m_settings.control.feedInterval;
    const nanoseconds waited = m_clock.now() - m_editAnswers.newest().value_or(m_clock.now());
    const auto later = std::chrono::duration_cast<milliseconds>(waited / settlingShare);
    return std::clamp(later, std::min(shortestSettlingInterval, usual), usual);
}

/// Tells \a peer what is in force here, and on the nodes that asked this one, before the next poll.
void feed_service::reportTo(const std::string &peer)
{
    std::unique_lock lock(m_mutex);
    if (peer.empty() || m_state.leases(m_clock.now()).longestWait() == nanoseconds::zero())
        return;
    const feed::feed_request request = m_state.request(m_clock.now(), selfReport(), true);
    lock.unlock();
    m_transport.post(peer, channel::Feed, wire::encodeFeedRequest(request));
}

void feed_service::reportSoon()
{
    if (isLeader())
        return;
    {
        const std::lock_guard lock(m_mutex);
        m_reportAt = std::min(m_reportAt, m_clock.now() + reportJoinTime);
    }
    m_wake.notify_all();
}

std::optional<instant> feed_service::leadingSince(instant now) const
{
    return m_leaderState == nullptr ? std::nullopt : m_leaderState->leadingSince(now);
}

/// Leadership is judged under the lock: what this node learns of another leader meanwhile would
/// otherwise pass for its own.
std::uint64_t feed_service::settledRevision()
{
    const std::lock_guard lock(m_mutex);
    const instant now = m_clock.now();
    return m_state.leases(now).settled(now, leadingSince(now));
}

std::string feed_service::slowestNode()
{
    const std::lock_guard lock(m_mutex);
    const auto *slowest = m_state.leases(m_clock.now()).slowest();
    return slowest == nullptr ? std::string() : slowest->report.node;
}

void feed_service::answerWhenSettled(std::uint64_t revision, std::uint64_t document,
                                     instant deadline, std::function<void(bool settled)> answer)
{
    const instant now = m_clock.now();
    std::unique_lock lock(m_mutex);
    const feed::table_leases &leases = m_state.leases(now);
    const nanoseconds longestWait = leases.longestWait();
    if (document != 0) // later edits do not put it off when it is sent again
        revision = std::min(revision, leases.revisionOf(document).value_or(revision));
    lock.unlock();
    if (longestWait == nanoseconds::zero())
        return answer(true);
    m_editAnswers.add({revision, now + longestWait, deadline, std::move(answer)});
    pollSoon();
}

} // namespace yuccascale::runtime
