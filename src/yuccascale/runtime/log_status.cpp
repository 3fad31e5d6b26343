#include "yuccascale/runtime/log_status.hpp"

#include "yuccascale/kernel/consensus/events.hpp"

#include <utility>

namespace yuccascale::runtime {

using kernel::instant;
using kernel::leadership;
using namespace kernel::consensus;

namespace {

std::string roleName(replica_role role)
{
    switch (role) {
    case replica_role::Joining:
        return "joining";
    case replica_role::Learner:
        return "learner";
    case replica_role::Follower:
        return "follower";
    case replica_role::Candidate:
        return "candidate";
    case replica_role::Leader:
        return "leader";
    }
    return {};
}

std::vector<std::string> namesOf(const std::vector<member_id> &members)
{
    std::vector<std::string> names;
    names.reserve(members.size());
    for (const member_id &member : members)
        names.push_back(member.name);
    return names;
}

} // namespace

replicated_log_status statusOf(const replica &source, std::uint64_t appliedIndex, instant now)
{
    replicated_log_status status;
    status.term = source.term();
    status.role = roleName(source.role());
    status.leader = source.leader();
    status.commitIndex = source.commitIndex();
    status.appliedIndex = appliedIndex;
    status.entriesInMemory = source.log().lastIndex() - source.log().baseIndex();
    status.degraded = source.degradedReasons(now);
    status.voters = namesOf(source.log().members().voters);
    status.learners = namesOf(source.log().members().learners);
    return status;
}

published_log_status::published_log_status(kernel::event_sink &events)
    : m_events(events)
{
    m_status.role = "stopped";
}

void published_log_status::publish(replicated_log_status status, std::optional<leadership> held,
                                   instant now)
{
    std::optional<leadership> previous;
    {
        const std::lock_guard lock(m_mutex);
        const bool unchanged = status.role == m_status.role && status.leader == m_status.leader;
        status.stateSince = unchanged ? m_status.stateSince : now;
        m_status = std::move(status);
        previous = std::exchange(m_leadership, held);
    }
    if (!held)
        recordLoss(previous);
}

void published_log_status::publishStopped(const std::string &reason, instant now)
{
    const std::lock_guard lock(m_mutex);
    m_leadership.reset();
    m_status.role = "stopped";
    m_status.leader.clear();
    m_status.stateSince = now;
    m_status.degraded = {reason};
}

void published_log_status::revokeLeadership()
{
    std::optional<leadership> previous;
    {
        const std::lock_guard lock(m_mutex);
        previous = std::exchange(m_leadership, std::nullopt);
    }
    recordLoss(previous);
}

void published_log_status::recordLoss(const std::optional<leadership> &lost)
{
    if (lost)
        m_events.record(authorityLost, {{"fence", lost->fence}});
}

replicated_log_status published_log_status::status() const
{
    const std::lock_guard lock(m_mutex);
    return m_status;
}

std::string published_log_status::leader() const
{
    const std::lock_guard lock(m_mutex);
    return m_status.leader;
}

std::optional<leadership> published_log_status::leadershipAt(instant now) const
{
    const std::lock_guard lock(m_mutex);
    if (!m_leadership || now >= m_leadership->leaseEnd)
        return std::nullopt;
    return m_leadership;
}

} // namespace yuccascale::runtime
