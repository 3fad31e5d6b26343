#include "fakes/control_log.hpp"
#include "fakes/manual_clock.hpp"
#include "yuccascale/kernel/orders/events.hpp"
#include "yuccascale/runtime/capacity_report.hpp"
#include "yuccascale/runtime/duties.hpp"

#include <gtest/gtest.h>

#include <mutex>
#include <thread>

/// \file
/// \brief The leader's orders of endpoints under each setting of policy.capacity.

namespace yuccascale::runtime {

namespace {

using namespace kernel;
using state::endpoint_tenure;

constexpr instant start{seconds(100)};

/// Keeps the platform's endpoints: 15 steady ones in each of three zones, and what is ordered.
class fake_platform
{
public:
    [[nodiscard]] orders::endpoint_listing list()
    {
        const std::lock_guard lock(m_mutex);
        orders::endpoint_listing out;
        for (const auto &[key, count] : m_counts) {
            for (int number = 0; number < count; ++number) {
                feed::listed_endpoint one;
                one.pool = "engines";
                one.row.zone = key.first;
                one.row.tenure = key.second;
                out.endpoints.push_back(one);
            }
        }
        return out;
    }

    void order(const policy::count_order &order)
    {
        const std::lock_guard lock(m_mutex);
        m_counts[{order.zone, order.tenure}] = order.count;
    }

    [[nodiscard]] int count(endpoint_tenure tenure)
    {
        const std::lock_guard lock(m_mutex);
        int sum = 0;
        for (const auto &[key, count] : m_counts)
            sum += key.second == tenure ? count : 0;
        return sum;
    }

private:
    std::mutex m_mutex;
    std::map<std::pair<std::string, endpoint_tenure>, int> m_counts{
            {{"a", endpoint_tenure::Steady}, 15},
            {{"b", endpoint_tenure::Steady}, 15},
            {{"c", endpoint_tenure::Steady}, 15}};
};

class fake_list final : public orders::endpoint_lister
{
public:
    explicit fake_list(fake_platform &platform)
        : m_platform(platform)
    { }
    [[nodiscard]] result<orders::endpoint_listing> read() override { return m_platform.list(); }

private:
    fake_platform &m_platform;
};

class fake_counts final : public orders::endpoint_scaler
{
public:
    explicit fake_counts(fake_platform &platform)
        : m_platform(platform)
    { }
    [[nodiscard]] result<bool> order(const policy::count_order &order, std::uint64_t,
                                     const orders::send_permit &) override
    {
        m_platform.order(order);
        return true;
    }

private:
    fake_platform &m_platform;
};

class steady_leadership final : public leadership_source
{
public:
    [[nodiscard]] std::optional<leadership> current(instant now) const override
    {
        return leadership{fence, start, now + seconds(1), start};
    }

    std::uint64_t fence = 7;
};

/// Counts the lines of the two events.
class counting_sink final : public event_sink
{
public:
    using event_sink::record;
    void record(const event_kind &kind, std::span<const event_field> fields) override
    {
        const std::lock_guard lock(m_mutex);
        ++m_lines[kind.number()];
        for (const event_field &field : fields) {
            if (&kind == &orders::countOrdered && field.name == "reason")
                m_reasons.insert(field.value);
        }
    }

    [[nodiscard]] int lines(const event_kind &kind)
    {
        const std::lock_guard lock(m_mutex);
        return m_lines[kind.number()];
    }

