#include "yuccascale/kernel/feed/feed_state.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::kernel::feed {

namespace {

/// A node whose last report is older than this is left out of the list of nodes.
constexpr seconds nodeReportMaxAge{3};
/// Another node uses what is no longer in force for one freshness time at most, and may learn of it
/// another one before this node.
constexpr int lagFactor = 2;

[[nodiscard]] milliseconds sinceBoot(instant time) noexcept
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
}

} // namespace

feed_state::feed_state(nanoseconds freshness, nanoseconds propagation)
    : m_freshness(freshness)
    , m_leases(leaseWait(freshness, propagation))
    , m_bans(std::make_shared<const std::set<std::string>>())
{ }

control_view feed_state::view() const
{
    return {m_history.newest(),
            m_freshUntil,
            m_bans,
            m_leader,
            endpoints(),
            m_origins,
            m_freshUntil - m_freshness,
            m_endpoints.askedAt()};
}

feed_request feed_state::request(instant now, const node_report &self, bool includeRelayed) const
{
    feed_request out;
    out.haveTables = m_history.newest() != nullptr;
    out.haveRevision = out.haveTables ? m_history.newest()->revision : 0;
    out.haveBansVersion = m_bansVersion;
    m_endpoints.describe(now, out);
    m_nodes.describe(out);
    out.wantOrigins = !m_origins || !m_origins->knowsAll(now);
    if (includeRelayed) {
        const nanoseconds window = std::max<nanoseconds>(nodeReportMaxAge, m_leases.longestWait());
        out.reports = m_leases.replaced(now, m_directory);
        for (node_report &report : m_directory.reports(now, window))
            out.reports.push_back(std::move(report));
    }
    std::erase_if(out.reports, [&](const auto &report) { return report.node == self.node; });
    out.reports.insert(out.reports.begin(), self);
    return out;
}

bool feed_state::install(instant requestedAt, const feed_reply &reply,
                         std::optional<instant> arrivedAt)
{
    if (!reply.leader.empty())
        m_leader = reply.leader;
    m_leases.learn(reply.settledRevision);
    bool newer = m_endpoints.install(requestedAt, arrivedAt.value_or(requestedAt), reply);
    if (!reply.confirmed || requestedAt < m_requestedAt)
        return newer;
    newer = installTables(reply) || newer;
    if (!m_history.newest() || m_history.newest()->revision != reply.revision)
        return newer; // a reply overtaken by a newer one says nothing about what is in force now
    m_requestedAt = requestedAt;
    installBans(reply.bansVersion, reply.bans);
    m_nodes.install(reply);
    if (reply.clusterWallMs != 0)
        m_wallOffset = milliseconds(reply.clusterWallMs) - sinceBoot(requestedAt);
    const nanoseconds freshFor = std::min<nanoseconds>(milliseconds(reply.freshForMs), m_freshness);
    updateOrigins(requestedAt, freshFor, reply.origins);
    extendFreshness(requestedAt, freshFor);
    return newer;
}

bool feed_state::installTables(const feed_reply &reply)
{
    if (!reply.fullTables.empty())
        return m_history.advance(reply.fullTables.front()->pointer());
    if (reply.edits.empty() || !m_history.newest())
        return false;
    // an answer to another request may have brought some of the edits meanwhile
    const auto first
            = std::ranges::find(reply.edits, m_history.newest()->revision,
                                [](const auto &edit) { return edit->value().fromRevision; });
    if (first == reply.edits.end())
        return false;
    auto next = std::make_shared<state::table_set>(*m_history.newest());
    for (auto edit = first; edit != reply.edits.end(); ++edit)
        applyRows(*next, (*edit)->value(), reply.revision);
    return m_history.advance(next);
}

bool feed_state::installConfirmedState(instant requestedAt, instant now,
                                       const confirmed_state &confirmed, const node_report &self)
{
    m_leader = self.link;
    m_requestedAt = std::max(m_requestedAt, requestedAt);
    const bool newer = m_history.advance(confirmed.tables);
    installBans(confirmed.bansVersion, confirmed.bans);
    std::vector<node_report> nodes = m_directory.reports(now, nodeReportMaxAge);
    std::erase_if(nodes,
                  [&](const node_report &node) { return node.leaving || node.node == self.node; });
    if (!self.leaving)
        nodes.push_back(self);
    m_nodes.set(std::move(nodes));
    updateAgreedTime(now, self);
    updateOrigins(requestedAt, m_freshness, {});
    extendFreshness(requestedAt, m_freshness);
    return newer;
}

