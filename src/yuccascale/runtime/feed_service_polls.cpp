#include "yuccascale/runtime/events.hpp"
#include "yuccascale/runtime/feed_service.hpp"
#include "yuccascale/wire/feed_codec.hpp"

#include <algorithm>
#include <array>
#include <utility>

/// \file
/// \brief How a feed_service polls: which nodes it asks, how long it waits, and what it makes of
/// the answers.

namespace yuccascale::runtime {

using namespace kernel;

/// Asks other control nodes while the list of endpoints is too old, the leader's own included. No
/// round waits for their answers.
void feed_service::askForList(const std::set<std::string> &tried)
{
    std::unique_lock lock(m_mutex);
    if (m_state.endpoints()->version == 0)
        return;
    std::vector<std::string> nodes = knownControlNodes();
    std::erase_if(nodes, [&](const std::string &node) { return !mayAsk(node, tried); });
    nodes = m_listSearch.next(m_clock.now(), m_state.endpointsAskedAt(), nodes);
    lock.unlock();
    const bool leads = isLeader();
    for (const std::string &node : nodes)
        static_cast<void>(beginPoll(node, leads));
}

void feed_service::recordListAge()
{
    std::unique_lock lock(m_mutex);
    const auto askedAt = m_state.endpointsAskedAt();
    const std::uint64_t version = m_state.endpoints()->version;
    lock.unlock();
    const instant now = m_clock.now();
    const bool old = version != 0 && m_listTimes.tooOld(now, askedAt);
    if (std::exchange(m_listOld, old) == old)
        return;
    m_events.record(
            old ? endpointListOld : endpointListRenewed,
            {{"age_ms",
              askedAt ? std::chrono::duration_cast<milliseconds>(now - *askedAt).count() : -1},
             {"endpoint_list", version}});
}

bool feed_service::isLeader() const
{
    return m_leaderState != nullptr && m_leaderState->leader() == m_settings.linkAddress;
}

/// \returns true when this node leads, and a quorum has confirmed that.
bool feed_service::readLocalLeader()
{
    const instant sentAt = m_clock.now();
    if (!isLeader())
        return false;
    feed::confirmed_state reading;
    error problem;
    const bool confirmed = succeeded(
            [&]() -> result<void> {
                BOOST_LEAF_ASSIGN(
                        reading,
                        m_leaderState->confirmedReading(sentAt + m_settings.control.freshness));
                return {};
            },
            problem);
    if (!confirmed)
        return false;
    std::unique_lock lock(m_mutex);
    const instant now = m_clock.now();
    const bool newer = m_state.installConfirmedState(sentAt, now, reading, selfReport());
    static_cast<void>(m_state.leases(now));
    lock.unlock();
    notifyPeers(newer);
    m_editAnswers.check();
    return true;
}

std::shared_ptr<feed_service::begun_poll> feed_service::beginPoll(const std::string &peer,
                                                                  bool listOnly)
{
    auto begun = std::make_shared<begun_poll>();
    begun->peer = peer;
    begun->listOnly = listOnly;
    {
        const std::lock_guard lock(m_mutex);
        m_polls[peer] = begun;
    }
    m_pollers.run([this, begun] { runPoll(begun); });
    return begun;
}

/// Waits until the poll has ended, or there is a reason to go on beside it: its node is silent,
/// another one has sent a notification, or this node leads now. \returns whether the round has
/// found what it wanted.
bool feed_service::awaitPoll(const begun_poll &begun)
{
    const auto bytes = [&] { return m_transport.bytesReceived(begun.peer, channel::Feed); };
    std::uint64_t before = bytes();
    std::unique_lock lock(m_mutex);
    while (!m_stopped && !begun.ended) {
        const bool woken = m_wake.wait_for(lock, m_times.hedgeDelay(), [&] {
            return m_stopped || begun.ended || isNotified() || isLeader();
        });
        if (begun.ended || m_stopped)
            break;
        if (woken)
            return false;
        const std::uint64_t now = bytes();
        if (now == before)
            return false;
        before = now;
    }
    return m_stopped || begun.upToDate;
}

/// Requires m_mutex to be held. \returns whether a node that has sent a notification is to be
/// asked.
bool feed_service::isNotified() const
{
    return !m_notifier.empty() && !m_polls.contains(m_notifier);
}

void feed_service::runPoll(const std::shared_ptr<begun_poll> &begun)
{
    const instant sentAt = m_clock.now();
    std::unique_lock lock(m_mutex);
    feed::feed_request request = m_state.request(sentAt, selfReport(), true);
    request.confirmNow = m_confirmationsAwaited > 0;
    lock.unlock();
    feed::feed_reply reply;
    error problem;
    const bool answered = succeeded(
            [&]() -> result<void> {
                const call_timeout timeout{m_times.longestPoll(), m_times.silentTime()};
                BOOST_LEAF_AUTO(bytes,
                                m_transport.call(begun->peer, channel::Feed,
                                                 wire::encodeFeedRequest(request), timeout));
                BOOST_LEAF_ASSIGN(reply, wire::decodeFeedReply(bytes));
                return {};
            },
            problem);
    const nanoseconds lag = m_times.freshness - milliseconds(reply.freshForMs);
    lock.lock();
    const std::uint64_t revisionBefore = m_state.revision();
    const instant arrivedAt = m_clock.now();
    const bool newer = answered
            && (begun->listOnly ? m_state.installEndpoints(sentAt, arrivedAt, reply)
                                : m_state.install(sentAt, reply, arrivedAt));
    m_pollRequested = m_state.takeMissedChanges() || m_pollRequested;
    const bool tablesNewer = m_state.revision() != revisionBefore;
    static_cast<void>(m_state.leases(arrivedAt));
    if (answered)
        m_reportPeer = begun->peer;
    const poll_outcome outcome = answered ? judge(reply) : poll_outcome::Unanswered;
    if (outcome == poll_outcome::UpToDate)
        m_relays.upToDate(begun->peer);
    else if (outcome == poll_outcome::Behind)
        m_relays.outdated(m_clock.now(), begun->peer);
    else
        m_relays.unreachable(m_clock.now(), begun->peer);
    lock.unlock();
    recordOutcome(begun->peer, outcome, m_clock.now() - sentAt, answered ? lag : nanoseconds());
    notifyPeers(newer);
    if (newer)
        tellListener();
    if (tablesNewer && m_leaderState == nullptr)
        reportTo(begun->peer);
    else if (tablesNewer)
        reportSoon();
    m_editAnswers.check();
    lock.lock();
    begun->ended = true;
    begun->upToDate = outcome == poll_outcome::UpToDate;
    m_polls.erase(begun->peer);
    m_wake.notify_all();
    m_polled.notify_all();
}

/// Requires m_mutex to be held, and \a reply to be installed as far as it can be.
feed_service::poll_outcome feed_service::judge(const feed::feed_reply &reply) const
{
    const nanoseconds lag = m_times.freshness - milliseconds(reply.freshForMs);
    const bool current = reply.confirmed && lag <= m_times.longestLag();
    return current && reply.revision == m_state.revision() ? poll_outcome::UpToDate
                                                           : poll_outcome::Behind;
}

/// Records what came of a poll when it differs from the poll of that node before.
void feed_service::recordOutcome(const std::string &peer, poll_outcome outcome, nanoseconds took,
                                 nanoseconds lag)
{
    static constexpr std::array<std::string_view, 3> names{"up to date", "behind", "unanswered"};
    {
        const std::lock_guard lock(m_mutex);
        const auto [known, isNew] = m_outcomes.try_emplace(peer, poll_outcome::UpToDate);
        if (std::exchange(known->second, outcome) == outcome)
            return;
    }
    const auto inMs = [](nanoseconds time) {
        return std::chrono::duration_cast<milliseconds>(time).count();
    };
    m_events.record(feedPolled,
                    {{"peer", peer},
                     {"outcome", names.at(static_cast<std::size_t>(outcome))},
                     {"took_ms", inMs(took)},
                     {"lag_ms", inMs(lag)}});
}

void feed_service::tellListener()
{
    if (m_listener)
        m_listener();
}

/// Requires m_mutex to be held.
bool feed_service::mayAsk(const std::string &node, const std::set<std::string> &tried) const
{
    return !node.empty() && node != m_settings.linkAddress && !tried.contains(node)
            && !m_polls.contains(node);
}

/// \returns the node to ask next in a round; empty when there is none. One that holds a newer
/// revision goes first, then, on a control node, the leader.
std::string feed_service::selectTarget(const std::set<std::string> &tried)
{
    if (isLeader())
        return {};
    std::string leader = m_leaderState != nullptr ? m_leaderState->leader() : std::string();
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> nodes = knownControlNodes();
    std::string notifier = std::exchange(m_notifier, {});
    if (std::ranges::find(nodes, notifier) != nodes.end() && mayAsk(notifier, tried))
        return notifier;
    if (mayAsk(leader, tried))
        return leader;
    std::string lastLeader = m_state.view().leader;
    if ((m_confirmationsAwaited > 0 || editsWait()) && mayAsk(lastLeader, tried))
        return lastLeader;
    std::erase_if(nodes, [&](const std::string &node) { return !mayAsk(node, tried); });
    return m_relays.choose(m_clock.now(), nodes);
}

} // namespace yuccascale::runtime
