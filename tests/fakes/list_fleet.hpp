#pragma once

#include "yuccascale/kernel/feed/feed_state.hpp"
#include "yuccascale/kernel/feed/list_read_schedule.hpp"
#include "yuccascale/kernel/feed/list_search.hpp"
#include "yuccascale/wire/feed_codec.hpp"

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Control nodes and entries that read and pass on the platform's list of endpoints.

namespace yuccascale::fakes {

/// \brief What is wrong in a fleet at one time.
struct list_faults
{
    int leader = 0;                          ///< control node that leads; -1: none
    std::set<int> withoutPlatform = {};      ///< control nodes that cannot read the list
    std::set<std::pair<int, int>> cuts = {}; ///< entry and control node without a path
    std::set<std::pair<int, int>> splits
            = {};                    ///< control nodes without a path from first to second
    kernel::milliseconds readTime{}; ///< the platform takes so long to answer
};

/// \brief Figures of one play.
struct list_figures
{
    std::uint64_t platformCalls = 0;
    std::uint64_t polls = 0;        ///< of entries and control nodes
    std::uint64_t bytes = 0;        ///< of requests and replies
    kernel::nanoseconds oldest{};   ///< list of an entry, by what the platform showed
    kernel::nanoseconds believed{}; ///< oldest, by what the entry reckons
    std::uint64_t stepsBack = 0;    ///< lists that are older than the one they replaced
};

/// \brief Plays a fleet in steps of 10 ms. The platform's list changes all the time: it shows when
/// it was read, so that each list tells its true age.
class list_fleet
{
public:
    list_fleet(int control, int entries, kernel::feed::list_times times)
        : m_times(times)
    {
        for (int index = 0; index < control; ++index)
            m_control.push_back(makeNode(index, 7 * index));
        for (int index = 0; index < entries; ++index)
            m_entries.push_back(makeNode(index, 11 * index));
    }

    /// \param changes whether the list is another one at each read; else it always is the same
    /// \param faults at each time since the start
    [[nodiscard]] list_figures play(kernel::milliseconds length, bool changes,
                                    const std::function<list_faults(kernel::milliseconds)> &faults)
    {
        m_changes = changes;
        m_figures = {};
        const kernel::instant begin = m_now;
        for (; m_now < begin + length; m_now += step) {
            const auto since = std::chrono::duration_cast<kernel::milliseconds>(m_now - begin);
            m_faults = faults(since);
            m_fence += std::exchange(m_leader, m_faults.leader) == m_faults.leader ? 0 : 1;
            for (int index = 0; index < count(m_control); ++index)
                runControl(index);
            for (int index = 0; index < count(m_entries); ++index)
                runEntry(index);
        }
        return m_figures;
    }

private:
    struct fleet_node
    {
        kernel::feed::feed_state state;
        kernel::feed::list_read_schedule reads;
        kernel::feed::list_search search;
        kernel::instant nextPoll;
        kernel::instant readArrives = kernel::instant::max();
        kernel::feed::endpoint_reading reading = {};
        kernel::instant shown = {}; ///< when the platform showed what this node has
    };

    static constexpr kernel::milliseconds step{10};
    static constexpr kernel::seconds freshness{4};

    [[nodiscard]] fleet_node makeNode(int, int offset) const
    {
        return {kernel::feed::feed_state(freshness),
                kernel::feed::list_read_schedule(m_times, m_now),
                kernel::feed::list_search(m_times),
                m_now + kernel::milliseconds(10 * (offset % 60))};
    }

    template<typename Nodes>
    [[nodiscard]] static int count(const Nodes &nodes)
    {
        return static_cast<int>(nodes.size());
    }

    /// When the platform showed the list that a node has; a list that never changes is always
    /// current.
    [[nodiscard]] static kernel::instant shownIn(const kernel::feed::feed_state &state)
    {
        const auto &listed = state.endpoints()->endpoints;
        return listed.empty() ? kernel::instant{}
                              : kernel::instant(kernel::nanoseconds(listed.front().row.startedMs));
    }

