#include "processes/holding_callers.hpp"
#include "processes/planned_stops.hpp"
#include "processes/soak_seeds.hpp"
#include "processes/table_edits.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <iostream>
#include <random>

/// \file
/// \brief Stops entries in series until most are leaving, under callers that keep their
/// connections.

namespace yuccascale::processes {

namespace {

constexpr std::array<unsigned, 1> ciSeeds{1};
/// Stops a leader while answers wait for the commit of their usage.
constexpr std::array<unsigned, 1> leaderStopSeeds{33};
constexpr int ciNodes = 9;
constexpr std::size_t controlNodes = 3;
constexpr int seriesCount = 2;
constexpr milliseconds readyLimit{30'000};

/// Settings that a run draws from its seed, in seconds.
struct drawn_settings
{
    int grace;
    int addressTtl;
    int routeDeadline;
};

constexpr std::array<drawn_settings, 5> settingsTable{
        {{8, 5, 30}, {8, 5, 10}, {8, 1, 6}, {5, 2, 10}, {6, 5, 30}}};

[[nodiscard]] std::string inSeconds(int number)
{
    return std::to_string(number) + "s";
}

/// One run of planned stops with bursts, edits and reloads at the same time.
class stops_soak
{
public:
    explicit stops_soak(unsigned seed)
        : m_random(seed)
        , m_seed(seed)
        , m_settings(settingsTable.at(seed % settingsTable.size()))
        , m_system(options())
        , m_stops(m_system, gracePeriod())
    { }

    void run()
    {
        constexpr milliseconds calmBefore{5'000};
        addRouteForLongChats();
        holding_callers callers(m_system, mix());
        table_edits edits(m_system);
        m_stops.advanceFor(calmBefore);
        for (int each = 0; each < seriesCount; ++each)
            stopInSeries(callers);
        callers.setBurst(false);
        EXPECT_TRUE(m_stops.finish(readyLimit));
        edits.stop();
        callers.stop();
        checkRequests(callers.records());
        checkProcesses();
        checkEdits(edits);
    }

private:
    [[nodiscard]] milliseconds gracePeriod() const
    {
        return milliseconds(m_settings.grace * 1'000);
    }

    [[nodiscard]] cluster_options options() const
    {
        cluster_options made;
        made.nodes = soakNodes(ciNodes);
        made.engines = std::max(4, made.nodes / 2);
        made.shutdownLimit = inSeconds(m_settings.grace);
        made.addressTtl = inSeconds(m_settings.addressTtl);
        made.routeDeadline = inSeconds(m_settings.routeDeadline);
        made.engineOptions = {{"work", {{"queueLimit", 4}}}};
        made.serviceOptions = {{"delayMs", 250}, {"refuseEvery", 25}};
        return made;
    }

    [[nodiscard]] caller_mix mix() const
    {
        caller_mix made;
        made.seed = m_seed;
        made.longestSending = milliseconds(3'000);
        made.pipelinedPercent = 15;
        made.longChatPercent = 15;
        made.longChatRoute = longChatRoute();
        made.callersPerNode = 6;
        made.patience = milliseconds(m_settings.routeDeadline * 1'000 + 3'000);
        return made;
    }

    /// With an even seed short and long answers share a route.
    [[nodiscard]] std::string longChatRoute() const { return m_seed % 2 == 0 ? "chat" : "long"; }

    void addRouteForLongChats() const
    {
        const json row{{"name", "long"},
                       {"pool", "engines"},
                       {"kind", "model"},
                       {"deadline", inSeconds(m_settings.routeDeadline)}};
        const command_answer answer = m_system.put("route", json::array({row}));
        ASSERT_EQ(answer.exitCode, 0) << answer.text;
        const std::string revision = std::to_string(answer.document.value("revision", 0));
        ASSERT_EQ(m_system.command({"wait", "--revision=" + revision}).exitCode, 0);
    }

    [[nodiscard]] std::size_t draw(std::size_t below) { return m_random() % below; }

    /// Stops all entries without a control replica but one, and at times one node with a replica.
    void stopInSeries(holding_callers &callers)
    {
        std::vector<std::size_t> order;
        for (std::size_t node = controlNodes; node < m_system.size(); ++node)
            order.push_back(node);
        std::ranges::shuffle(order, m_random);
        order.pop_back();
        if (draw(2) == 0 && !stopsControlNode())
            order.push_back(draw(controlNodes));
        for (const std::size_t node : order) {
            if (!m_stops.isStopping(node))
                m_stops.begin(node);
            callers.setBurst(draw(3) == 0);
            m_stops.advanceFor(milliseconds(400 + draw(300)));
            reloadSomeNode();
            m_stops.advanceFor(milliseconds(400 + draw(300)));
        }
    }

    /// Only one replica is stopped at a time, so that a quorum stays.
    [[nodiscard]] bool stopsControlNode() const
    {
        bool stops = false;
        for (std::size_t node = 0; node < controlNodes; ++node)
            stops = stops || m_stops.isStopping(node);
        return stops;
    }

    void reloadSomeNode()
    {
        if (draw(2) == 0)
            m_system.nodeProcess(draw(m_system.size())).signal(SIGHUP);
    }

    void checkRequests(const std::vector<request_record> &records)
    {
        std::vector<json> events = m_system.history("engines");
        const std::vector<json> services = m_system.history("services");
        events.insert(events.end(), services.begin(), services.end());
        stop_promises promises;
        promises.gracePeriod = gracePeriod();
        promises.deadlines.fill(milliseconds(m_settings.routeDeadline * 1'000));
        const stop_findings found = judgeStops(records, m_stops.stops(), runsIn(events), promises);
        keepRecords(records);
        std::cout << "seed " << m_seed << ": " << m_stops.stops().size() << " stops, "
                  << m_stops.killed() << " killed; " << found.summary() << std::endl;
        EXPECT_EQ(found.givenUp, std::vector<std::string>{});
        EXPECT_EQ(found.ranThoughRefused, std::vector<std::string>{});
        EXPECT_EQ(found.ranTwice, std::vector<std::string>{});
        EXPECT_GT(found.served, 200);
    }

    void keepRecords(const std::vector<request_record> &records) const
    {
        std::ofstream file(m_system.folder() / "callers.txt");
        for (const request_record &record : records)
            file << describe(record) << "\n";
        for (const node_stop &stop : m_stops.stops())
            file << "stop of node " << stop.node << ": SIGTERM " << stop.signalledMs << ", ended "
                 << stop.exitedMs << (stop.killed ? " killed" : "") << ", ready " << stop.readyMs
                 << "\n";
    }

    void checkProcesses() const
    {
        for (const node_stop &stop : m_stops.stops())
            EXPECT_TRUE(stop.killed || stop.exitCode == 0)
                    << "node " << stop.node << " exited with " << stop.exitCode;
    }

    void checkEdits(const table_edits &edits) const
    {
        const std::string revision = std::to_string(edits.revision());
        EXPECT_EQ(m_system.command({"wait", "--revision=" + revision}).exitCode, 0) << revision;
        for (const auto &[table, names] : edits.acknowledged()) {
            const std::string rows = m_system.command({table, "list"}).text;
            for (const std::string &name : names)
                EXPECT_NE(rows.find(name + "\""), std::string::npos) << table << " " << name;
        }
    }

    std::mt19937 m_random;
    unsigned m_seed;
    drawn_settings m_settings;
    cluster m_system;
    planned_stops m_stops;
};

} // namespace

TEST(soak_stops, noRequestIsGivenUpAroundStopsInSeries)
{
    for (const unsigned seed : soakSeeds(ciSeeds)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        stops_soak(seed).run();
    }
}

TEST(soak_stops, noAnswerIsGivenUpWhileItsUsageWaitsForALeader)
{
    for (const unsigned seed : leaderStopSeeds) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        stops_soak(seed).run();
    }
}

} // namespace yuccascale::processes
