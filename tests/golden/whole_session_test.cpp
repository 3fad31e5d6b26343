#include "fakes/manual_clock.hpp"
#include "yuccascale/kernel/feed/feed_state.hpp"
#include "yuccascale/kernel/requests/key_check.hpp"
#include "yuccascale/kernel/requests/pool_scheduler.hpp"
#include "yuccascale/kernel/state/key_digest.hpp"
#include "yuccascale/kernel/state/machine.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace yuccascale::kernel {

namespace {

constexpr const char *goldenFile = YUCCASCALE_SOURCE_DIR "/tests/golden/whole_session.txt";
constexpr seconds freshnessLease{2};
constexpr std::string_view callerKey = "yk_of_the_session";

/// Connects an operator to a leader, the leader's feed to an entry, and a caller to that entry, and
/// records each step.
class end_to_end_session
{
public:
    end_to_end_session()
        : m_scheduler({policy::router_registry::make("predicted_first_token", 1).value(),
                       policy::admission_registry::make("deadline").value(),
                       policy::fair_queue_registry::make("fair_share").value()},
                      {})
    {
        m_clock.advance(seconds(1'000));
    }

    [[nodiscard]] std::string text() const { return m_text.str(); }

    void startScenario(const std::string &title) { m_text << "\n# " << title << "\n"; }
    void advanceTime(nanoseconds time) { m_clock.advance(time); }

    void applyEdit(const std::string &operation, state::edit_tables rows)
    {
        rows.wallMs = m_clock.wallNow().time_since_epoch().count();
        startLine("operator") << "edit " << operation << " from revision " << rows.fromRevision
                              << "\n";
        const state::command_result answer
                = m_log.apply(++m_lastIndex, {operation, std::move(rows)});
        startLine("leader") << (answer.accepted ? "accepted" : errorKindName(answer.kind))
                            << " revision " << answer.revision << " " << answer.message << "\n";
    }

    static feed::node_report reportOf(const std::string &node)
    {
        feed::node_report report;
        report.node = node;
        report.link = node;
        return report;
    }

    /// Confirms the leader's state as after a quorum round, then answers one feed request of the
    /// entry.
    void feedEntry()
    {
        const auto bans = m_log.bannedFingerprints();
        m_leader.installConfirmedState(m_clock.now(), m_clock.now(),
                                       {m_log.tables(), 0, {bans->begin(), bans->end()}},
                                       reportOf("leader"));
        const feed::node_report self = reportOf("entry");
        const auto request = m_entry.request(m_clock.now(), self, false);
        const auto reply = m_leader.answer(m_clock.now(), "entry", request);
        startLine("entry") << "feed: has " << request.haveRevision << ", gets " << reply.revision
                           << ", edits " << reply.edits.size() << ", whole "
                           << reply.fullTables.size() << ", fresh for " << reply.freshForMs
                           << " ms\n";
        if (m_entry.install(m_clock.now(), reply))
            updatePool();
    }

    void sendRequest(const std::string &id, std::string_view key)
    {
        startLine("caller") << "request " << id << "\n";
        const auto request = makeRequest(id, key);
        const auto check = requests::checkStart(m_clock.now(), m_entry.view(), request);
        if (check != requests::start_check::Allowed) {
            static constexpr std::array<std::string_view, 4> names{"", "key_withdrawn", "not_fresh",
                                                                   "banned"};
            startLine("entry") << "refused as not run: " << names[static_cast<std::size_t>(check)]
                               << "\n";
            return;
        }
        if (const auto refused = m_scheduler.push(m_clock.now(), ++m_ticket, request, 1, {})) {
            startLine("entry") << "refused, not run: " << refused->message << "\n";
            return;
        }
        for (const requests::endpoint_assignment &assignment : m_scheduler.schedule(m_clock.now()))
            startLine("entry") << "routed to " << assignment.endpoint << ": " << assignment.reason
                               << "\n";
    }

    void completeRequest()
    {
        requests::attempt_result result;
        result.answered = true;
        result.usage = {100, 0, 50};
        result.timeToFirstToken = milliseconds(80);
        result.totalTime = milliseconds(700);
        m_scheduler.finish(m_clock.now(), m_ticket, result);
        startLine("caller") << "has its whole answer\n";
    }

private:
    std::ostream &startLine(std::string_view participant)
    {
        const auto now = std::chrono::duration_cast<milliseconds>(m_clock.now().time_since_epoch());
        return m_text << now.count() << " " << participant << ": ";
    }

    void updatePool()
    {
        const auto tables = m_entry.view().tables;
        const auto pool = tables->pools.find("engines");
        if (pool != tables->pools.end())
            m_scheduler.setRows(pool->second);
    }

    [[nodiscard]] requests::request makeRequest(const std::string &id, std::string_view key) const
    {
        requests::request request;
        request.id = id;
        const auto tables = m_entry.view().tables;
        request.keyDigest = requests::digestOf(key);
        request.organisation = requests::organisationOf(*tables, request.keyDigest);
        const auto route = tables->routes.find("briefing");
        if (route != tables->routes.end())
            request.route = route->second;
        request.promptTokens = 100;
        request.outputTokens = 50;
        request.receivedAt = m_clock.now();
        request.deadline = m_clock.now() + milliseconds(request.route.deadlineMs);
        return request;
    }

    std::ostringstream m_text;
    fakes::manual_clock m_clock;
    state::machine m_log;
    std::uint64_t m_lastIndex = 0;
    feed::feed_state m_leader{freshnessLease};
    feed::feed_state m_entry{freshnessLease};
    requests::pool_scheduler m_scheduler;
    std::uint64_t m_ticket = 0;
};

state::edit_tables initialTables()
{
    state::edit_tables edit;
    state::pool pool;
    pool.name = "engines";
    pool.model = "m";
    for (const char *name : {"engine-1", "engine-2"}) {
        state::endpoint row;
        row.name = name;
        row.address = std::string("10.0.0.") + name[7] + ":8000";
        row.zone = "perth-a";
        pool.endpoints.push_back(row);
    }
    state::route route;
    route.name = "briefing";
    route.pool = "engines";
    edit.putPools.push_back(pool);
    edit.putRoutes.push_back(route);
    edit.putOrganisations.push_back({"albany", 1.0});
    edit.putKeys.push_back({"albany-1", "albany", state::keyDigest(callerKey)});
    return edit;
}

} // namespace

/// Guards against unintended changes between edit, feed and admission: conflicting edits, an
/// unknown key, a withdrawn key, and an entry whose freshness lease ran out.
TEST(whole_session, matchesTheRecordedSession)
{
    end_to_end_session session;
    session.startScenario("an operator makes the tables, the entry gets them whole");
    session.applyEdit("op-1", initialTables());
    session.feedEntry();
    session.startScenario("a caller is served; a stranger is not");
    session.sendRequest("r-1", callerKey);
    session.advanceTime(milliseconds(700));
    session.completeRequest();
    session.sendRequest("r-2", "yk_of_nobody");
    session.startScenario("two operators race from revision 1; a resend gets its first answer");
    state::edit_tables weightEdit;
    weightEdit.fromRevision = 1;
    weightEdit.putOrganisations.push_back({"albany", 2.0});
    session.applyEdit("op-2", weightEdit);
    session.applyEdit("op-3", weightEdit);
    session.applyEdit("op-2", weightEdit);
    session.startScenario("the key is withdrawn: an entry that was told refuses it");
    state::edit_tables withdrawal;
    withdrawal.fromRevision = 2;
    withdrawal.removeKeys.emplace_back("albany-1");
    session.applyEdit("op-4", withdrawal);
    session.feedEntry();
    session.sendRequest("r-3", callerKey);
    session.startScenario("an entry that hears nothing stops starting keyed requests");
    session.advanceTime(seconds(2));
    session.sendRequest("r-4", callerKey);
    if (std::getenv("YUCCASCALE_UPDATE_GOLDEN") != nullptr)
        std::ofstream(goldenFile) << session.text();
    std::ifstream stream(goldenFile);
    std::stringstream golden;
    golden << stream.rdbuf();
    EXPECT_EQ(session.text(), golden.str());
}

} // namespace yuccascale::kernel
