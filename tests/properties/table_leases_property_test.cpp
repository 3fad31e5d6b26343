#include "seeded_random.hpp"
#include "yuccascale/kernel/feed/feed_state.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief Edits are settled only when no process uses older tables for longer than promised, under
///        schedules of cuts, lost and late messages, restarts and changes of leader.

namespace yuccascale::properties {

namespace {

using namespace kernel;
using feed::feed_reply;
using feed::feed_request;
using feed::feed_state;

constexpr milliseconds freshness{4'700};
constexpr milliseconds propagation{2'000};
constexpr milliseconds longestWait = freshness - propagation;
constexpr milliseconds tick{10};
constexpr std::size_t controlNodes = 3;
constexpr std::size_t entries = 5;
constexpr std::size_t nodes = controlNodes + entries;

/// One process. A replaced one goes on with the tables that it has.
struct process
{
    std::string name;
    std::uint64_t incarnation = 1;
    feed_state state{freshness, propagation};
    instant nextPoll{};
    std::uint64_t reported = 0; ///< revision that it last told

    [[nodiscard]] feed::node_report report() const
    {
        feed::node_report out;
        out.node = out.link = name;
        out.incarnation = incarnation;
        out.revision = state.revision();
        return out;
    }
};

using process_pointer = std::shared_ptr<process>;

struct message
{
    instant arrivesAt{};
    process_pointer from;
    process_pointer to;
    instant sentAt{};
    std::optional<feed_request> request; ///< else a reply
    feed_reply reply;
    bool wantsReply = true;
};

/// Three control nodes and five entries that poll them, on one clock.
class feed_world
{
public:
    feed_world(std::uint64_t seed, bool faults)
        : m_random(seed)
        , m_faults(faults)
    {
        for (std::size_t index = 0; index < nodes; ++index) {
            m_running.push_back(std::make_shared<process>());
            m_running.back()->name = "n" + std::to_string(index);
        }
        m_all = m_running;
    }

    void run(seconds time)
    {
        for (const instant end = m_now + time; m_now < end && m_problem.empty(); m_now += tick) {
            if (m_faults)
                disturb();
            lead();
            poll();
            deliver();
            judge();
        }
    }

    [[nodiscard]] const std::string &problem() const noexcept { return m_problem; }
    /// Times from commit until settled.
    [[nodiscard]] const std::vector<nanoseconds> &waits() const noexcept { return m_waits; }

private:
    struct edit
    {
        instant committedAt{};
        std::optional<instant> settledAt;
    };

    [[nodiscard]] std::shared_ptr<state::table_set> tables() const
    {
        auto out = std::make_shared<state::table_set>();
        out->revision = m_edits.size() + 1;
        return out;
    }

    void disturb()
    {
        if (m_random.chance(1) && m_random.chance(30))
            m_cut[m_random.below(nodes)] = m_now + m_random.between(milliseconds(100), seconds(6));
        if (m_random.chance(1) && m_random.chance(20))
            replace(m_random.below(nodes));
        if (m_leader && m_random.chance(1) && m_random.chance(20)) {
            m_leader.reset();
            m_nextElection = m_now + m_random.between(milliseconds(10), seconds(2));
        }
        if (!m_leader && m_now >= m_nextElection) {
            m_leader = m_random.below(controlNodes);
            m_leadingSince = m_now;
        }
    }

    /// The former process runs on, and nobody hears it.
    void replace(std::size_t index)
    {
        const auto next = std::make_shared<process>();
        next->name = m_running[index]->name;
        next->incarnation = m_running[index]->incarnation + 1;
        m_running[index] = next;
        m_all.push_back(next);
        if (m_leader == index)
            m_leader.reset();
    }

    void lead()
    {
        if (!m_leader)
            return;
        process &leader = *m_running[*m_leader];
        if (m_random.chance(2))
            m_edits.push_back({m_now, {}});
        // it reads as a quorum allows
        if (!cut(leader) && (!m_faults || m_random.chance(30))) {
            static_cast<void>(leader.state.installConfirmedState(m_now, m_now, {tables(), 0, {}},
                                                                 leader.report()));
            static_cast<void>(leader.state.leases(m_now));
        }
    }

    [[nodiscard]] bool cut(const process &node) const
    {
        const auto found = m_cut.find(indexOf(node));
        return found != m_cut.end() && m_now < found->second;
    }

    [[nodiscard]] static std::size_t indexOf(const process &node)
    {
        return static_cast<std::size_t>(std::stoi(node.name.substr(1)));
    }

    [[nodiscard]] process_pointer peerOf(std::size_t index)
    {
        if (m_leader && index < controlNodes && !m_random.chance(10))
            return m_running[*m_leader];
        return m_running[m_random.below(controlNodes)];
    }

    void poll()
    {
        for (std::size_t index = 0; index < nodes; ++index) {
            const process_pointer &node = m_running[index];
            const bool polls = m_now >= node->nextPoll || (!m_faults && behind(*node));
            const bool reports
                    = node->state.takeHigherReports() || node->reported < node->state.revision();
            if ((!polls && !reports) || m_leader == index)
                continue;
            const process_pointer peer = peerOf(index);
            if (peer == node)
                continue;
            if (polls)
                node->nextPoll = m_now + m_random.between(milliseconds(100), milliseconds(700));
            node->reported = node->state.revision();
            send({latency(),
                  node,
                  peer,
                  m_now,
                  node->state.request(m_now, node->report(), true),
                  {},
                  polls});
        }
    }

    /// A notification tells it so.
    [[nodiscard]] bool behind(const process &node) const
    {
        return m_leader && node.state.revision() < m_running[*m_leader]->state.revision();
    }

    [[nodiscard]] instant latency()
    {
        const milliseconds longest
                = m_faults && m_random.chance(5) ? milliseconds(1'500) : milliseconds(20);
        return m_now + m_random.between(milliseconds(1), longest);
    }

    void send(message sent)
    {
        const bool lost = m_faults && m_random.chance(5);
        if (!lost && !cut(*sent.from) && !cut(*sent.to))
            m_inFlight.push_back(std::move(sent));
    }

    void deliver()
    {
        const auto due
                = std::partition(m_inFlight.begin(), m_inFlight.end(),
                                 [this](const message &sent) { return sent.arrivesAt > m_now; });
        std::vector<message> arrived(due, m_inFlight.end());
        m_inFlight.erase(due, m_inFlight.end());
        for (message &received : arrived)
            receive(received);
    }

    void receive(message &received)
    {
        if (!received.request) {
            static_cast<void>(received.to->state.install(received.sentAt, received.reply));
            static_cast<void>(received.to->state.leases(m_now));
            return;
        }
        const bool leads = m_leader && m_running[*m_leader] == received.to;
        const auto since = leads ? std::optional(m_leadingSince) : std::nullopt;
        feed_reply reply
                = received.to->state.answer(m_now, received.from->name, *received.request, since);
        if (received.wantsReply)
            send({latency(), received.to, received.from, received.sentAt, {}, std::move(reply)});
    }

    void judge()
    {
        for (std::size_t index = 0; index < nodes; ++index)
            recordSettled(index);
        for (const process_pointer &node : m_all) {
            const std::uint64_t revision = node->state.revision();
            if (revision == 0 || revision > m_edits.size()
                || m_now >= node->state.view().freshUntil)
                continue;
            // the next edit made the revision after its own
            const edit &missed = m_edits[revision - 1];
            if (missed.settledAt && m_now > *missed.settledAt + propagation)
                fail(node->name + " uses revision " + std::to_string(revision));
        }
    }

    void recordSettled(std::size_t index)
    {
        const auto since = m_leader == index ? std::optional(m_leadingSince) : std::nullopt;
        const std::uint64_t settled = m_running[index]->state.leases(m_now).settled(m_now, since);
        for (std::size_t number = m_settled; number + 1 < settled; ++number) {
            m_edits[number].settledAt = m_now;
            m_waits.push_back(m_now - m_edits[number].committedAt);
            m_settled = number + 1;
        }
    }

    void fail(const std::string &what)
    {
        const auto now = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch());
        m_problem = what + " at " + std::to_string(now.count()) + " ms";
    }

    seeded_random m_random;
    bool m_faults;
    instant m_now{seconds(100)};
    std::vector<process_pointer> m_running; ///< control nodes first
    std::vector<process_pointer> m_all;
    std::map<std::size_t, instant> m_cut; ///< until when
    std::optional<std::size_t> m_leader = 0;
    instant m_leadingSince{};
    instant m_nextElection{};
    std::vector<edit> m_edits; ///< the first made revision 2
    std::size_t m_settled = 0; ///< edits
    std::vector<message> m_inFlight;
    std::vector<nanoseconds> m_waits;
    std::string m_problem;
};

[[nodiscard]] std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? otherwise : std::stoull(text);
}

} // namespace

TEST(table_leases_property, noProcessUsesOlderTablesLaterThanPromised)
{
    const std::uint64_t first = numberFrom("YUCCASCALE_SEED", 1);
    const std::uint64_t schedules = numberFrom("YUCCASCALE_SCHEDULES", 200);
    std::size_t settled = 0;
    for (std::uint64_t seed = first; seed < first + schedules; ++seed) {
        feed_world world(seed, true);
        world.run(seconds(60));
        ASSERT_EQ(world.problem(), "") << "seed " << seed;
        settled += world.waits().size();
    }
    EXPECT_GT(settled, 10 * schedules);
}

/// Guards against edits that wait for a lease to end though every node has them.
TEST(table_leases_property, inCalmAnEditIsSettledWithinSomeRoundTrips)
{
    feed_world world(1, false);
    world.run(seconds(60));
    std::vector<nanoseconds> waits = world.waits();
    ASSERT_GT(waits.size(), 50U);
    std::ranges::sort(waits);
    EXPECT_LE(waits[waits.size() / 2], milliseconds(200));
    EXPECT_LE(waits.back(), longestWait);
}

} // namespace yuccascale::properties
