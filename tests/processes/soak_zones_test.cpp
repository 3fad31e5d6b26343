#include "processes/core_faults.hpp"
#include "processes/entry_callers.hpp"
#include "processes/soak_seeds.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <list>

/// \file
/// \brief Real programs in three zones: documents are edited all the time while control nodes are
/// cut from each other, frozen and killed and servers leave.

namespace yuccascale::processes {

namespace {

/// 4: an entry short of processor used older tables than promised, and two followers whose
/// connection had died did not elect for 5 s, so that the list of endpoints grew old.
constexpr std::array<unsigned, 2> ciSeeds{2, 4};
constexpr int ciNodes = 9; ///< control nodes and entries
constexpr unsigned ciSeconds = 40;
constexpr milliseconds quietTime{4'000};
constexpr milliseconds drainBound{3'000};
constexpr std::size_t mostReported = 12;
const std::vector<std::string> services{"svc-a", "svc-b", "svc-c", "svc-d"};

/// \returns YUCCASCALE_SOAK_BUSY processes that do nothing but use a processor.
[[nodiscard]] std::list<child_process> busyProcesses()
{
    std::list<child_process> started;
    for (unsigned count = environmentNumber("YUCCASCALE_SOAK_BUSY", 0); count > 0; --count)
        started.emplace_back(std::vector<std::string>{"/bin/sh", "-c", "while :; do :; done"},
                             "/dev/null");
    return started;
}

/// One run: an operator, callers, servers that leave, and faults.
class zones_soak
{
public:
    explicit zones_soak(unsigned seed)
        : m_seed(seed)
        , m_contact(zone_cluster::controlNodes, entryCount(), contact_bounds{})
        , m_system({entryCount(), cutsEntries(), m_fleet.platformAddress()}, m_contact)
        , m_edits(m_system, services, seed)
    { }

    void run()
    {
        const std::list<child_process> busy = busyProcesses();
        ASSERT_TRUE(m_edits.sendFirst());
        ASSERT_TRUE(m_system.waitReady());
        std::this_thread::sleep_for(version_bounds{}.propagation);
        m_edits.start();
        m_fleet.startReplacing(m_seed);
        entry_callers callers(m_system, m_edits, m_seed);
        std::this_thread::sleep_for(quietTime);
        core_faults faults(m_system, m_seed, cutsEntries());
        faults.play(std::chrono::seconds(environmentNumber("YUCCASCALE_SOAK_SECONDS", ciSeconds)));
        std::this_thread::sleep_for(quietTime);
        m_edits.stop();
        callers.stop();
        m_fleet.stopReplacing();
        m_history = faults.history();
        judge(callers);
    }

private:
    [[nodiscard]] static std::size_t entryCount()
    {
        return static_cast<std::size_t>(soakNodes(ciNodes)) - zone_cluster::controlNodes;
    }

    /// Most seeds also cut entries from control nodes, alone or with their whole zone.
    [[nodiscard]] bool cutsEntries() const { return m_seed % 3 != 0; }

    void judge(const entry_callers &callers)
    {
        const std::vector<service_run> runs = m_fleet.runs();
        const std::vector<handled_request> handled = callers.handled(runs);
        const auto allowance = [this](std::size_t entry, test_time acknowledged, test_time sent) {
            return m_contact.allowance(entry, acknowledged, sent);
        };
        const version_findings found
                = version_judge(m_edits.documents(), version_bounds{}, allowance).judge(handled);
        const auto inTouch = std::ranges::count_if(found.late, &version_violation::inTouch);
        report("CONFIG, late", found.late);
        report("CONFIG, regressed", found.regressed);
        report("CONFIG, key withdrawn", found.revoked);
        report("CONFIG, no version says so", found.unexplained);
        judgeDrain(callers, runs);
        for (const std::string &refusal : m_edits.refusals())
            ADD_FAILURE() << "CONFIG: a valid document is refused: " << refusal;
        for (const std::string &name : m_edits.acceptedInvalid())
            ADD_FAILURE() << "CONFIG: an invalid document is acknowledged: " << name;
        printFigures(callers, handled.size());
        std::cout << "; late in touch " << inTouch << ", late in all " << found.late.size()
                  << ", regressed " << found.regressed.size() << ", revoked "
                  << found.revoked.size() << ", unexplained " << found.unexplained.size()
                  << "; drained " << m_fleet.drained() << ", reached late in touch "
                  << m_reachedInTouch << ", in all " << m_reached << "\n  " << m_history << "\n";
    }

    void report(const std::string &rule, const std::vector<version_violation> &found)
    {
        const test_time start = m_edits.documents().front().sentAt;
        std::size_t reported = 0;
        for (const version_violation &violation : found) {
            if (violation.inTouch && reported++ < mostReported)
                ADD_FAILURE() << rule << ": " << describe(violation, start);
            else if (!violation.inTouch)
                std::cout << "excused, " << rule << ": " << describe(violation, start) << "\n";
        }
    }

    /// The time runs from when the list showed it, also while the control nodes are disturbed.
    void judgeDrain(const entry_callers &callers, const std::vector<service_run> &runs)
    {
        for (const service_run &run : runs) {
            const auto request = callers.requests().find(run.requestId);
            const bool late = run.drainingAt && run.at - *run.drainingAt > drainBound;
            if (!late || request == callers.requests().end())
                continue;
            ++m_reached;
            const auto extended
                    = m_contact.allowance(request->second.entry, *run.drainingAt, run.at);
            if (extended != milliseconds(0))
                continue;
            ++m_reachedInTouch;
            ADD_FAILURE() << "DRAIN: " << run.requestId << " reaches " << run.service << " "
                          << inMs(run.at - *run.drainingAt) << " after the list showed its drain";
        }
    }

    void printFigures(const entry_callers &callers, std::size_t handled) const
    {
        const std::vector<sent_document> documents = m_edits.documents();
        std::vector<milliseconds> waits;
        for (const sent_document &document : documents) {
            if (document.acknowledgedAt)
                waits.push_back(std::chrono::duration_cast<milliseconds>(*document.acknowledgedAt
                                                                         - document.sentAt));
        }
        std::ranges::sort(waits);
        EXPECT_GT(waits.size(), documents.size() / 2) << m_history;
        EXPECT_GT(handled, 1'000U) << m_history;
        std::cout << "seed " << m_seed << ": " << documents.size() << " documents, " << waits.size()
                  << " acknowledged, " << m_edits.refusedInvalid() << " invalid ones refused";
        if (!waits.empty())
            std::cout << " (" << inMs(waits[waits.size() / 2]) << " mid, " << inMs(waits.back())
                      << " most)";
        std::cout << "; " << handled << " judged";
        for (const auto &[status, count] : callers.statuses())
            std::cout << ", " << status << ": " << count;
    }

    const unsigned m_seed;
    service_fleet m_fleet{services};
    core_contact m_contact;
    zone_cluster m_system;
    document_edits m_edits;
    std::string m_history;
    int m_reached = 0;
    int m_reachedInTouch = 0;
};

} // namespace

TEST(soak_zones, editsAreInForceInTimeWhileControlNodesAreCutFromEachOther)
{
    for (const unsigned seed : soakSeeds(ciSeeds)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        zones_soak(seed).run();
    }
}

} // namespace yuccascale::processes
