#include "fakes/manual_clock.hpp"
#include "yuccascale/http/caller_pools.hpp"
#include "yuccascale/kernel/policy/answer_times.hpp"
#include "yuccascale/kernel/requests/drain_plan.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <random>
#include <span>

/// \file
/// \brief Which requests an entry still begins while it shuts down.

namespace yuccascale::kernel::requests {

namespace {

constexpr instant start{seconds(100)};

/// What a caller can do about a request that is cut.
enum class repetition { Never, Whole, Rest };

constexpr std::array<const char *, 3> repetitionNames{"runs once", "idempotent", "resumable"};

/// One kind of request.
struct request_kind
{
    std::string route;
    milliseconds deadline{};
    milliseconds usual{}; ///< time of an answer; one in twenty takes up to five times as long
    repetition repeated = repetition::Whole;
};

/// How long callers may hold a list of entries.
constexpr milliseconds addressTtl{2'000};
/// Of its deadline, the time that a long answer takes.
constexpr double longAnswerShare = 0.9;

/// A shutdown of one entry under load.
struct shutdown_play
{
    std::uint64_t seed = 1;
    milliseconds limit{8'000};
    double slowdown = 1;  ///< of the endpoints from the shutdown on
    double longShare = 0; ///< of the requests from the shutdown on
    bool answersBefore = true;
};

struct shutdown_counts
{
    int taken = 0;                ///< after the shutdown began
    int givenUp = 0;              ///< of those, not answered before the process ends
    int givenUpLate = 0;          ///< of those, received when callers could know of the shutdown
    int refused = 0;              ///< at once, not run
    int refusedThoughBounded = 0; ///< of those, with a deadline before the process ends
    int refusedThoughInTime = 0;  ///< of those, would have been answered before the process ends
    nanoseconds firstRefusal{-1}; ///< of those: since the shutdown began; negative: none

    void add(const shutdown_counts &other)
    {
        taken += other.taken;
        givenUp += other.givenUp;
        givenUpLate += other.givenUpLate;
        refused += other.refused;
        refusedThoughBounded += other.refusedThoughBounded;
        refusedThoughInTime += other.refusedThoughInTime;
    }
};

/// By repetition.
struct shutdown_outcome
{
    std::array<shutdown_counts, 3> counts;

    [[nodiscard]] shutdown_counts &of(const request_kind &kind)
    {
        return counts.at(static_cast<std::size_t>(kind.repeated));
    }

    [[nodiscard]] const shutdown_counts &neverRepeated() const { return counts.front(); }

    [[nodiscard]] shutdown_counts sum() const
    {
        shutdown_counts total;
        for (const shutdown_counts &one : counts)
            total.add(one);
        return total;
    }

    /// \returns whether a request that may be repeated was refused in vain within \a time.
    [[nodiscard]] bool refusedRepeatableWithin(nanoseconds time) const
    {
        const auto repeatable = std::span(counts).subspan(1);
        return std::ranges::any_of(repeatable, [time](const shutdown_counts &one) {
            return one.firstRefusal >= nanoseconds::zero() && one.firstRefusal <= time;
        });
    }
};

const std::vector<request_kind> kinds{
        {"appraisal", milliseconds(8'000), milliseconds(700), repetition::Rest},
        {"query", milliseconds(4'000), milliseconds(200), repetition::Whole},
        {"bid", milliseconds(2'500), milliseconds(40), repetition::Whole},
        {"filing", milliseconds(8'000), milliseconds(700), repetition::Never},
        {"booking", milliseconds(2'500), milliseconds(40), repetition::Never}};

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
                m_plan = drain_plan(leavingAt, m_play.limit, addressTtl);
            if (m_play.answersBefore || m_clock.now() >= leavingAt)
                arrive(leavingAt);
            finishDue();
            m_clock.advance(step);
        }
        for (const running_request &running : m_running) {
            shutdown_counts &counts = m_outcome.of(*running.kind);
            counts.givenUp += running.begun >= leavingAt ? 1 : 0;
            counts.givenUpLate += running.begun > leavingAt + addressTtl ? 1 : 0;
        }
        return m_outcome;
    }

private:
    struct running_request
    {
        const request_kind *kind = nullptr;
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
            const request subject = requestOf(kind);
            if (!leaving || mayBegin(kind, subject, time, leavingAt))
                begin(kind, subject, time, leaving);
        }
    }

    [[nodiscard]] request requestOf(const request_kind &kind)
    {
        request subject;
        subject.id = "r" + std::to_string(++m_ticket);
        subject.route.name = kind.route;
        subject.route.pool = "engines";
        subject.route.idempotent = kind.repeated != repetition::Never;
        subject.route.claimed = false;
        subject.receivedAt = m_clock.now();
        subject.deadline = m_clock.now() + kind.deadline;
        subject.entryEnd = m_plan.end();
        return subject;
    }

    [[nodiscard]] nanoseconds drawTime(const request_kind &kind)
    {
        constexpr double slowShare = 0.05;
        std::uniform_real_distribution<double> share(0, 1);
        const double factor
                = share(m_random) < slowShare ? 1 + 4 * share(m_random) : 0.5 + share(m_random);
        const bool leaving = m_plan.end() != instant::max();
        if (leaving && share(m_random) < m_play.longShare)
            return std::chrono::duration_cast<nanoseconds>(nanoseconds(kind.deadline)
                                                           * longAnswerShare);
        const double slowdown = leaving ? m_play.slowdown : 1;
        return std::chrono::duration_cast<nanoseconds>(nanoseconds(kind.usual) * factor * slowdown);
    }

    [[nodiscard]] bool mayBegin(const request_kind &kind, const request &subject, nanoseconds time,
                                instant leavingAt)
    {
        shutdown_counts &counts = m_outcome.of(kind);
        const instant now = m_clock.now();
        if (m_plan.endsInTime(now, subject, m_pools->longestAnswer("engines", subject.route.name)))
            return true;
        ++counts.refused;
        counts.refusedThoughBounded += subject.deadline <= m_plan.end() ? 1 : 0;
        if (now + time > m_plan.end())
            return false;
        ++counts.refusedThoughInTime;
        if (counts.firstRefusal < nanoseconds::zero())
            counts.firstRefusal = now - leavingAt;
        return false;
    }

    void begin(const request_kind &kind, const request &subject, nanoseconds time, bool leaving)
    {
        const instant now = m_clock.now();
        const auto mailbox = std::make_shared<http::caller_mailbox>(m_loop, [](const auto &) {});
        ASSERT_FALSE(m_pools->push(m_ticket, subject, 1.0, {}, mailbox));
        m_outcome.of(kind).taken += leaving ? 1 : 0;
        m_running.push_back({&kind, m_ticket, now, std::min(now + time, subject.deadline)});
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

/// A request that is received at \a receivedAt.
[[nodiscard]] request requestWith(instant receivedAt, instant deadline)
{
    request subject;
    subject.receivedAt = receivedAt;
    subject.deadline = deadline;
    return subject;
}

TEST(drain_plan, takesEverythingWhileNotLeavingOrWithoutALimit)
{
    const instant never = instant::max();
    EXPECT_TRUE(
            drain_plan().endsInTime(start, requestWith(start, start + seconds(60)), std::nullopt));
    EXPECT_EQ(drain_plan().end(), never);
    EXPECT_EQ(drain_plan(start, nanoseconds::zero()).end(), never);
}

/// Guards against requests of which nothing is known but a deadline after the end of the process.
TEST(drain_plan, boundsARequestByItsDeadlineWhileNoAnswerTimeIsKnown)
{
    const drain_plan plan(start, seconds(8), addressTtl);
    EXPECT_TRUE(plan.endsInTime(start, requestWith(start, plan.end()), std::nullopt));
    EXPECT_FALSE(
            plan.endsInTime(start, requestWith(start, plan.end() + milliseconds(1)), std::nullopt));
}

/// Guards against streams that are cut because the answers before them were short.
TEST(drain_plan, beginsARequestOnAnEstimateOnlyWhileItsCallerCannotKnowOfTheShutdown)
{
    const drain_plan plan(start, seconds(8), addressTtl);
    const instant late = start + seconds(60);
    constexpr milliseconds estimate{100};
    EXPECT_TRUE(plan.endsInTime(start, requestWith(start - seconds(1), late), estimate));
    EXPECT_TRUE(plan.endsInTime(start, requestWith(start + addressTtl, late), estimate));
    // a retry, or the end of a wait in the queue, is judged by when its caller sent the request
    EXPECT_TRUE(plan.endsInTime(start + seconds(7), requestWith(start, late), estimate));
    EXPECT_FALSE(
            plan.endsInTime(plan.end() - milliseconds(149), requestWith(start, late), estimate));
    for (milliseconds after = addressTtl + milliseconds(1); after < seconds(8); after += seconds(1))
        EXPECT_FALSE(plan.endsInTime(start + after, requestWith(start + after, late), estimate));
}

/// Guards against a short time limit that a long address lifetime fills with estimates.
TEST(drain_plan, estimatesForAPartOfItsTimeLimitOnly)
{
    for (const milliseconds limit : {seconds(1), seconds(4), seconds(8), seconds(20)}) {
        const drain_plan plan(start, limit, seconds(60));
        const instant later = start + limit * 3 / 8;
        EXPECT_FALSE(
                plan.endsInTime(later, requestWith(later, start + seconds(90)), milliseconds(1)));
    }
}

/// Guards against a request of another entry that this one cuts, though that entry can go on.
TEST(drain_plan, beginsForAnotherEntryOnlyWhatADeadlineBounds)
{
    const drain_plan plan(start, seconds(8), addressTtl);
    request passedOn = requestWith(start, start + seconds(60));
    passedOn.relay = relay_grant{"other", {}, 0, false};
    EXPECT_FALSE(plan.endsInTime(start, passedOn, milliseconds(100)));
    passedOn.deadline = plan.end();
    EXPECT_TRUE(plan.endsInTime(start, passedOn, std::nullopt));
}

/// Guards against requests with an unknown outcome that may not be sent again.
TEST(drain_plan, beginsWhatMayNotBeRepeatedOnlyUnderADeadline)
{
    for (const milliseconds limit : {milliseconds(1'000), milliseconds(8'000)}) {
        const drain_plan plan(start, limit, addressTtl);
        request once = requestWith(start - milliseconds(10), start + seconds(60));
        once.route.idempotent = false;
        EXPECT_FALSE(plan.endsInTime(start, once, milliseconds(1)));
        once.deadline = plan.end();
        EXPECT_TRUE(plan.endsInTime(start, once, std::nullopt));
    }
}

TEST(drain_plan, endsBeforeTheProcessIsKilledButNotBeforeTheLastSixthOfItsTime)
{
    for (const seconds limit : {seconds(1), seconds(2), seconds(8), seconds(30), seconds(300)}) {
        const drain_plan plan(start, limit);
        EXPECT_LT(plan.end(), start + limit - milliseconds(40));
        EXPECT_GE(plan.end(), start + limit * 5 / 6) << limit.count();
    }
}

/// Guards against a process that is killed while it waits for its callers to close.
TEST(drain_plan, leavesTimeToEndTheProcessOnceCallersHadTheirsToClose)
{
    EXPECT_EQ(drain_plan().closingTime(), nanoseconds::max());
    for (const seconds limit : {seconds(1), seconds(2), seconds(5), seconds(8), seconds(300)}) {
        const drain_plan plan(start, limit);
        EXPECT_GE(plan.closingTime(), milliseconds(25)) << limit.count();
        EXPECT_LE(plan.end() + 2 * plan.closingTime(), start + limit) << limit.count();
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
    times.answered(start + seconds(2), milliseconds(2'000));
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
            const shutdown_counts sum = outcome.sum();
            EXPECT_EQ(sum.givenUp, 0) << "seed " << seed << ", limit " << limit.count();
            EXPECT_EQ(sum.refusedThoughBounded, 0) << "seed " << seed;
            EXPECT_EQ(shutdown_world({seed, limit, 1.4}).run().sum().givenUp, 0) << "seed " << seed;
            // the longest deadline is 8 s; estimates hold while callers cannot know
            if (limit > milliseconds(6'000)) {
                EXPECT_FALSE(outcome.refusedRepeatableWithin(
                        std::max(addressTtl, limit - milliseconds(8'500))))
                        << "seed " << seed;
            }
            EXPECT_GT(sum.taken, 0);
        }
    }
}

namespace {

/// Requests after the shutdown that recent answers say little of.
struct answer_mix
{
    const char *what;
    double longShare;
    double slowdown;
    bool answersBefore;
};

constexpr std::array<answer_mix, 4> mixes{{{"long answers after short ones", 1, 1, true},
                                           {"short and long answers on one route", 0.3, 1, true},
                                           {"no recent answer", 0.3, 1, false},
                                           {"endpoints that become slow", 0, 8, true}}};

void print(const answer_mix &mix, milliseconds limit, const shutdown_outcome &sum)
{
    for (std::size_t index = 0; index < sum.counts.size(); ++index) {
        const shutdown_counts &counts = sum.counts.at(index);
        std::cout << "[ measured ] " << mix.what << ", " << limit.count() << " ms, "
                  << repetitionNames.at(index) << ": " << counts.taken << " taken, "
                  << counts.givenUp << " given up, " << counts.refused << " refused, of which "
                  << counts.refusedThoughInTime << " would have ended\n";
    }
}

} // namespace

/// Guards against streams that are cut because the answers before them were short.
TEST(drain_plan, givesUpNothingThatCallersSentWhenTheyCouldKnowOfTheShutdown)
{
    for (const answer_mix &mix : mixes) {
        for (const milliseconds limit :
             {milliseconds(2'000), milliseconds(8'000), milliseconds(30'000)}) {
            shutdown_outcome sum;
            for (std::uint64_t seed = 1; seed <= 40; ++seed) {
                const shutdown_outcome outcome = shutdown_world({seed, limit, mix.slowdown,
                                                                 mix.longShare, mix.answersBefore})
                                                         .run();
                EXPECT_EQ(outcome.sum().givenUpLate, 0) << mix.what << ", seed " << seed;
                EXPECT_EQ(outcome.sum().refusedThoughBounded, 0) << mix.what << ", seed " << seed;
                EXPECT_EQ(outcome.neverRepeated().givenUp, 0) << mix.what << ", seed " << seed;
                for (std::size_t index = 0; index < sum.counts.size(); ++index)
                    sum.counts.at(index).add(outcome.counts.at(index));
            }
            print(mix, limit, sum);
            // no deadline ends within the shortest limit
            EXPECT_TRUE(sum.sum().taken > 0 || (limit < milliseconds(2'500) && !mix.answersBefore));
        }
    }
}

} // namespace yuccascale::kernel::requests
