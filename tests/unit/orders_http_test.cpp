#include "yuccascale/kernel/orders/drivers.hpp"

#include <gtest/gtest.h>
#include <httplib.h>

#include <atomic>
#include <mutex>
#include <thread>

namespace yuccascale::kernel::orders {

namespace {

/// An HTTP server on loopback that records its requests and gives the same answer to each.
class recording_server
{
public:
    explicit recording_server(const std::string &answer, int status = 200)
    {
        const auto record = [this, answer, status](const httplib::Request &request,
                                                   httplib::Response &response) {
            {
                const std::scoped_lock guard(m_mutex);
                m_requests.push_back(request.method + " " + request.path + " " + request.body);
            }
            response.status = status;
            if (status == 429)
                response.set_header("Retry-After", "7");
            response.set_content(answer, "application/json");
        };
        m_server.Post(".*", record);
        m_server.Get(".*", record);
        m_server.Delete(".*", record);
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        while (!m_server.is_running())
            std::this_thread::yield();
    }
    ~recording_server()
    {
        m_server.stop();
        m_thread.join();
    }
    recording_server(const recording_server &) = delete;
    recording_server &operator=(const recording_server &) = delete;

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    [[nodiscard]] std::vector<std::string> requests()
    {
        const std::scoped_lock guard(m_mutex);
        return m_requests;
    }

private:
    httplib::Server m_server;
    int m_port = 0;
    std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::thread m_thread;
};

template<typename Driver>
std::unique_ptr<Driver> makeDriver(const std::string &name, const std::string &address)
{
    driver_settings settings;
    settings.address = address;
    auto made = plugin_registry<Driver, driver_settings>::make(name, settings);
    return std::move(made.value());
}

template<typename Attempt>
error_kind failureOf(Attempt &&attempt)
{
    error problem;
    EXPECT_FALSE(succeeded(attempt, problem));
    return problem.kind;
}

order_message changeRoleOrder(const std::string &address)
{
    state::order_record order;
    order.id = 12;
    order.target = "e1";
    order.kind = state::order_kind::ChangeRole;
    order.argument = "decode";
    order.fence = 3;
    order.address = address;
    return messageOf(order);
}

const send_permit alwaysPermitted = [] { return true; };

} // namespace

TEST(orders_http, sendsExactlyTheOrdersBytes)
{
    recording_server engine(R"({"state":"running"})");
    const auto target = makeDriver<order_target>("http_engine", "");
    const auto reply = target->send(changeRoleOrder(engine.address()), alwaysPermitted);
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->state, target_state::Running);
    EXPECT_EQ(engine.requests(),
              std::vector<std::string>{
                      "POST /admin/orders "
                      R"({"argument":"decode","fence":3,"kind":"change_role","order_id":12})"});
}

TEST(orders_http, sendsNothingWhenTheAuthorityEndsWhileConnecting)
{
    recording_server engine(R"({"state":"running"})");
    const auto target = makeDriver<order_target>("http_engine", "");
    bool permitChecked = false;
    const send_permit neverPermitted = [&] {
        permitChecked = true;
        return false;
    };
    EXPECT_EQ(failureOf([&] {
                  return target->send(changeRoleOrder(engine.address()), neverPermitted);
              }),
              error_kind::Forbidden);
    EXPECT_TRUE(permitChecked);
    EXPECT_TRUE(engine.requests().empty());
}

TEST(orders_http, distinguishesAnUnreachableTargetFromALostAnswer)
{
    const auto target = makeDriver<order_target>("http_engine", "");
    std::string closedAddress;
    {
        recording_server stoppedServer("{}");
        closedAddress = stoppedServer.address();
    }
    EXPECT_EQ(failureOf([&] {
                  return target->send(changeRoleOrder(closedAddress), alwaysPermitted);
              }),
              error_kind::Unavailable);
    recording_server failingEngine("not json", 500);
    EXPECT_EQ(failureOf([&] {
                  return target->send(changeRoleOrder(failingEngine.address()), alwaysPermitted);
              }),
              error_kind::OutcomeUnknown);
}

TEST(orders_http, mapsAPlatformConflictToRefusedAndSendsStartAndStop)
{
    state::order_record order;
    order.id = 4;
    order.fence = 2;
    order.kind = state::order_kind::StartEndpoint;
    order.argument = "cheap-engine";
    order.target = startTarget("perth-b", "cheap-engine");
    recording_server platform(R"({"state":"unavailable"})", 409);
    const auto target = makeDriver<order_target>("http_platform", platform.address());
    EXPECT_EQ(target->send(messageOf(order), alwaysPermitted)->state, target_state::Refused);
    order.kind = state::order_kind::StopEndpoint;
    order.target = "e9";
    EXPECT_TRUE(target->send(messageOf(order), alwaysPermitted));
    EXPECT_EQ(platform.requests()[0],
              "POST /endpoints "
              R"({"fence":2,"kind":"cheap-engine","order_id":4,"zone":"perth-b"})");
    EXPECT_EQ(platform.requests()[1], "DELETE /endpoints/e9 ");
}

TEST(orders_http, mapsAUsageConflictAndAWeightStoreRateLimit)
{
    recording_server conflictingUsage("{}", 409);
    const auto sink = makeDriver<usage_sink>("http", conflictingUsage.address());
    EXPECT_EQ(sink->report({60'000, R"({"figures":1})", 5}, 1, alwaysPermitted).value(),
              usage_reply::Differs);
    EXPECT_EQ(conflictingUsage.requests()[0], R"(POST /usage/60000 {"figures":1})");
    recording_server limitedStore("{}", 429);
    const auto store = makeDriver<weight_store>("http", limitedStore.address());
    const auto reply = store->fetch("m@2", "e1", alwaysPermitted);
    EXPECT_FALSE(reply->granted);
    EXPECT_EQ(reply->retryAfter, std::chrono::seconds(7));
}

} // namespace yuccascale::kernel::orders
