#include "fakes/control_log.hpp"
#include "fakes/manual_clock.hpp"
#include "fakes/null_event_sink.hpp"
#include "yuccascale/runtime/duties.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

/// \file
/// \brief Calls to a platform that does not check fencing tokens: the leaders keep them in order.

namespace yuccascale::runtime {

namespace {

using namespace kernel;

constexpr milliseconds waitLimit{10'000};
constexpr milliseconds lease{1'500};
constexpr seconds orderLife{3};
/// Within this time, calls of two leaders count as calls of holders that alternate.
constexpr seconds turnTime{3};
constexpr instant start{seconds(100)};

/// A call that arrived at the platform.
struct arrived_call
{
    std::uint64_t fence = 0;
    instant at{};
};

/// Accepts every call, whatever its fencing token. Thread-safe.
class unfenced_platform
{
public:
    void receive(const arrived_call &call)
    {
        const std::scoped_lock guard(m_mutex);
        m_calls.push_back(call);
    }

    [[nodiscard]] std::vector<arrived_call> calls() const
    {
        const std::scoped_lock guard(m_mutex);
        return m_calls;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<arrived_call> m_calls;
};

/// The path from one node to the platform; a call can be paused on its open connection.
struct platform_path
{
    unfenced_platform &platform;
    const clock &time;
    std::atomic<bool> paused{false};
    std::atomic<int> waiting{0};  ///< calls that are paused
    std::atomic<int> answered{0}; ///< calls that ended, sent or not
};

/// Checks the permit as the real client does: on the open connection, before the first byte.
class path_scaler final : public orders::endpoint_scaler
{
public:
    explicit path_scaler(platform_path &path)
        : m_path(path)
    { }

    [[nodiscard]] result<bool> order(const policy::count_order &, std::uint64_t fence,
                                     const orders::send_permit &permit) override
    {
        ++m_path.waiting;
        while (m_path.paused)
            std::this_thread::sleep_for(milliseconds(1));
        --m_path.waiting;
        const bool permitted = permit();
        if (permitted)
            m_path.platform.receive({fence, m_path.time.now()});
        ++m_path.answered;
        if (!permitted)
            return fail(error_kind::Forbidden, "platform", "the authority ended");
        return true;
    }

private:
    platform_path &m_path;
};

/// Lists six steady endpoints, so that cheap ones are ordered as often as that is allowed.
class steady_lister final : public orders::endpoint_lister
{
public:
    [[nodiscard]] result<orders::endpoint_listing> read() override
    {
        orders::endpoint_listing listing;
        for (int number = 0; number < 6; ++number) {
            feed::listed_endpoint row;
            row.pool = "engines";
            row.row.name = "engine-" + std::to_string(number);
            row.row.zone = "a";
            listing.endpoints.push_back(row);
        }
        return listing;
    }
};

class given_leadership final : public leadership_source
{
public:
    [[nodiscard]] std::optional<leadership> current(instant now) const override
    {
        return authority && now < authority->leaseEnd ? authority : std::nullopt;
    }

    std::optional<leadership> authority;
};

/// One control node: its authority, its path to the platform and its duties.
struct node
{
    node(unfenced_platform &platform, fakes::manual_clock &time,
         const std::shared_ptr<const state::table_set> &tables)
        : path{platform, time}
    {
        duty_drivers drivers;
        drivers.endpoints = std::make_unique<steady_lister>();
        drivers.counts = std::make_unique<path_scaler>(path);
        duties = std::make_unique<leader_duties>(duty_context{config, source, control,
                                                              [tables] {
                                                                  state::leader_view view;
                                                                  view.tables = tables;
                                                                  return view;
                                                              },
                                                              nullptr, nullptr, events, time,
                                                              [](const feed::endpoint_reading &) {},
                                                              nullptr, nullptr},
                                                 std::move(drivers));
    }

    settings config;
    given_leadership source;
    fakes::control_log control;
    fakes::null_event_sink events;
    platform_path path;
    std::unique_ptr<leader_duties> duties;
};

class fenced_duties : public testing::Test
{
protected:
    fenced_duties()
    {
        m_clock.advance(start.time_since_epoch());
        auto tables = std::make_shared<state::table_set>();
        state::pool &pool = tables->pools["engines"];
        pool.name = "engines";
        pool.scaling = {{1, 12, 0.2, {{"a", 1.0}}}};
        m_tables = tables;
    }

    [[nodiscard]] node makeNode() const { return {m_platform, m_clock, m_tables}; }

    /// Makes \a leader the leader from now on, as a log that elects no other within the lease.
    void elect(node &leader)
    {
        const instant now = m_clock.now();
        leader.source.authority
                = leadership{++m_fence, now, now + lease, m_formerLeaseEnd + orderLife};
        m_formerLeaseEnd = now + lease;
    }

    void renew(node &leader)
    {
        leader.source.authority->leaseEnd = m_clock.now() + lease;
        m_formerLeaseEnd = m_clock.now() + lease;
    }

    /// Ticks for \a time on the clock.
    void run(node &ticked, milliseconds time, bool renewed)
    {
        constexpr milliseconds step{50};
        for (milliseconds since{}; since < time; since += step) {
            m_clock.advance(step);
            if (renewed)
                renew(ticked);
            ticked.duties->tick();
            std::this_thread::sleep_for(milliseconds(2)); // calls run on other threads
        }
    }

    template<typename Condition>
    static void await(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + waitLimit;
        while (!condition() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(milliseconds(1));
        ASSERT_TRUE(condition());
    }

    void expectFencesRise() const
    {
        std::uint64_t highest = 0;
        for (const arrived_call &call : m_platform.calls()) {
            EXPECT_GE(call.fence, highest);
            highest = std::max(highest, call.fence);
        }
    }

    mutable unfenced_platform m_platform;
    mutable fakes::manual_clock m_clock;
    std::shared_ptr<const state::table_set> m_tables;
    std::uint64_t m_fence = 0;
    instant m_formerLeaseEnd = start - orderLife;
};

} // namespace

/// Guards against a call of a former leader, paused on its open connection, that arrives after one
/// of its successor.
TEST_F(fenced_duties, aCallPausedUntilAnotherLeadsIsNotSent)
{
    node former = makeNode();
    node successor = makeNode();
    elect(former);
    former.path.paused = true;
    run(former, seconds(1), true);
    await([&] { return former.path.waiting == 1; });
    m_clock.advance(lease);
    elect(successor);
    run(successor, orderLife + seconds(2), true);
    await([&] { return m_platform.calls().size() == 1; });
    former.path.paused = false;
    await([&] { return former.path.answered == 1; });
    ASSERT_EQ(m_platform.calls().size(), 1U);
    EXPECT_EQ(m_platform.calls().front().fence, 2U);
}

/// Guards against a call that was decided before a pause and sent after it, though its node still
/// or again leads.
TEST_F(fenced_duties, aCallDecidedBeforeAPauseIsNotSentAfterIt)
{
    node leader = makeNode();
    elect(leader);
    leader.path.paused = true;
    run(leader, seconds(1), true);
    await([&] { return leader.path.waiting == 1; });
    m_clock.advance(seconds(2));
    renew(leader);
    leader.path.paused = false;
    await([&] { return leader.path.answered == 1; });
    EXPECT_TRUE(m_platform.calls().empty());
}

/// Guards against holders that alternate: each waits until calls of the one before have expired,
/// also when it led before.
TEST_F(fenced_duties, leadersThatAlternateCallFarApart)
{
    node first = makeNode();
    node second = makeNode();
    node *const turns[] = {&first, &second, &first, &second, &first};
    for (node *leader : turns) {
        elect(*leader);
        const std::size_t before = m_platform.calls().size();
        for (int round = 0; round < 200 && m_platform.calls().size() == before; ++round)
            run(*leader, milliseconds(50), true);
        m_clock.advance(lease);
    }
    const std::vector<arrived_call> calls = m_platform.calls();
    ASSERT_GE(calls.size(), std::size(turns));
    for (std::size_t index = 1; index < calls.size(); ++index) {
        const bool otherHolder = calls[index].fence != calls[index - 1].fence;
        EXPECT_TRUE(!otherHolder || calls[index].at - calls[index - 1].at >= turnTime) << index;
    }
    expectFencesRise();
}

/// Guards against a leader that is cut off and goes on calling beside its successor.
TEST_F(fenced_duties, aLeaderWithoutRenewalsStopsBeforeItsSuccessorCalls)
{
    node former = makeNode();
    node successor = makeNode();
    elect(former);
    run(former, seconds(2), true);
    run(former, lease + seconds(1), false);
    elect(successor);
    for (int round = 0; round < 40; ++round) {
        run(successor, milliseconds(250), true);
        former.duties->tick();
    }
    EXPECT_EQ(m_platform.calls().back().fence, 2U);
    expectFencesRise();
}

} // namespace yuccascale::runtime
