#include "fakes/control_log.hpp"
#include "fakes/manual_clock.hpp"
#include "fakes/null_event_sink.hpp"
#include "yuccascale/runtime/duties.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

/// \file
/// \brief Which control node reads the platform's list of endpoints, and as of when.

namespace yuccascale::runtime {

namespace {

using namespace kernel;

constexpr milliseconds limit{10'000};
constexpr instant start{seconds(100)};

/// Counts the reads; each takes time on the clock and may fail.
class counting_lister final : public orders::endpoint_lister
{
public:
    counting_lister(std::atomic<int> &reads, const std::atomic<bool> &down)
        : m_reads(reads)
        , m_down(down)
    { }

    [[nodiscard]] result<orders::endpoint_listing> read() override
    {
        ++m_reads;
        if (m_down)
            return fail(error_kind::Unavailable, "platform", "down");
        return orders::endpoint_listing{{{"engines", {}}}, {}};
    }

private:
    std::atomic<int> &m_reads;
    const std::atomic<bool> &m_down;
};

class given_leadership final : public leadership_source
{
public:
    [[nodiscard]] std::optional<leadership> current(instant now) const override
    {
        if (fence == 0)
            return std::nullopt;
        return leadership{fence, start, now + seconds(1), instant::max()};
    }

    std::uint64_t fence = 0; ///< 0: this node does not lead
};

class list_duties : public testing::Test
{
protected:
    list_duties()
    {
        m_clock.advance(start.time_since_epoch());
        m_settings.control.feedInterval = milliseconds(600);
        m_settings.promises.drainNotice = seconds(3);
        duty_drivers drivers;
        drivers.endpoints = std::make_unique<counting_lister>(m_reads, m_down);
        m_duties = std::make_unique<leader_duties>(
                duty_context{m_settings, m_leadership, m_control,
                             [] { return state::leader_view{}; }, nullptr, nullptr, m_events,
                             m_clock,
                             [this](feed::endpoint_reading reading) {
                                 m_readings.push_back(std::move(reading));
                             },
                             nullptr, [this] { return m_askedAt; }},
                std::move(drivers));
    }

    /// Ticks for \a time; what was read by the end is taken over.
    void runFor(milliseconds time)
    {
        constexpr milliseconds step{50};
        for (milliseconds since{}; since < time; since += step) {
            m_clock.advance(step);
            m_duties->tick();
            std::this_thread::sleep_for(milliseconds(1)); // the read is another thread's
        }
        m_duties->tick();
    }

    /// Waits until \a count reads have ended; the clock stands.
    void awaitReadings(std::size_t count)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (m_readings.size() < count && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(milliseconds(1));
            m_duties->tick();
        }
        ASSERT_EQ(m_readings.size(), count);
    }

    settings m_settings;
    given_leadership m_leadership;
    fakes::control_log m_control;
    fakes::null_event_sink m_events;
    fakes::manual_clock m_clock;
    std::atomic<int> m_reads{0};
    std::atomic<bool> m_down{false};
    std::vector<feed::endpoint_reading> m_readings;
    std::optional<instant> m_askedAt;
    std::unique_ptr<leader_duties> m_duties;
};

} // namespace

/// Guards against calls to the platform that calm does not need.
TEST_F(list_duties, inCalmOnlyTheLeaderReads)
{
    for (int second = 0; second < 20; ++second) {
        m_askedAt = m_clock.now() - milliseconds(100);
        runFor(seconds(1));
    }
    EXPECT_EQ(m_reads, 0);
    m_leadership.fence = 7;
    for (std::size_t count = 1; count <= 10; ++count) {
        runFor(m_settings.platform.listInterval);
        awaitReadings(count);
        EXPECT_EQ(m_readings.back().fence, 7U);
    }
}

/// Guards against a list that nobody reads while there is no leader, or none that can read it.
TEST_F(list_duties, aControlNodeThatDoesNotLeadReadsOnceItsCopyIsTooOld)
{
    m_askedAt = m_clock.now();
    runFor(milliseconds(1'500));
    EXPECT_EQ(m_reads, 0);
    runFor(milliseconds(150));
    awaitReadings(1);
    EXPECT_EQ(m_readings.back().fence, 0U);
    EXPECT_EQ(m_readings.back().askedAt, start + milliseconds(1'600));
}

/// Guards against control nodes that ask a platform that is down again and again.
TEST_F(list_duties, aPlatformThatIsDownIsAskedSeldom)
{
    m_down = true;
    m_askedAt = m_clock.now();
    runFor(seconds(16));
    EXPECT_LE(m_reads, 10);
    EXPECT_GE(m_reads, 5);
}

/// Guards against a new leader that waits for its turn as a follower.
TEST_F(list_duties, aNewLeaderReadsAtTheLeadersInterval)
{
    m_askedAt = m_clock.now();
    runFor(milliseconds(1'650));
    awaitReadings(1);
    m_leadership.fence = 7;
    runFor(milliseconds(550));
    awaitReadings(2);
}

} // namespace yuccascale::runtime
