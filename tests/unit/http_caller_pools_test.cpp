#include "fakes/manual_clock.hpp"
#include "yuccascale/http/caller_pools.hpp"
#include "yuccascale/kernel/requests/key_check.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

/// \file
/// \brief Guards against a prompt part that crashes engine after engine, seen from all entries.

namespace yuccascale::http {

namespace {

using namespace kernel;
using namespace kernel::requests;

constexpr const char *poolName = "engines";
constexpr int engineCount = 18;
constexpr milliseconds stepTime{20};
constexpr milliseconds runTime{200};
constexpr milliseconds crashTime{60}; ///< from the assignment to the crash
constexpr seconds restartTime{4};
constexpr seconds banTime{3}; ///< after the fifth crash no entry may send the part

enum class send_result { Sent, Refused, Unreachable };

/// Several entries before one pool of engines, on one clock.
class part_crash_world
{
public:
    explicit part_crash_world(int entries)
    {
        m_clock.advance(seconds(100));
        runtime::settings settings;
        settings.policy.routing = "round_robin";
        settings.policy.admission = "always";
        settings.policy.fairness = "first_come_first_served";
        for (int index = 0; index < entries; ++index) {
            m_entries.push_back(
                    caller_pools::make(settings, m_clock, static_cast<std::uint64_t>(index))
                            .value());
            m_entries.back()->setPosition({index, entries});
            m_entries.back()->setTables(tables(), nullptr);
            m_entries.back()->setEndpointUpdateListener([this, index](endpoint_updates updates) {
                m_updates.emplace_back(index, std::move(updates));
            });
            m_entries.back()->setCrashCauseListener(
                    [this](const std::string &pool, const part_set &parts) {
                        m_bans.insert(partBanOf(pool, parts));
                    });
        }
    }

    /// Sends a request with \a parts from \a entry; \a crashes when it ends its engine.
    send_result send(std::size_t entry, const std::vector<std::uint64_t> &parts, bool crashes)
    {
        request subject;
        subject.id = "r" + std::to_string(++m_ticket);
        subject.fingerprint = subject.id;
        subject.organisation = "o";
        subject.route.name = "query";
        subject.route.pool = poolName;
        subject.route.maxAttempts = 1;
        subject.promptTokens = 300;
        subject.outputTokens = 8;
        for (const std::uint64_t part : parts)
            subject.parts.push_back({part, 100});
        subject.parts.push_back({0x1000000 + m_ticket, 10});
        subject.receivedAt = m_clock.now();
        subject.deadline = subject.receivedAt + seconds(4);
        std::string engine;
        const auto mailbox = std::make_shared<caller_mailbox>(
                m_loop, [&](const caller_mailbox::message &message) {
                    if (const auto *assigned = std::get_if<endpoint_assignment>(&message))
                        engine = assigned->endpoint;
                });
        if (isBanned(m_bans, subject)
            || m_entries[entry]->push(m_ticket, subject, 1.0, {}, mailbox))
            return send_result::Refused;
        m_loop.restart();
        m_loop.poll();
        if (engine.empty()) {
            m_entries[entry]->remove(poolName, m_ticket);
            return send_result::Refused;
        }
        if (isDown(engine)) {
            attempt_result notSent;
            notSent.unreachable = true;
            finish({entry, m_ticket, engine, {}, false}, notSent);
            return send_result::Unreachable;
        }
        const instant end = m_clock.now() + (crashes ? crashTime : runTime);
        m_running.push_back({entry, m_ticket, engine, end, crashes});
        exchangeUpdates();
        return send_result::Sent;
    }

    void step()
    {
        m_clock.advance(stepTime);
        for (std::size_t index = 0; index < m_running.size();) {
            if (m_running[index].end > m_clock.now()) {
                ++index;
                continue;
            }
            const running ended = m_running[index];
            if (ended.crashes || isDown(ended.engine)) {
                crash(ended.engine);
                index = 0;
                continue;
            }
            m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(index));
            attempt_result answered;
            answered.answered = true;
            finish(ended, answered);
        }
    }

    /// Ends an engine; every request that runs there fails at its entry.
    void crash(const std::string &engine)
    {
        if (!isDown(engine))
            m_crashes.push_back(m_clock.now());
        m_downUntil[engine] = m_clock.now() + restartTime;
        const auto lost
                = std::stable_partition(m_running.begin(), m_running.end(),
                                        [&](const running &one) { return one.engine != engine; });
        const std::vector<running> failed(lost, m_running.end());
        m_running.erase(lost, m_running.end());
        attempt_result crashed;
        crashed.crashed = true;
        for (const running &one : failed)
            finish(one, crashed);
    }

    [[nodiscard]] instant now() const { return m_clock.now(); }
    [[nodiscard]] const std::vector<instant> &crashes() const { return m_crashes; }
    [[nodiscard]] const std::set<std::string> &bans() const { return m_bans; }

private:
    struct running
    {
        std::size_t entry = 0;
        std::uint64_t ticket = 0;
        std::string engine;
        instant end{};
        bool crashes = false;
    };

    [[nodiscard]] static state::table_set tables()
    {
        state::table_set out;
        state::pool &pool = out.pools[poolName];
        pool.name = poolName;
        for (int number = 0; number < engineCount; ++number) {
            state::endpoint row;
            row.name = "e" + std::to_string(number);
            row.address = row.name;
            row.zone = "z" + std::to_string(number % 3);
            pool.endpoints.push_back(row);
        }
        return out;
    }

