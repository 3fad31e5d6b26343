#pragma once

#include "processes/zone_cluster.hpp"

#include <functional>
#include <list>
#include <random>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Faults of control nodes and of the links between them, drawn from a seed.

namespace yuccascale::processes {

/// \brief Cuts links, freezes and kills control nodes, some of them while others are under way.
class core_faults
{
public:
    core_faults(zone_cluster &system, unsigned seed, bool cutsEntries);

    /// \brief Plays faults for \a time, then ends all of them.
    void play(milliseconds time);

    /// \returns the faults with their times, for a failure's message.
    [[nodiscard]] const std::string &history() const noexcept { return m_history; }

private:
    struct active_fault
    {
        test_time endsAt{};
        std::function<void()> end;
    };
    using fault = bool (core_faults::*)();

    /// What strikes next: nothing that is struck already, so that each end restores all.
    bool cutLink();
    bool cutLinkOneWay();
    bool cutNode();
    bool cutLeader();
    bool freezeNode();
    bool freezeLeader();
    bool killLeader();
    bool cutEntriesFromNode();
    bool cutZone();

    bool cutLinks(const std::set<std::pair<std::size_t, std::size_t>> &links, cut_style style);
    bool cutFromOthers(std::size_t node);
    bool freeze(std::size_t node);
    void electSeveralTimes();
    void begin(const std::string &what, std::function<void()> end);
    void endDue();
    void endAll();
    void waitFor(milliseconds time);
    void note(const std::string &what);
    [[nodiscard]] milliseconds draw(milliseconds least, milliseconds most);
    [[nodiscard]] std::size_t anyNode() { return m_random() % zone_cluster::controlNodes; }
    [[nodiscard]] cut_style anyStyle();
    [[nodiscard]] std::size_t leaderOrAny();

    zone_cluster &m_system;
    std::minstd_rand m_random;
    const bool m_cutsEntries;
    const bool m_oneByOne; ///< each fault after the end of the one before
    const test_time m_start = test_clock::now();
    std::list<active_fault> m_active;
    std::set<std::size_t> m_down; ///< frozen or killed
    std::set<std::pair<std::size_t, std::size_t>> m_cutLinks;
    bool m_entriesCut = false;
    milliseconds m_length{}; ///< of the fault that begins
    std::string m_history;
};

} // namespace yuccascale::processes
