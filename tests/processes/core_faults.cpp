#include "processes/core_faults.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <thread>

namespace yuccascale::processes {

namespace {

constexpr std::size_t activeAtOnce = 2;
constexpr milliseconds shortFault{800};
constexpr milliseconds middleFault{3'500};
constexpr milliseconds longFault{9'000};
constexpr std::array<std::string_view, 3> cutNames{"hold", "lose", "reset"}; ///< of cut_style
constexpr milliseconds waitStep{10};
/// Between one fault's end and the next one's begin, so that the promises bind meanwhile.
constexpr milliseconds calmLeast{3'200};
constexpr milliseconds calmMost{5'500};
/// Between the begins of faults that overlap.
constexpr milliseconds nextLeast{200};
constexpr milliseconds nextMost{6'500};

} // namespace

core_faults::core_faults(zone_cluster &system, unsigned seed, bool cutsEntries)
    : m_system(system)
    , m_random(seed)
    , m_cutsEntries(cutsEntries)
    , m_oneByOne(seed % 2 == 0)
{ }

milliseconds core_faults::draw(milliseconds least, milliseconds most)
{
    return least + milliseconds(m_random() % static_cast<unsigned>((most - least).count() + 1));
}

std::size_t core_faults::leaderOrAny()
{
    const auto leader = m_system.leader();
    return leader ? *leader : anyNode();
}

void core_faults::note(const std::string &what)
{
    m_history += inMs(test_clock::now() - m_start) + " " + what + "; ";
}

void core_faults::play(milliseconds time)
{
    // twice or three times: the likelier ones
    static constexpr std::array<fault, 12> faults{
            &core_faults::cutLink,    &core_faults::cutLinkOneWay, &core_faults::cutNode,
            &core_faults::cutLeader,  &core_faults::cutLeader,     &core_faults::cutLeader,
            &core_faults::cutZone,    &core_faults::cutZone,       &core_faults::cutEntriesFromNode,
            &core_faults::freezeNode, &core_faults::freezeLeader,  &core_faults::killLeader};
    constexpr std::size_t seriesOneIn = 6;
    const test_time until = test_clock::now() + time;
    while (test_clock::now() < until) {
        if (!m_oneByOne && m_random() % seriesOneIn == 0) {
            electSeveralTimes();
        } else if (m_active.size() < activeAtOnce) {
            m_length = m_random() % 2 == 0 ? draw(shortFault, middleFault)
                                           : draw(middleFault, longFault);
            (this->*faults.at(m_random() % faults.size()))();
        }
        waitFor(m_oneByOne ? m_length + draw(calmLeast, calmMost) : draw(nextLeast, nextMost));
    }
    endAll();
}

/// Three leaders in fifteen seconds.
void core_faults::electSeveralTimes()
{
    constexpr int elections = 3;
    constexpr milliseconds electionInterval{4'500};
    endAll();
    note("series");
    for (int count = 0; count < elections; ++count) {
        m_length = draw(milliseconds(2'500), milliseconds(4'000));
        if (m_random() % 2 == 0)
            freezeLeader();
        else
            cutLeader();
        waitFor(electionInterval);
    }
}

void core_faults::begin(const std::string &what, std::function<void()> end)
{
    note(what + " for " + inMs(m_length));
    m_active.push_back({test_clock::now() + m_length, std::move(end)});
}

void core_faults::endDue()
{
    const test_time now = test_clock::now();
    for (auto one = m_active.begin(); one != m_active.end();) {
        if (one->endsAt > now) {
            ++one;
            continue;
        }
        one->end();
        one = m_active.erase(one);
    }
}

void core_faults::endAll()
{
    for (const active_fault &one : m_active)
        one.end();
    m_active.clear();
}

void core_faults::waitFor(milliseconds time)
{
    const test_time until = test_clock::now() + time;
    while (test_clock::now() < until) {
        endDue();
        std::this_thread::sleep_for(waitStep);
    }
}

cut_style core_faults::anyStyle()
{
    constexpr std::array<cut_style, 3> styles{cut_style::Silent, cut_style::Lossy,
                                              cut_style::Resets};
    return styles.at(m_random() % styles.size());
}

bool core_faults::cutLinks(const std::set<std::pair<std::size_t, std::size_t>> &links,
                           cut_style style)
{
    std::string what(cutNames.at(static_cast<std::size_t>(style)));
    std::set<std::pair<std::size_t, std::size_t>> struck;
    for (const auto &link : links) {
        if (!m_cutLinks.insert(link).second)
            continue;
        struck.insert(link);
        m_system.cut(link.first, link.second, style);
        what += " " + std::to_string(link.first) + ">" + std::to_string(link.second);
    }
    if (struck.empty())
        return false;
    begin(what, [this, struck] {
        for (const auto &link : struck) {
            m_cutLinks.erase(link);
            m_system.join(link.first, link.second);
        }
    });
    return true;
}

bool core_faults::cutLink()
{
    const std::size_t node = anyNode();
    const std::size_t other = (node + 1) % zone_cluster::controlNodes;
    return cutLinks({{node, other}, {other, node}}, anyStyle());
}

bool core_faults::cutLinkOneWay()
{
    const std::size_t node = anyNode();
    const std::size_t other = (node + 1 + m_random() % (zone_cluster::controlNodes - 1))
            % zone_cluster::controlNodes;
    return cutLinks({{node, other}}, anyStyle());
}

/// What the node sends, what it is sent, or both.
bool core_faults::cutFromOthers(std::size_t node)
{
    const unsigned ways = 1 + m_random() % 3;
    std::set<std::pair<std::size_t, std::size_t>> links;
    for (std::size_t other = 0; other < zone_cluster::controlNodes; ++other) {
        if (other != node && (ways & 1U) != 0)
            links.emplace(node, other);
        if (other != node && (ways & 2U) != 0)
            links.emplace(other, node);
    }
    return cutLinks(links, anyStyle());
}

bool core_faults::cutNode()
{
    return cutFromOthers(anyNode());
}

bool core_faults::cutLeader()
{
    return cutFromOthers(leaderOrAny());
}

bool core_faults::freeze(std::size_t node)
{
    if (!m_down.insert(node).second)
        return false;
    m_system.freeze(node);
    begin("freeze " + std::to_string(node), [this, node] {
        m_system.thaw(node);
        m_down.erase(node);
    });
    return true;
}

bool core_faults::freezeNode()
{
    return freeze(anyNode());
}

bool core_faults::freezeLeader()
{
    return freeze(leaderOrAny());
}

bool core_faults::killLeader()
{
    const std::size_t node = leaderOrAny();
    if (!m_down.insert(node).second)
        return false;
    m_system.kill(node);
    begin("kill " + std::to_string(node), [this, node] {
        m_system.start(node);
        m_down.erase(node);
    });
    return true;
}

/// All entries of a zone from one control node, mostly their own zone's.
bool core_faults::cutEntriesFromNode()
{
    if (!m_cutsEntries || m_entriesCut)
        return false;
    const std::size_t zone = anyNode();
    const std::size_t node = m_random() % 2 == 0 ? zone : anyNode();
    m_entriesCut = true;
    m_system.cutEntries(zone, node, anyStyle());
    begin("cut entries of z" + std::to_string(zone) + " from " + std::to_string(node),
          [this, zone, node] {
              m_system.joinEntries(zone, node);
              m_entriesCut = false;
          });
    return true;
}

/// A whole zone, its control node and its entries, from the control nodes of the others.
bool core_faults::cutZone()
{
    if (!m_cutsEntries || m_entriesCut)
        return false;
    const std::size_t zone = m_random() % 2 == 0 ? leaderOrAny() : anyNode();
    std::set<std::pair<std::size_t, std::size_t>> links;
    std::vector<std::size_t> others;
    for (std::size_t other = 0; other < zone_cluster::controlNodes; ++other) {
        if (other == zone)
            continue;
        others.push_back(other);
        links.insert({{zone, other}, {other, zone}});
    }
    const cut_style style = anyStyle();
    if (!cutLinks(links, style))
        return false;
    m_entriesCut = true;
    for (const std::size_t other : others)
        m_system.cutEntries(zone, other, style);
    begin("cut zone " + std::to_string(zone), [this, zone, others] {
        for (const std::size_t other : others)
            m_system.joinEntries(zone, other);
        m_entriesCut = false;
    });
    return true;
}

} // namespace yuccascale::processes
