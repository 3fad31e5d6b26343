#include "yuccascale/kernel/requests/endpoint_reach.hpp"
#include "yuccascale/kernel/requests/relay_choice.hpp"
#include "yuccascale/kernel/requests/relay_grant.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace yuccascale::kernel::requests {

namespace {

constexpr milliseconds connectTimeout{500};
constexpr milliseconds step{50};

/// Endpoints of two pools in three zones, and an entry that sends to them in turn.
class reach_world
{
public:
    explicit reach_world(std::size_t endpointCount)
    {
        for (std::size_t index = 0; index < endpointCount; ++index) {
            m_endpoints.push_back({"e" + std::to_string(index), "10.0.0.1:1",
                                   "z" + std::to_string(index % 3),
                                   "p" + std::to_string(index / 3 % 2)});
        }
        m_reach.setEndpoints(m_endpoints);
    }

    /// Endpoints that do not answer this entry.
    std::function<bool(const reach_endpoint &)> silent
            = [](const reach_endpoint &) { return false; };

    /// \param sending the entry sends a request each step
    void run(nanoseconds time, bool sending = true)
    {
        for (const instant end = m_now + time; m_now < end; m_now += step) {
            finishProbes();
            if (sending)
                send();
            for (const reach_endpoint &probe : m_reach.takeProbes(m_now)) {
                ++probes;
                const bool answers = !silent(probe);
                m_pending.emplace(m_now + (answers ? step : connectTimeout), answers);
            }
            lostSeen = lostSeen || m_reach.state() == reach_state::Lost;
        }
    }

    [[nodiscard]] reach_state state() const { return m_reach.state(); }

    [[nodiscard]] int directOf(int requests) const
    {
        int direct = 0;
        for (int number = 0; number < requests; ++number)
            direct += m_reach.goesDirectly("request " + std::to_string(number)) ? 1 : 0;
        return direct;
    }

    int probes = 0;
    bool lostSeen = false;

private:
    void finishProbes()
    {
        while (!m_pending.empty() && m_pending.begin()->first <= m_now) {
            const bool answered = m_pending.begin()->second;
            m_pending.erase(m_pending.begin());
            m_reach.probed(m_now, answered);
        }
    }

    /// A request to a silent endpoint fails when its connection times out.
    void send()
    {
        const reach_endpoint &chosen = m_endpoints[m_sent++ % m_endpoints.size()];
        if (silent(chosen))
            m_failing.emplace(m_now + connectTimeout, chosen.name);
        while (!m_failing.empty() && m_failing.begin()->first <= m_now) {
            m_reach.attemptFailed(m_now, m_failing.begin()->second);
            m_failing.erase(m_failing.begin());
        }
    }