    [[nodiscard]] bool isDown(const std::string &engine) const
    {
        const auto found = m_downUntil.find(engine);
        return found != m_downUntil.end() && found->second > m_clock.now();
    }

    void finish(const running &ended, const attempt_result &result)
    {
        static_cast<void>(m_entries[ended.entry]->finish(poolName, ended.ticket, result));
        exchangeUpdates();
    }

    void exchangeUpdates()
    {
        while (!m_updates.empty()) {
            const auto [from, updates] = std::move(m_updates.front());
            m_updates.pop_front();
            for (std::size_t index = 0; index < m_entries.size(); ++index) {
                if (index != static_cast<std::size_t>(from))
                    m_entries[index]->applyEndpointUpdates(updates);
            }
        }
    }

    fakes::manual_clock m_clock;
    net::io_context m_loop;
    std::vector<std::unique_ptr<caller_pools>> m_entries;
    std::deque<std::pair<int, endpoint_updates>> m_updates;
    std::vector<running> m_running;
    std::map<std::string, instant> m_downUntil;
    std::vector<instant> m_crashes;
    std::set<std::string> m_bans; ///< as the log brings them to all entries
    std::uint64_t m_ticket = 0;
};

/// What happened to the requests of one play.
struct play_outcome
{
    std::size_t crashes = 0;
    int sentTooLate = 0;  ///< requests with the part, later than banTime after the fifth crash
    int refusedLate = 0;  ///< the same, not sent
    int soundOffered = 0; ///< later than twice banTime after the fifth crash, the last if fewer
    int soundRefused = 0;
};

/// Plays 25 s in which two requests in a hundred hold a part that crashes engines. Sound requests
/// share their first part with them.
[[nodiscard]] play_outcome play(std::uint32_t seed, std::uint64_t crashingPart)
{
    constexpr std::size_t entries = 7;
    constexpr int steps = 1'250;
    constexpr std::uint64_t sharedParts = 5;
    std::mt19937 random(seed);
    part_crash_world world(entries);
    play_outcome outcome;
    for (int step = 0; step < steps; ++step) {
        world.step();
        const std::uint64_t first = 1 + random() % sharedParts;
        const bool crashes = random() % 50 == 0;
        const std::uint64_t second = crashes ? crashingPart : 10 + random() % 20;
        const send_result result = world.send(random() % entries, {first, second}, crashes);
        const std::size_t crashCount = std::min<std::size_t>(world.crashes().size(), 5);
        const nanoseconds since
                = crashCount > 0 ? world.now() - world.crashes()[crashCount - 1] : nanoseconds{};
        if (crashes && since > banTime)
            outcome.sentTooLate += result == send_result::Sent ? 1 : 0;
        if (crashes && since > banTime)
            outcome.refusedLate += result == send_result::Refused ? 1 : 0;
        if (!crashes && since > 2 * banTime) {
            ++outcome.soundOffered;
            outcome.soundRefused += result == send_result::Refused ? 1 : 0;
        }
    }
    outcome.crashes = world.crashes().size();
    return outcome;
}

} // namespace

TEST(crashing_prompt_part, isNotSentByAnyEntrySoonAfterTheFifthCrash)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        const play_outcome outcome = play(seed, 99);
        EXPECT_GE(outcome.refusedLate, 3) << "seed " << seed;
        EXPECT_LE(outcome.sentTooLate, 3)
                << "seed " << seed << ", " << outcome.crashes << " crashes";
    }
}

TEST(crashing_prompt_part, doesNotStopSoundRequestsThatShareItsOtherParts)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        const play_outcome outcome = play(seed, 99);
        ASSERT_GE(outcome.soundOffered, 100) << "seed " << seed;
        EXPECT_LE(outcome.soundRefused, outcome.soundOffered / 100) << "seed " << seed;
    }
}

TEST(crashing_prompt_part, isNotSuspectedWhenAnAvailabilityZoneIsLost)
{
    part_crash_world world(7);
    std::mt19937 random(20261204);
    int refused = 0;
    for (int step = 0; step < 500; ++step) {
        world.step();
        if (step == 100 || step == 300) {
            for (int engine = step / 100 % 3; engine < engineCount; engine += 3)
                world.crash("e" + std::to_string(engine));
        }
        refused += world.send(random() % 7, {1 + random() % 5, 10 + random() % 20}, false)
                        == send_result::Refused
                ? 1
                : 0;
    }
    EXPECT_EQ(refused, 0);
    EXPECT_TRUE(world.bans().empty());
}

TEST(crashing_prompt_part, isNotSuspectedWhileEnginesCrashByThemselvesAgainAndAgain)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        part_crash_world world(7);
        std::mt19937 random(seed);
        for (int step = 0; step < 2'000; ++step) {
            world.step();
            if (step % 25 == 0)
                world.crash("e" + std::to_string(random() % engineCount));
            static_cast<void>(
                    world.send(random() % 7, {1 + random() % 5, 10 + random() % 200}, false));
        }
        EXPECT_TRUE(world.bans().empty()) << "seed " << seed;
    }
}

} // namespace yuccascale::http