/// Takes the median of all reported clocks, which is right as long as fewer than half of them are
/// wrong.
void feed_state::updateAgreedTime(instant now, const node_report &self)
{
    std::vector<milliseconds> offsets{milliseconds(self.wallMs) - sinceBoot(now)};
    for (const auto &[name, node] : m_directory.nodes()) {
        if (node.report.wallMs != 0 && now - node.receivedAt <= nodeReportMaxAge)
            offsets.push_back(milliseconds(node.report.wallMs) - sinceBoot(node.receivedAt));
    }
    const auto median = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::ranges::nth_element(offsets, median);
    m_wallOffset = *median;
}

std::optional<wall_time> feed_state::agreedTime(instant now) const
{
    if (!m_wallOffset)
        return std::nullopt;
    return wall_time(sinceBoot(now) + *m_wallOffset);
}

bool feed_state::installEndpoints(endpoint_list list)
{
    return m_endpoints.installOfUnknownAge({}, std::move(list));
}

void feed_state::installBans(std::uint64_t version, const std::vector<std::string> &bans)
{
    if (version <= m_bansVersion)
        return;
    m_bansVersion = version;
    m_bans = std::make_shared<const std::set<std::string>>(bans.begin(), bans.end());
}

/// What is confirmed later than the freshness after what was confirmed before leaves a gap.
void feed_state::updateOrigins(instant requestedAt, nanoseconds freshFor,
                               const origin_report &earlier)
{
    const std::uint64_t revision = m_history.newest()->revision;
    const std::uint64_t listVersion = endpoints()->version;
    const bool missed = m_origins && requestedAt + freshFor - m_freshness > m_freshUntil;
    const bool known
            = m_origins && revision == m_originsRevision && listVersion == m_originsEndpoints;
    if (known && !missed && earlier == origin_report())
        return;
    auto next = m_origins ? std::make_shared<origin_history>(*m_origins)
                          : std::make_shared<origin_history>(requestedAt, lagFactor * m_freshness);
    if (missed)
        next->missed(requestedAt, revision != m_originsRevision);
    next->update(requestedAt, *m_history.newest(), *endpoints());
    next->learn(requestedAt, earlier);
    m_origins = std::move(next);
    m_originsRevision = revision;
    m_originsEndpoints = listVersion;
}

void feed_state::extendFreshness(instant requestedAt, nanoseconds freshFor)
{
    m_freshUntil = std::max(m_freshUntil, requestedAt + freshFor);
}

table_leases &feed_state::leases(instant now)
{
    if (m_history.newest())
        m_leases.installed(now, *m_history.newest());
    return m_leases;
}

feed_reply feed_state::answer(instant now, std::string_view peer, const feed_request &request,
                              std::optional<instant> leadingSince)
{
    m_directory.update(now, peer, request.reports);
    for (const node_report &report : request.reports) {
        const instant askedAt = now - milliseconds(report.ageMs);
        m_higherReports = m_leases.reported(report, askedAt) || m_higherReports;
    }
    feed_reply reply;
    reply.settledRevision = leases(now).settled(now, leadingSince);
    reply.leader = m_leader;
    m_endpoints.describe(now, request, reply);
    const auto &newest = m_history.newest();
    if (!newest || now >= m_freshUntil)
        return reply;
    reply.confirmed = true;
    reply.freshForMs = std::chrono::duration_cast<milliseconds>(m_freshUntil - now).count();
    reply.revision = newest->revision;
    const auto edits
            = request.haveTables ? m_history.editsSince(request.haveRevision) : std::nullopt;
    if (edits)
        reply.edits = *edits;
    else if (!request.haveTables || request.haveRevision < newest->revision)
        reply.fullTables.push_back(m_history.encodedNewest());
    reply.bansVersion = m_bansVersion;
    if (request.haveBansVersion != m_bansVersion)
        reply.bans.assign(m_bans->begin(), m_bans->end());
    m_nodes.describe(request, reply);
    if (const auto agreed = agreedTime(now))
        reply.clusterWallMs = agreed->time_since_epoch().count();
    if (request.wantOrigins && m_origins)
        reply.origins = m_origins->report(now);
    return reply;
}

} // namespace yuccascale::kernel::feed