    std::vector<reach_endpoint> m_endpoints;
    endpoint_reach m_reach{7};
    instant m_now{};
    std::size_t m_sent = 0;
    std::multimap<instant, bool> m_pending;
    std::multimap<instant, std::string> m_failing;
};

[[nodiscard]] bool always(const reach_endpoint &)
{
    return true;
}

[[nodiscard]] std::vector<helper_entry> helpersOf(std::size_t count)
{
    std::vector<helper_entry> out;
    for (std::size_t index = 0; index < count; ++index)
        out.push_back({"entry-" + std::to_string(1'000 + index), "10.0.0.1:1"});
    return out;
}

/// \returns the requests that each helper gets.
[[nodiscard]] std::map<std::string, int> sharesOf(const relay_choice &choice, int requests)
{
    std::map<std::string, int> shares;
    for (int number = 0; number < requests; ++number) {
        if (const auto helper = choice.choose({}, "request " + std::to_string(number)))
            ++shares[helper->node];
    }
    return shares;
}

[[nodiscard]] int largestOf(const std::map<std::string, int> &shares)
{
    int largest = 0;
    for (const auto &[node, count] : shares)
        largest = std::max(largest, count);
    return largest;
}

} // namespace

TEST(endpoint_reach, noticesWithinASecondAndAHalfThatNoEndpointIsReached)
{
    for (const std::size_t endpoints : {4U, 18U, 3'000U}) {
        reach_world world(endpoints);
        world.run(seconds(5));
        world.silent = always;
        world.run(milliseconds(1'500));
        EXPECT_EQ(world.state(), reach_state::Lost) << endpoints;
        EXPECT_EQ(world.directOf(100), 0);
    }
}

TEST(endpoint_reach, doesNotMistakeASilentEndpointAPoolOrAZoneForALostPath)
{
    const std::vector<std::function<bool(const reach_endpoint &)>> cases{
            [](const reach_endpoint &endpoint) { return endpoint.name == "e1"; },
            [](const reach_endpoint &endpoint) { return endpoint.pool == "p1"; },
            [](const reach_endpoint &endpoint) { return endpoint.zone == "z2"; },
            [](const reach_endpoint &endpoint) {
                return endpoint.zone == "z2" || endpoint.pool == "p0";
            },
    };
    for (std::size_t index = 0; index < cases.size(); ++index) {
        reach_world world(18);
        world.silent = cases[index];
        world.run(seconds(30));
        EXPECT_FALSE(world.lostSeen) << index;
    }
}

TEST(endpoint_reach, keepsItsMindWhenTheOnlyEndpointIsSilentForASecond)
{
    reach_world world(1);
    world.run(seconds(1));
    world.silent = always;
    world.run(seconds(1));
    world.silent = [](const reach_endpoint &) { return false; };
    world.run(seconds(3));
    EXPECT_FALSE(world.lostSeen);
    world.silent = always;
    world.run(seconds(4));
    EXPECT_EQ(world.state(), reach_state::Lost);
}

TEST(endpoint_reach, sendsNothingOnACalmDayAndABoundedSampleOtherwise)
{
    for (const std::size_t endpoints : {18U, 3'000U}) {
        reach_world world(endpoints);
        world.run(seconds(60));
        EXPECT_EQ(world.probes, 0);
        world.silent = always;
        world.run(seconds(60));
        EXPECT_LE(world.probes, 6 + 2 * 2 * 60) << endpoints;
    }
}

TEST(endpoint_reach, comesBackByRisingSharesAlsoWithoutRequests)
{
    reach_world world(18);
    world.silent = always;
    world.run(seconds(3));
    ASSERT_EQ(world.state(), reach_state::Lost);
    world.silent = [](const reach_endpoint &) { return false; };
    int direct = 0;
    std::set<int> seen;
    while (world.state() != reach_state::Reached && seen.size() < 100) {
        world.run(step, false);
        EXPECT_GE(world.directOf(1'000), direct);
        direct = world.directOf(1'000);
        seen.insert(direct);
    }
    EXPECT_EQ(world.state(), reach_state::Reached);
    EXPECT_GE(seen.size(), 4U);
}

TEST(endpoint_reach, noticesEachOfSeveralCuts)
{
    reach_world world(18);
    for (int number = 0; number < 5; ++number) {
        world.silent = always;
        world.run(milliseconds(2'500));
        EXPECT_EQ(world.state(), reach_state::Lost) << number;
        world.silent = [](const reach_endpoint &) { return false; };
        world.run(seconds(4));
        EXPECT_EQ(world.state(), reach_state::Reached) << number;
    }
}

TEST(endpoint_reach, aFailureWhileReturningEndsTheReturn)
{
    reach_world world(18);
    world.silent = always;
    world.run(seconds(3));
    world.silent = [](const reach_endpoint &) { return false; };
    while (world.state() == reach_state::Lost)
        world.run(step, false);
    ASSERT_EQ(world.state(), reach_state::Returning);
    world.silent = always;
    world.run(milliseconds(700));
    EXPECT_EQ(world.state(), reach_state::Lost);
}

TEST(relay_choice, noHelperGetsMuchMoreThanItsShareWhenHalfOfTheOthersAreUnavailable)
{
    constexpr int requestsForEach = 400;
    for (const std::size_t helpers : {6U, 299U}) {
        relay_choice choice;
        choice.setHelpers(helpersOf(helpers));
        const int requests = static_cast<int>(helpers) * requestsForEach;
        EXPECT_LE(largestOf(sharesOf(choice, requests)), requestsForEach * 3 / 2) << helpers;
        for (std::size_t index = 0; index < helpers / 2; ++index)
            choice.unavailable({}, helpersOf(helpers)[index].node);
        const auto shares = sharesOf(choice, requests);
        EXPECT_EQ(shares.size(), helpers - helpers / 2);
        EXPECT_LE(largestOf(shares), 2 * requestsForEach * 3 / 2) << helpers;
    }
}

TEST(relay_choice, choosesNobodyWhenNobodyCanServeAndAHelperAgainLater)
{
    relay_choice choice;
    EXPECT_FALSE(choice.choose({}, "r"));
    choice.setHelpers(helpersOf(1));
    choice.unavailable({}, "entry-1000");
    EXPECT_FALSE(choice.choose({}, "r"));
    EXPECT_TRUE(choice.choose(instant(seconds(1)), "r"));
}

TEST(relay_grant, isReadAsItWasIssuedAndOnlyForItsRequestAndSecret)
{
    const relay_grant grant{"entry-1#7", "r0.x", 2, true};
    const std::string text = issueRelayGrant("secret", "r1", grant);
    EXPECT_EQ(readRelayGrant("secret", "r1", text), grant);
    EXPECT_FALSE(readRelayGrant("secret", "r2", text));
    EXPECT_FALSE(readRelayGrant("other", "r1", text));
    EXPECT_FALSE(readRelayGrant("secret", "r1", ""));
    EXPECT_FALSE(readRelayGrant("secret", "r1", text + "0"));
    std::string altered = text;
    altered.replace(altered.find(".2."), 3, ".0.");
    EXPECT_FALSE(readRelayGrant("secret", "r1", altered));
}

} // namespace yuccascale::kernel::requests