    [[nodiscard]] std::set<std::string> reasons()
    {
        const std::lock_guard lock(m_mutex);
        return m_reasons;
    }

private:
    std::mutex m_mutex;
    std::map<int, int> m_lines;
    std::set<std::string> m_reasons;
};

policy::measured_work calm()
{
    policy::measured_work work;
    work.entriesReporting = work.entriesRunning = 60;
    work.peak = {100'000, 20};
    work.mean = {80'000, 15};
    work.prefillTokensPerSecond = 50'000;
    return work;
}

class capacity_duties : public testing::Test
{
protected:
    void run(capacity_policy capacity, seconds time)
    {
        if (!m_duties)
            build(capacity);
        constexpr milliseconds step{50};
        for (milliseconds since{}; since < time; since += step) {
            m_clock.advance(step);
            m_duties->tick();
            std::this_thread::sleep_for(milliseconds(1)); // reads and orders are other threads'
        }
    }

    void build(capacity_policy capacity)
    {
        m_clock.advance(start.time_since_epoch());
        m_settings.policy.capacity = capacity;
        state::pool &pool = m_tables->pools["engines"];
        pool.scaling = {{1, 30, 0.22, {{"a", 1.0}, {"b", 1.0}, {"c", 1.0}}}};
        duty_drivers drivers;
        drivers.endpoints = std::make_unique<fake_list>(m_platform);
        drivers.counts = std::make_unique<fake_counts>(m_platform);
        m_duties = std::make_unique<leader_duties>(
                duty_context{m_settings, m_leadership, m_control,
                             [this] {
                                 state::leader_view view;
                                 view.tables = m_tables;
                                 return view;
                             },
                             nullptr, nullptr, m_events, m_clock,
                             [](const feed::endpoint_reading &) {}, nullptr, nullptr, nullptr,
                             nullptr, [](const std::string &) { return calm(); }},
                std::move(drivers));
    }

    settings m_settings;
    std::shared_ptr<state::table_set> m_tables = std::make_shared<state::table_set>();
    steady_leadership m_leadership;
    fakes::control_log m_control;
    counting_sink m_events;
    fakes::manual_clock m_clock;
    fake_platform m_platform;
    std::unique_ptr<leader_duties> m_duties;
};

} // namespace

/// Guards against a strategy that takes effect without its setting.
TEST_F(capacity_duties, byDefaultSteadyEndpointsAreNeverGivenBack)
{
    run(capacity_policy::CheapHeadroom, seconds(20));
    EXPECT_EQ(m_platform.count(endpoint_tenure::Steady), 45);
    EXPECT_EQ(m_platform.count(endpoint_tenure::Cheap), 45);
    EXPECT_EQ(m_events.lines(orders::capacityPlanned), 0);
    EXPECT_TRUE(capacityMetrics(m_duties->capacity()).empty());
}

TEST_F(capacity_duties, withFollowDemandTheyAreGivenBackAfterTheLoadWasObserved)
{
    run(capacity_policy::FollowDemand, seconds(9));
    EXPECT_EQ(m_platform.count(endpoint_tenure::Steady), 45);
    EXPECT_EQ(m_platform.count(endpoint_tenure::Cheap), 45);
    run(capacity_policy::FollowDemand, seconds(21));
    EXPECT_LT(m_platform.count(endpoint_tenure::Steady), 30);
    EXPECT_GE(m_events.lines(orders::capacityPlanned), 3);
    EXPECT_TRUE(m_events.reasons().contains("not needed for the load"));
    const std::string metrics = capacityMetrics(m_duties->capacity());
    EXPECT_NE(metrics.find("yuccascale_pool_load_engines{pool=\"engines\",of=\"peak\"} 2.0"),
              std::string::npos)
            << metrics;
    EXPECT_NE(metrics.find("yuccascale_pool_wanted_endpoints{pool=\"engines\",zone=\"a\","
                           "tenure=\"steady\"}"),
              std::string::npos);
}

/// Guards against a new term that acts on what a former one observed.
TEST_F(capacity_duties, aNewTermObservesAgain)
{
    run(capacity_policy::FollowDemand, seconds(9));
    m_leadership.fence = 8;
    run(capacity_policy::FollowDemand, seconds(9));
    EXPECT_EQ(m_platform.count(endpoint_tenure::Steady), 45);
}

} // namespace yuccascale::runtime
