#include "fakes/control_log.hpp"
#include "fakes/free_port.hpp"
#include "fakes/partitioned_entries.hpp"
#include "yuccascale/http/caller_quotas.hpp"
#include "yuccascale/kernel/requests/events.hpp"
#include "yuccascale/kernel/requests/key_check.hpp"

#include <gtest/gtest.h>
#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <thread>

/// \file
/// \brief Requests within and beyond their organisation's quota, from the caller to the server.

namespace yuccascale::http {

namespace {

using kernel::milliseconds;

constexpr double quotaRate = 1'000;
constexpr milliseconds savingTime{1'500}; ///< an entry begins with nothing saved up

/// Counts the lines of each event.
class counting_events final : public kernel::event_sink
{
public:
    using event_sink::record;
    void record(const kernel::event_kind &kind, std::span<const kernel::event_field>) override
    {
        if (kind.number() == kernel::requests::organisationOverQuota.number())
            ++overQuota;
    }

    std::atomic<int> overQuota{0};
};

/// One entry before one server, and an organisation with a quota of 1,000 tokens a second.
class quota_at_one_entry : public testing::Test
{
protected:
    void start(milliseconds window = milliseconds(8'000))
    {
        m_settings.node = "entry-1";
        m_settings.zone = "z0";
        m_settings.http.protocol = "platform";
        m_settings.callerAddress = "127.0.0.1:" + std::to_string(fakes::freePort());
        m_settings.policy.routing = "round_robin";
        m_settings.policy.admission = "always";
        m_settings.policy.fairness = "first_come_first_served";
        m_settings.promises.quotaWindow = window;
        m_settings.promises.quotaOver = 0.1;
        m_control.edit(tables());
        m_entry = std::make_unique<caller_server>(
                caller_server_dependencies{m_settings, m_clock, m_events, m_control, m_loops,
                                           "0123456789abcdef", 1, nullptr, nullptr, nullptr});
        kernel::error problem;
        ASSERT_TRUE(kernel::succeeded([&] { return m_entry->start(); }, problem));
        m_loops.start();
        m_entry->scheduleFeedUpdate();
        while (status("free", 1) != 200) // the first update of the tables is under way
            std::this_thread::yield();
        std::this_thread::sleep_for(savingTime);
    }

    ~quota_at_one_entry() override
    {
        if (m_entry)
            m_entry->stop();
        m_loops.stop();
    }

    [[nodiscard]] kernel::state::edit_tables tables() const
    {
        kernel::state::pool pool;
        pool.name = "ledger";
        pool.kind = kernel::state::backend_kind::Service;
        kernel::state::endpoint server;
        server.name = "s0";
        server.zone = "z0";
        server.address = m_server.address();
        pool.endpoints = {server};
        kernel::state::pool empty;
        empty.name = "empty";
        empty.kind = kernel::state::backend_kind::Service;
        kernel::state::edit_tables edit;
        edit.putPools = {pool, empty};
        edit.putRoutes = {route("read", "/safe/", "ledger"), route("none", "/none/", "empty")};
        kernel::state::organisation limited{"limited"};
        limited.quota = {{quotaRate, quotaRate, true, 200}};
        edit.putOrganisations = {limited, {"free"}};
        edit.putKeys = {{"k1", "limited", kernel::requests::digestOf("limited")},
                        {"k2", "free", kernel::requests::digestOf("free")}};
        return edit;
    }

    [[nodiscard]] static kernel::state::route
    route(const std::string &name, const std::string &prefix, const std::string &pool)
    {
        kernel::state::route row{name, pool, kernel::state::backend_kind::Service};
        row.claimed = false;
        row.deadlineMs = 2'000;
        row.host = "h.example";
        row.pathPrefix = prefix;
        return row;
    }

    [[nodiscard]] httplib::Result ask(const std::string &key, int tokens,
                                      const std::string &path = "/safe/x")
    {
        httplib::Client caller("127.0.0.1", m_entry->port());
        caller.set_read_timeout(10);
        return caller.Post(path,
                           {{"Host", "h.example"},
                            {"X-Request-Id", "r" + std::to_string(++m_lastId)},
                            {"Authorization", "Bearer " + key},
                            {"X-Token-Counts", std::to_string(tokens - 1) + ",1"}},
                           "body", "text/plain");
    }

    [[nodiscard]] int status(const std::string &key, int tokens,
                             const std::string &path = "/safe/x")
    {
        const auto answer = ask(key, tokens, path);
        return answer ? answer->status : 0;
    }

    runtime::settings m_settings;
    runtime::system_clock m_clock;
    counting_events m_events;
    fakes::control_log m_control;
    net::event_loops m_loops{1};
    fakes::recording_server m_server;
    std::unique_ptr<caller_server> m_entry;
    int m_lastId = 0;
};

} // namespace

TEST_F(quota_at_one_entry, aRequestBeyondTheQuotaGets429AtOnceAndIsNotRun)
{
    start();
    EXPECT_EQ(status("limited", 500), 200);
    const std::size_t runs = m_server.runs().size();
    std::size_t admitted = 0;
    std::size_t refused = 0;
    for (int number = 0; number < 20; ++number) {
        const auto answer = ask("limited", 1'000);
        ASSERT_TRUE(answer);
        if (answer->status == 200) {
            ++admitted;
            continue;
        }
        EXPECT_EQ(answer->status, 429);
        const double wait = std::stod(answer->get_header_value("Retry-After"));
        EXPECT_GT(wait, 0);
        EXPECT_LE(wait, 8);
        ++refused;
    }
    EXPECT_GE(refused, 10U);
    EXPECT_EQ(m_server.runs().size(), runs + admitted);
    EXPECT_EQ(status("free", 100'000), 200) << "others are not affected";
    EXPECT_GE(m_events.overQuota, 1);
    EXPECT_LT(m_events.overQuota, static_cast<int>(refused)) << "not one line a request";
    EXPECT_NE(m_entry->metricsText().find(
                      R"(yuccascale_quota_tokens_total{organisation="limited",outcome="refused"})"),
              std::string::npos);
}

/// Guards against tokens that stay counted for what no endpoint ran.
TEST_F(quota_at_one_entry, aRequestRefusedForAnotherReasonReturnsItsTokens)
{
    start();
    for (int number = 0; number < 30; ++number)
        EXPECT_EQ(status("limited", 900, "/none/x"), 503) << "the pool is empty";
    EXPECT_EQ(status("limited", 500), 200);
    EXPECT_NE(
            m_entry->metricsText().find(
                    R"(yuccascale_quota_tokens_total{organisation="limited",outcome="admitted"} 500)"),
            std::string::npos)
            << m_entry->metricsText();
}

/// Guards against quotas in deployments that name no window, where rows had such fields before.
TEST_F(quota_at_one_entry, withoutAWindowInTheSettingsNothingIsRefusedOrReported)
{
    start(milliseconds(0));
    for (int number = 0; number < 20; ++number)
        EXPECT_EQ(status("limited", 1'000), 200);
    EXPECT_FALSE(m_entry->quotas().takeReports().has_value());
    EXPECT_EQ(m_entry->metricsText().find("yuccascale_quota"), std::string::npos);
}

/// Guards against an entry that spends what another one has spent already.
TEST_F(quota_at_one_entry, whatAnotherEntryAdmittedCountsHereToo)
{
    start();
    ASSERT_TRUE(m_entry->quotas().takeReports().has_value()) << "sent also when nothing is due";
    std::this_thread::sleep_for(milliseconds(500));
    m_entry->quotas().heard("link-2", {{"limited", 5, 3'000, 3'000, 6'000, 6'000}});
    EXPECT_EQ(status("limited", 1'000), 429);
}

} // namespace yuccascale::http
