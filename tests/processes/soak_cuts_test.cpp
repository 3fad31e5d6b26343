#include "fakes/history.hpp"
#include "processes/cut_judge.hpp"
#include "processes/holding_callers.hpp"
#include "processes/planned_stops.hpp"
#include "processes/soak_seeds.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <random>

/// \file
/// \brief Cuts entries from all endpoints, again and again, while others are stopped.

namespace yuccascale::processes {

namespace {

constexpr std::array<unsigned, 1> ciSeeds{1};
constexpr int ciNodes = 9;
constexpr std::size_t controlNodes = 3;
constexpr std::size_t zoneCount = 3; ///< node i is in zone i modulo this
constexpr int cutCount = 3;
constexpr milliseconds gracePeriod{8'000};
constexpr milliseconds readyLimit{30'000};

/// One run: every cut has another fault, of one entry or of most of an availability zone.
class cuts_soak
{
public:
    explicit cuts_soak(unsigned seed)
        : m_random(seed)
        , m_seed(seed)
        , m_system(options())
        , m_stops(m_system, gracePeriod)
    { }

    void run()
    {
        constexpr milliseconds calmBefore{2'000};
        constexpr std::array<endpoint_fault, 3> faults{endpoint_fault::Hang, endpoint_fault::Reset,
                                                       endpoint_fault::RefuseNew};
        holding_callers callers(m_system, mix());
        m_stops.advanceFor(calmBefore);
        const std::size_t firstFault = draw(faults.size());
        for (std::size_t each = 0; each < cutCount; ++each)
            cutSomeEntries(faults.at((firstFault + each) % faults.size()));
        EXPECT_TRUE(m_stops.finish(readyLimit));
        callers.stop();
        check(callers.records());
    }

private:
    [[nodiscard]] static cluster_options options()
    {
        cluster_options made;
        made.nodes = soakNodes(ciNodes);
        made.engines = std::max(4, made.nodes / 2);
        made.shutdownLimit = std::to_string(gracePeriod.count()) + "ms";
        made.addressTtl = "2s";
        made.routeDeadline = "10s";
        made.serviceOptions = {{"delayMs", 30}};
        made.relayEndpoints = true;
        return made;
    }

    [[nodiscard]] caller_mix mix() const
    {
        caller_mix made;
        made.seed = m_seed;
        made.callersPerNode = 8;
        made.longestPause = milliseconds(900);
        made.patience = milliseconds(2'000);
        return made;
    }

    [[nodiscard]] std::size_t draw(std::size_t below) { return m_random() % below; }

    /// \returns one entry, or the entries of one zone without its control node.
    [[nodiscard]] std::set<std::size_t> drawEntries()
    {
        const std::size_t first = controlNodes + draw(m_system.size() - controlNodes);
        std::set<std::size_t> entries{first};
        if (draw(2) == 0)
            return entries;
        for (std::size_t node = controlNodes; node < m_system.size(); ++node) {
            if (node % zoneCount == first % zoneCount)
                entries.insert(node);
        }
        return entries;
    }

    void cutSomeEntries(endpoint_fault fault)
    {
        endpoint_cut cut;
        cut.nodes = drawEntries();
        std::erase_if(cut.nodes, [this](std::size_t node) { return m_stops.isStopping(node); });
        cut.fault = fault;
        cut.beganMs = fakes::wallMs();
        m_system.cutFromEndpoints(cut.nodes, fault);
        stopOthers(cut.nodes);
        m_stops.advanceFor(milliseconds(6'500 + draw(1'500)));
        m_system.rejoinEndpoints();
        cut.endedMs = fakes::wallMs();
        m_cuts.push_back(cut);
        m_stops.advanceFor(milliseconds(draw(1'000)));
    }

    /// Sends SIGTERM to up to two entries that aren't cut, about 1 s apart.
    void stopOthers(const std::set<std::size_t> &cutNodes)
    {
        for (std::size_t count = draw(3); count > 0; --count) {
            const std::size_t node = controlNodes + draw(m_system.size() - controlNodes);
            if (!cutNodes.contains(node) && !m_stops.isStopping(node))
                m_stops.begin(node);
            m_stops.advanceFor(milliseconds(800 + draw(400)));
        }
    }

    void check(const std::vector<request_record> &records)
    {
        keepRecords(records);
        for (const endpoint_cut &cut : m_cuts) {
            const cut_findings found = judgeCut(records, cut, m_stops.stops());
            std::cout << "seed " << m_seed << ": " << describe(cut) << ": " << found.summary()
                      << std::endl;
            EXPECT_FALSE(found.servedWorse()) << describe(cut) << ": " << found.summary();
            EXPECT_GT(found.servedElsewhere, 20) << describe(cut);
        }
        checkRuns(records);
    }

    void checkRuns(const std::vector<request_record> &records)
    {
        std::vector<json> events = m_system.history("engines");
        const std::vector<json> services = m_system.history("services");
        events.insert(events.end(), services.begin(), services.end());
        const stop_findings found = judgeStops(records, m_stops.stops(), runsIn(events), {});
        std::cout << "seed " << m_seed << ": " << found.summary() << std::endl;
        EXPECT_EQ(found.ranThoughRefused, std::vector<std::string>{});
        EXPECT_EQ(found.ranTwice, std::vector<std::string>{});
    }

    [[nodiscard]] static std::string describe(const endpoint_cut &cut)
    {
        static constexpr std::array<const char *, 4> names{"none", "hang", "reset", "refuse new"};
        std::string text = std::string(names.at(static_cast<std::size_t>(cut.fault))) + " from "
                + std::to_string(cut.beganMs) + " to " + std::to_string(cut.endedMs) + " at nodes";
        for (const std::size_t node : cut.nodes)
            text += " " + std::to_string(node);
        return text;
    }

    void keepRecords(const std::vector<request_record> &records) const
    {
        std::ofstream file(m_system.folder() / "callers.txt");
        for (const request_record &record : records)
            file << processes::describe(record) << "\n";
        for (const endpoint_cut &cut : m_cuts)
            file << describe(cut) << "\n";
    }

    std::mt19937 m_random;
    unsigned m_seed;
    cluster m_system;
    planned_stops m_stops;
    std::vector<endpoint_cut> m_cuts;
};

} // namespace

TEST(soak_cuts, entriesCutFromEndpointsServeFirstAttempts)
{
    for (const unsigned seed : soakSeeds(ciSeeds)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        cuts_soak(seed).run();
    }
}

} // namespace yuccascale::processes