    void runControl(int index)
    {
        fleet_node &node = m_control[static_cast<std::size_t>(index)];
        const bool leads = m_faults.leader == index;
        if (node.readArrives <= m_now) {
            node.readArrives = kernel::instant::max();
            static_cast<void>(node.state.readEndpoints(std::move(node.reading)));
        } else if (node.readArrives == kernel::instant::max()
                   && node.reads.due(m_now, leads, node.state.endpointsAskedAt())) {
            node.reads.asked(m_now);
            ++m_figures.platformCalls;
            if (!m_faults.withoutPlatform.contains(index))
                beginRead(node, leads);
        }
        if (m_now < node.nextPoll)
            return;
        node.nextPoll = m_now + m_times.feedInterval;
        std::vector<std::string> others;
        for (int other = 0; other < count(m_control); ++other) {
            if (other != index)
                others.push_back(std::to_string(other));
        }
        if (leads)
            static_cast<void>(node.state.installConfirmedState(m_now, m_now, m_confirmed, {}));
        else if (m_faults.leader < 0 || !pollControl(index, m_faults.leader))
            static_cast<void>(pollControl(index, (index + 1) % count(m_control)));
        for (const std::string &other :
             node.search.next(m_now, node.state.endpointsAskedAt(), others))
            static_cast<void>(pollControl(index, std::stoi(other)));
    }

    void beginRead(fleet_node &node, bool leads)
    {
        node.readArrives = m_now + m_faults.readTime;
        node.reading = {m_now, leads ? m_fence : 0, {}};
        node.reading.endpoints.resize(20);
        for (auto &listed : node.reading.endpoints)
            listed.row.name = "endpoint-of-the-fleet";
        if (m_changes)
            node.reading.endpoints.front().row.startedMs = m_now.time_since_epoch().count();
    }

    void runEntry(int index)
    {
        fleet_node &node = m_entries[static_cast<std::size_t>(index)];
        if (m_now >= node.nextPoll) {
            node.nextPoll = m_now + m_times.feedInterval;
            pollEntry(index, node);
        }
        judge(node);
    }

    /// The relay of the zone first; one that is cut off is followed by the next after half an
    /// interval.
    void pollEntry(int index, fleet_node &node)
    {
        const int home = index % count(m_control);
        std::vector<std::string> others;
        for (int next = 1; next < count(m_control); ++next)
            others.push_back(std::to_string((home + next) % count(m_control)));
        if (m_faults.cuts.contains({index, home})) {
            node.nextPoll += m_times.feedInterval / 2;
            poll(node, std::stoi(others.front()));
        } else {
            poll(node, home);
        }
        for (const std::string &other :
             node.search.next(m_now, node.state.endpointsAskedAt(), others)) {
            if (!m_faults.cuts.contains({index, std::stoi(other)}))
                poll(node, std::stoi(other));
        }
    }

    [[nodiscard]] bool pollControl(int from, int peer)
    {
        if (from == peer || m_faults.splits.contains({from, peer}))
            return false;
        poll(m_control[static_cast<std::size_t>(from)], peer);
        return true;
    }

    void poll(fleet_node &node, int peer)
    {
        const auto request = node.state.request(m_now, {}, false);
        const auto reply
                = m_control[static_cast<std::size_t>(peer)].state.answer(m_now, "n", request);
        ++m_figures.polls;
        m_figures.bytes += wire::encodeFeedRequest(request).size();
        m_figures.bytes += wire::encodeFeedReply(reply).size();
        static_cast<void>(node.state.install(m_now, reply));
    }

    void judge(fleet_node &node)
    {
        const auto askedAt = node.state.endpointsAskedAt();
        if (!askedAt)
            return;
        m_figures.believed = std::max<kernel::nanoseconds>(m_figures.believed, m_now - *askedAt);
        if (!m_changes)
            return;
        const kernel::instant shown = shownIn(node.state);
        m_figures.stepsBack += shown < node.shown ? 1 : 0;
        node.shown = shown;
        m_figures.oldest = std::max<kernel::nanoseconds>(m_figures.oldest, m_now - shown);
    }

    kernel::feed::list_times m_times;
    kernel::instant m_now{kernel::seconds(100)};
    std::vector<fleet_node> m_control;
    std::vector<fleet_node> m_entries;
    kernel::feed::confirmed_state m_confirmed{std::make_shared<kernel::state::table_set>(), 0, {}};
    list_faults m_faults;
    list_figures m_figures;
    std::uint64_t m_fence = 5;
    int m_leader = 0;
    bool m_changes = true;
};

} // namespace yuccascale::fakes
