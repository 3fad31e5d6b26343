#include "fakes/manual_clock.hpp"
#include "yuccascale/http/caller_pools.hpp"
#include "yuccascale/kernel/policy/answer_times.hpp"
#include "yuccascale/kernel/requests/drain_plan.hpp"

#include <gtest/gtest.h>

#include <random>

/// \file
/// \brief Which requests an entry still begins while it shuts down.

namespace yuccascale::kernel::requests {

namespace {

constexpr instant start{seconds(100)};

/// One kind of request.
struct request_kind
{
    std::string route;
    milliseconds deadline{};
    milliseconds usual{}; ///< time of an answer; one in twenty takes up to five times as long
};

/// A shutdown of one entry under load.
struct shutdown_play
{
    std::uint64_t seed = 1;
    milliseconds limit{8'000};
    double slowdown = 1; ///< of the endpoints from the shutdown on
};

struct shutdown_outcome
{
    int taken = 0;                ///< after the shutdown began
    int givenUp = 0;              ///< of those, not answered before the process ends
    int refused = 0;              ///< at once, not run
    int refusedThoughInTime = 0;  ///< of those, would have been answered before the process ends
    nanoseconds firstRefusal{-1}; ///< of those: since the shutdown began; negative: none
};

const std::vector<request_kind> kinds{{"appraisal", milliseconds(8'000), milliseconds(700)},
                                      {"query", milliseconds(4'000), milliseconds(200)},
                                      {"bid", milliseconds(2'500), milliseconds(40)}};

/// One entry with the pools that it runs, on a test clock.
class shutdown_world
{
public:
    explicit shutdown_world(const shutdown_play &play)
        : m_play(play)
        , m_random(play.seed)
    {
        m_clock.advance(start.time_since_epoch());
        runtime::settings settings;
        settings.policy.routing = "round_robin";
        settings.policy.admission = "always";
        settings.policy.fairness = "first_come_first_served";
        m_pools = http::caller_pools::make(settings, m_clock, play.seed).value();
        m_pools->setTables(tables(), nullptr);
    }

    shutdown_outcome run()
    {
        constexpr milliseconds warmUp{25'000};
        constexpr milliseconds step{5};
        const instant leavingAt = m_clock.now() + warmUp;
        const instant killedAt = leavingAt + m_play.limit;
        while (m_clock.now() < killedAt) {
            if (m_clock.now() >= leavingAt && m_plan.end() == instant::max())
                m_plan = drain_plan(leavingAt, m_play.limit);
            arrive(leavingAt);
            finishDue();
            m_clock.advance(step);
        }
        for (const running_request &running : m_running)
            m_outcome.givenUp += running.begun >= leavingAt ? 1 : 0;
        return m_outcome;
    }

private:
    struct running_request
    {
        std::uint64_t ticket = 0;
        instant begun{};
        instant endAt{};
    };

    [[nodiscard]] static state::table_set tables()
    {
        state::table_set out;
        state::pool pool;
        pool.name = "engines";
        for (int index = 0; index < 18; ++index) {
            state::endpoint row;
            row.name = "e" + std::to_string(index);
            row.address = "10.0.0." + std::to_string(index + 1) + ":80";
            row.slots = 1'000;
            pool.endpoints.push_back(row);
        }
        out.pools.emplace(pool.name, pool);
        return out;
    }

    void arrive(instant leavingAt)
    {
        constexpr double perStep = 0.05; ///< of each kind
        std::uniform_real_distribution<double> share(0, 1);
        for (const request_kind &kind : kinds) {
            if (share(m_random) >= perStep)
                continue;
            const nanoseconds time = drawTime(kind);
            const bool leaving = m_clock.now() >= leavingAt;
            if (!leaving || mayBegin(kind, time, leavingAt))
                begin(kind, time, leaving);
        }
    }

    [[nodiscard]] nanoseconds drawTime(const request_kind &kind)
    {
        constexpr double slowShare = 0.05;
        std::uniform_real_distribution<double> share(0, 1);
        const double factor
                = share(m_random) < slowShare ? 1 + 4 * share(m_random) : 0.5 + share(m_random);
        const double slowdown = m_plan.end() == instant::max() ? 1 : m_play.slowdown;
        return std::chrono::duration_cast<nanoseconds>(nanoseconds(kind.usual) * factor * slowdown);
    }

    [[nodiscard]] bool mayBegin(const request_kind &kind, nanoseconds time, instant leavingAt)
    {
        const instant now = m_clock.now();
        if (m_plan.endsInTime(now, now + kind.deadline,
                              m_pools->longestAnswer("engines", kind.route)))
            return true;
        ++m_outcome.refused;
        if (now + time > m_plan.end())
            return false;
        ++m_outcome.refusedThoughInTime;
        if (m_outcome.firstRefusal < nanoseconds::zero())
            m_outcome.firstRefusal = now - leavingAt;
        return false;
    }

    void begin(const request_kind &kind, nanoseconds time, bool leaving)
    {
        const instant now = m_clock.now();
        request subject;
        subject.id = "r" + std::to_string(++m_ticket);
        subject.route.name = kind.route;
        subject.route.pool = "engines";
        subject.receivedAt = now;
        subject.deadline = now + kind.deadline;
        subject.entryEnd = m_plan.end();
        const auto mailbox = std::make_shared<http::caller_mailbox>(m_loop, [](const auto &) {});
        ASSERT_FALSE(m_pools->push(m_ticket, subject, 1.0, {}, mailbox));
        m_outcome.taken += leaving ? 1 : 0;
        m_running.push_back({m_ticket, now, now + std::min<nanoseconds>(time, kind.deadline)});
    }

    void finishDue()
    {
        std::erase_if(m_running, [&](const running_request &running) {
            if (running.endAt > m_clock.now())
                return false;
            attempt_result answered;
            answered.answered = true;
            answered.totalTime = m_clock.now() - running.begun;
            static_cast<void>(m_pools->finish("engines", running.ticket, answered));
            return true;
        });
    }

    shutdown_play m_play;
    std::mt19937_64 m_random;
    fakes::manual_clock m_clock;
    net::io_context m_loop;
    std::unique_ptr<http::caller_pools> m_pools;
    drain_plan m_plan;
    std::uint64_t m_ticket = 0;
    std::vector<running_request> m_running;
    shutdown_outcome m_outcome;
};

} // namespace

TEST(drain_plan, takesEverythingWhileNotLeavingOrWithoutALimit)
{
    const instant never = instant::max();
    EXPECT_TRUE(drain_plan().endsInTime(start, start + seconds(60), std::nullopt));
    EXPECT_EQ(drain_plan().end(), never);
    EXPECT_EQ(drain_plan(start, nanoseconds::zero()).end(), never);
}

/// Guards against requests of which nothing is known but a deadline after the end of the process.
TEST(drain_plan, boundsARequestByItsDeadlineWhileNoAnswerTimeIsKnown)
{
    const drain_plan plan(start, seconds(8));
    EXPECT_TRUE(plan.endsInTime(start, plan.end(), std::nullopt));
    EXPECT_FALSE(plan.endsInTime(start, plan.end() + milliseconds(1), std::nullopt));
    EXPECT_TRUE(plan.endsInTime(start, start + seconds(60), milliseconds(100)));
    EXPECT_FALSE(plan.endsInTime(plan.end() - milliseconds(149), start + seconds(60),
                                 milliseconds(100)));
}

TEST(drain_plan, endsBeforeTheProcessIsKilledButNotBeforeTheLastSixthOfItsTime)
{
    for (const seconds limit : {seconds(1), seconds(2), seconds(8), seconds(30), seconds(300)}) {
        const drain_plan plan(start, limit);
        EXPECT_LT(plan.end(), start + limit - milliseconds(40));
        EXPECT_GE(plan.end(), start + limit * 5 / 6) << limit.count();
    }
}

TEST(answer_times, knowsTheLongestRecentAnswerOnceThereAreSeveral)
{
    policy::answer_times times;
    times.answered(start, milliseconds(900));
    EXPECT_FALSE(times.longest(start));
    for (int number = 0; number < 7; ++number)
        times.answered(start + seconds(1), milliseconds(100));
    EXPECT_EQ(times.longest(start + seconds(1)), milliseconds(900));
    times.ended(start + seconds(2), milliseconds(2'000));
    EXPECT_EQ(times.longest(start + seconds(2)), milliseconds(2'000));
    EXPECT_FALSE(times.longest(start + seconds(60)));
}

/// Guards against requests that are taken and given up, and against refusing what would have ended.
TEST(drain_plan, givesUpNoRequestThatItTakesAndRefusesNoneThatSurelyEnds)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        for (const milliseconds limit :
             {milliseconds(2'000), milliseconds(8'000), milliseconds(30'000)}) {
            const shutdown_outcome outcome = shutdown_world({seed, limit, 1}).run();
            EXPECT_EQ(outcome.givenUp, 0) << "seed " << seed << ", limit " << limit.count();
            EXPECT_EQ(shutdown_world({seed, limit, 1.4}).run().givenUp, 0) << "seed " << seed;
            // the longest answer takes 3.5 s; half as long again is allowed for
            if (limit > milliseconds(6'000)) {
                EXPECT_GT(outcome.firstRefusal, limit - milliseconds(5'750)) << "seed " << seed;
            }
            EXPECT_GT(outcome.taken, 0);
        }
    }
}

} // namespace yuccascale::kernel::requests
