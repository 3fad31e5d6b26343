#include "fakes/http_client.hpp"
#include "processes/service_fleet.hpp"
#include "processes/zone_cluster.hpp"
#include "yuccascale/kernel/json.hpp"

#include <gtest/gtest.h>

#include <functional>

/// \file
/// \brief Documents that an operator sends to real control nodes, read back and obeyed.

namespace yuccascale::processes {

namespace {

using kernel::json;

constexpr milliseconds answerLimit{30'000};
constexpr milliseconds propagation{2'000};
constexpr milliseconds step{100};
constexpr std::size_t entryCount = 3;
const std::string service = "svc-a";

json documentOf(const std::string &route, const json &tenants)
{
    const json row{{"name", route},    {"host", "soak.example"}, {"path_prefix", "/" + route + "/"},
                   {"kind", "safe"},   {"timeout_ms", 2'000},    {"service", service},
                   {"max_attempts", 2}};
    return {{"routes", {row}}, {"services", {{{"name", service}}}}, {"tenants", tenants}};
}

std::string withVersion(json document, const std::string &version)
{
    document["version"] = 0;
    std::string text = document.dump();
    return text.substr(0, text.rfind('0')) + version + "}";
}

const json oneTenant{{{"name", "albany"}, {"api_keys", {"key"}}}};

/// Three control nodes and three entries before one service.
class documents_test : public testing::Test
{
protected:
    /// \returns the status of the answer that ends the operator's call, sent from \a first on.
    [[nodiscard]] int put(const std::string &body, std::size_t first = 0) const
    {
        int status = 0;
        waitUntil([&] {
            const auto answer = call(m_system.operatorAddress(first++ % controls), "PUT", body);
            status = answer.complete ? answer.status : 0;
            return status == 200 || (status >= 400 && status < 500);
        });
        return status;
    }

    /// \returns what a control node, or the leader that it names, answers to a read.
    [[nodiscard]] std::string readAt(std::size_t control) const
    {
        std::string body;
        waitUntil([&] {
            auto answer = call(m_system.operatorAddress(control), "GET", {});
            const std::string location = answer.header("location");
            if (answer.status == 307)
                answer = call(location.substr(7, location.rfind('/') - 7), "GET", {});
            body = answer.body;
            return answer.status == 200;
        });
        return body;
    }

    [[nodiscard]] int statusAt(std::size_t entry, const std::string &route) const
    {
        fakes::http_call request;
        request.address = m_system.callerAddress(entry);
        request.path = "/" + route + "/x";
        request.headers = {{"Host", "soak.example"},
                           {"X-Request-Id", "id-" + std::to_string(m_requests++)},
                           {"Authorization", "Bearer key"}};
        return fakes::callHttp(request).status;
    }

    void expectEverywhere(const std::string &route, int status) const
    {
        std::this_thread::sleep_for(propagation);
        for (std::size_t entry = 0; entry < entryCount; ++entry)
            EXPECT_EQ(statusAt(entry, route), status) << route << " at entry " << entry;
    }

    static constexpr std::size_t controls = zone_cluster::controlNodes;
    service_fleet m_fleet{{service}};
    core_contact m_contact{controls, entryCount, contact_bounds{}};
    zone_cluster m_system{{entryCount, false, m_fleet.platformAddress()}, m_contact};

private:
    static void waitUntil(const std::function<bool()> &condition)
    {
        const test_time until = test_clock::now() + answerLimit;
        while (!condition() && test_clock::now() < until)
            std::this_thread::sleep_for(step);
    }

    [[nodiscard]] static fakes::http_answer call(const std::string &address,
                                                 const std::string &method, const std::string &body)
    {
        fakes::http_call request;
        request.address = address;
        request.method = method;
        request.path = "/config";
        request.body = body;
        return fakes::callHttp(request);
    }

    mutable int m_requests = 0;
};

} // namespace

/// Guards against a first document of version 0 that is acknowledged and lost, at once, when its
/// leader is killed, or when a control node starts anew.
TEST_F(documents_test, aFirstOneOfVersionZeroOutlivesItsLeader)
{
    const std::string first = withVersion(documentOf("first", oneTenant), "0");
    ASSERT_EQ(put(first), 200);
    ASSERT_TRUE(m_system.waitReady());
    expectEverywhere("first", 200);
    for (std::size_t control = 0; control < controls; ++control)
        EXPECT_EQ(readAt(control), first) << control;
    const std::size_t killed = m_system.leader().value_or(0);
    m_system.kill(killed);
    EXPECT_EQ(readAt((killed + 1) % controls), first) << "from the next leader";
    m_system.start(killed);
    EXPECT_EQ(readAt(killed), first) << "after a restart";
    EXPECT_EQ(put(withVersion(documentOf("other", oneTenant), "0"), killed), 200);
    EXPECT_EQ(readAt(killed), first) << "other content under the version held";
    const std::string next = withVersion(documentOf("next", oneTenant), "1");
    EXPECT_EQ(put(next, killed), 200);
    EXPECT_EQ(readAt(killed), next);
    expectEverywhere("next", 200);
}

/// Guards against odd documents that hide sound ones, or let requests in without a key.
TEST_F(documents_test, anOddOneIsRefusedAndTheNextSoundOneIsInForce)
{
    ASSERT_EQ(put(withVersion(documentOf("first", oneTenant), "7")), 200);
    ASSERT_TRUE(m_system.waitReady());
    expectEverywhere("first", 200);
    const json open = documentOf("open", nullptr);
    for (const std::string version : {"-1", "7.5", "18446744073709551616", "1e30", "\"9\""})
        EXPECT_EQ(put(withVersion(documentOf("odd", oneTenant), version)), 400) << version;
    EXPECT_EQ(put(withVersion(open, "9")), 400) << "tenants null";
    EXPECT_EQ(put(withVersion(documentOf("odd", oneTenant), "9") + std::string(1, '\0')), 400);
    const std::string sound = withVersion(documentOf("second", oneTenant), "8");
    EXPECT_EQ(put(sound), 200);
    EXPECT_EQ(readAt(1), sound);
    expectEverywhere("second", 200);
    EXPECT_EQ(put(withVersion(documentOf("second", json::array()), "9")), 200);
    expectEverywhere("second", 401);
}

} // namespace yuccascale::processes
