#include "processes/cluster.hpp"
#include "processes/edit_judge.hpp"
#include "processes/soak_seeds.hpp"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <csignal>
#include <iostream>
#include <random>
#include <thread>

/// \file
/// \brief Real programs under edits all the time, leaders that change, endpoints that drain and
/// restarts of all.

namespace yuccascale::processes {

namespace {

constexpr std::array<unsigned, 1> ciSeeds{2};
constexpr std::size_t controlNodes = 3;
constexpr milliseconds editInterval{250};
constexpr milliseconds probeInterval{60};
constexpr milliseconds leaderPause{5'500}; ///< longer than the contact time of the judge
constexpr milliseconds quietTime{4'000};
constexpr int faultsPerRun = 4;
const char *const drainedEngine = "engine-1";
/// Where operators send their edits: a node that no fault but the restart of all strikes.
const std::vector<std::size_t> operatorsNode{3};

[[nodiscard]] test_time testNow()
{
    return std::chrono::steady_clock::now();
}

/// One run: an operator, callers and faults on threads of their own.
class edits_soak
{
public:
    explicit edits_soak(unsigned seed)
        : m_random(seed)
        , m_system(options())
    { }

    void run()
    {
        ASSERT_TRUE(putEngines(false));
        std::thread editing([this] { edit(); });
        std::thread probing([this] { probe(); });
        std::this_thread::sleep_for(quietTime);
        for (int number = 0; number < faultsPerRun; ++number) {
            (this->*faults.at(m_random() % faults.size()))();
            std::this_thread::sleep_for(quietTime);
        }
        restartAll();
        std::this_thread::sleep_for(quietTime);
        m_stopped = true;
        editing.join();
        probing.join();
        judgeDrain();
        for (const std::string &violation : m_judge.violations())
            ADD_FAILURE() << violation << "; " << m_history;
        const auto [judged, notReady] = m_judge.judged();
        EXPECT_GT(judged, 20) << m_history;
        std::cout << judged << " answers judged, " << notReady << " not ready; " << m_keys
                  << " keys; recovery " << m_slowestRecovery.count() << " ms at most; " << m_history
                  << "\n";
    }

private:
    using fault = void (edits_soak::*)();
    static const std::array<fault, 3> faults;

    /// The times of the users' platform.
    [[nodiscard]] static cluster_options options()
    {
        cluster_options made;
        made.control = "freshness: 4700ms, feed_interval: 600ms";
        made.tablePropagation = "2s";
        return made;
    }

    void edit()
    {
        while (!m_stopped) {
            const command_answer answer = m_system.command(
                    {"key", "create", "albany", "k" + std::to_string(m_keys++)}, operatorsNode);
            if (answer.exitCode == 0 && answer.document.is_object())
                m_judge.keyAcknowledged(answer.document.value("key", ""), testNow());
            std::this_thread::sleep_for(editInterval);
        }
    }

    /// Entries that are paused answer nothing, so that nothing is judged there.
    void probe()
    {
        for (std::size_t number = 0; !m_stopped; ++number) {
            const std::size_t node = number % m_system.size();
            if (!m_down.at(node)) // work for the engines, whatever the entry knows of new keys
                static_cast<void>(fakes::callHttp(
                        call(node, m_system.key(), "load-" + std::to_string(number))));
            const test_time sentAt = testNow();
            if (const auto key = m_judge.keyInForce(sentAt); key && !m_down.at(node)) {
                const auto answer
                        = fakes::callHttp(call(node, *key, "probe-" + std::to_string(number)));
                if (answer.status != 0)
                    m_judge.answered("node " + std::to_string(node), answer.status, sentAt);
            }
            std::this_thread::sleep_for(probeInterval);
        }
    }

    [[nodiscard]] fakes::http_call call(std::size_t node, const std::string &key,
                                        const std::string &id) const
    {
        fakes::http_call made = m_system.chat(node, id, "a file", 1);
        made.headers.erase("Authorization");
        made.headers.emplace("Authorization", "Bearer " + key);
        made.timeoutMs = 2'000;
        return made;
    }

    void disturb(const std::string &what)
    {
        m_history += what + "; ";
        m_judge.disturbed(testNow());
    }

    [[nodiscard]] std::size_t leader() const
    {
        const std::size_t found = m_system.leader(controlNodes);
        return found < controlNodes ? found : 0;
    }

    [[nodiscard]] std::size_t pause()
    {
        const std::size_t node = leader();
        m_down.at(node) = true;
        disturb("pause leader " + std::to_string(node));
        m_system.nodeProcess(node).signal(SIGSTOP);
        return node;
    }

    void resume(std::size_t node)
    {
        disturb("resume");
        m_system.nodeProcess(node).signal(SIGCONT);
        m_down.at(node) = false;
    }

    /// The promises bind again while the leader still stands still.
    void pauseLeader()
    {
        const std::size_t node = pause();
        std::this_thread::sleep_for(leaderPause);
        resume(node);
    }

    void killLeader()
    {
        const std::size_t node = leader();
        m_down.at(node) = true;
        disturb("kill leader " + std::to_string(node));
        m_system.nodeProcess(node).kill();
        std::this_thread::sleep_for(leaderPause);
        disturb("start");
        m_system.startNode(node);
        m_down.at(node) = false;
    }

    void restartAll()
    {
        disturb("restart all");
        for (std::size_t node = 0; node < m_system.size(); ++node)
            m_system.nodeProcess(node).kill();
        for (std::size_t node = 0; node < m_system.size(); ++node)
            m_system.startNode(node);
        const test_time begin = testNow();
        for (std::size_t node = 0; node < m_system.size(); ++node) {
            const bool served = waitUntil(milliseconds(20'000), [&] {
                return fakes::callHttp(m_system.chat(node, "first", "a file", 1)).status == 200;
            });
            const auto took = std::chrono::duration_cast<milliseconds>(testNow() - begin);
            EXPECT_TRUE(served) << "node " << node << "; " << m_history;
            m_judge.recovered("node " + std::to_string(node), took);
            m_slowestRecovery = std::max(m_slowestRecovery, took);
        }
        disturb("all serve");
    }

    /// Puts the pool of engines, which all stay, with one of them draining or not.
    /// \returns whether the edit was acknowledged.
    [[nodiscard]] bool putEngines(bool draining) const
    {
        json engines = json::array();
        for (const json &pool : m_system.command({"pool", "list"}, operatorsNode).document) {
            for (const json &row : pool.at("endpoints")) {
                json kept{{"name", row.at("name")},
                          {"address", row.at("address")},
                          {"zone", row.at("zone")},
                          {"slots", "8"}};
                if (row.at("name") == drainedEngine)
                    kept["draining"] = draining ? "true" : "false";
                if (pool.at("name") == "engines")
                    engines.push_back(kept);
            }
        }
        const json pool{{"name", "engines"}, {"kind", "model"},    {"model", "model"},
                        {"version", "1"},    {"min_endpoints", 3}, {"endpoints", engines}};
        return m_system.put("pool", json::array({pool}), operatorsNode).exitCode == 0;
    }

    /// Drains an engine while the leader stands still, so that the next one acknowledges it.
    void drainEngine()
    {
        if (m_drainedAt != test_time())
            return killLeader();
        const std::size_t node = pause();
        // an edit that comes between the reading and the writing of the row refuses the put
        if (waitUntil(leaderPause, [this] { return putEngines(true); })) {
            m_history += std::string("drained ") + drainedEngine + "; ";
            m_drainedAt = testNow();
            m_drainedAtMs = wallMs();
        }
        std::this_thread::sleep_for(leaderPause);
        resume(node);
    }

    [[nodiscard]] static std::int64_t wallMs()
    {
        return std::chrono::duration_cast<milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                .count();
    }

    void judgeDrain()
    {
        if (m_drainedAt == test_time())
            return;
        for (const json &request : m_system.history("engines", "request")) {
            const bool work = request.value("path", "").starts_with("/v1/");
            const std::int64_t after = request.value("at_ms", std::int64_t{0}) - m_drainedAtMs;
            if (work && request.value("who", "") == drainedEngine && after > 0)
                m_judge.reachedDraining(drainedEngine, m_drainedAt,
                                        m_drainedAt + milliseconds(after));
        }
    }

    std::minstd_rand m_random;
    cluster m_system;
    edit_judge m_judge{edit_bounds{}};
    std::array<std::atomic<bool>, 4> m_down{};
    std::atomic<bool> m_stopped{false};
    int m_keys = 0;
    test_time m_drainedAt{};
    std::int64_t m_drainedAtMs = 0;
    milliseconds m_slowestRecovery{};
    std::string m_history; ///< injected faults, printed with a failure
};

const std::array<edits_soak::fault, 3> edits_soak::faults{
        &edits_soak::pauseLeader, &edits_soak::killLeader, &edits_soak::drainEngine};

} // namespace

TEST(soak_edits, editsAreInForceInTimeWhileLeadersChange)
{
    for (const unsigned seed : soakSeeds(ciSeeds)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        edits_soak(seed).run();
    }
}

} // namespace yuccascale::processes
