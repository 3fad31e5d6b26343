#include "fakes/manual_clock.hpp"
#include "fakes/state_commands.hpp"
#include "yuccascale/kernel/orders/explain.hpp"
#include "yuccascale/kernel/orders/order_driver.hpp"
#include "yuccascale/kernel/usage/window_reporter.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <sstream>

namespace yuccascale::kernel {

namespace {

using namespace fakes;
using namespace orders;
using namespace std::chrono_literals;

constexpr const char *goldenFile = YUCCASCALE_SOURCE_DIR "/tests/golden/state_session.txt";

/// A whole session of one log and the leader's drivers, written down line by line.
class session final : public event_sink
{
public:
    session()
        : m_orders({}, *this)
        , m_usage(usage::usage_times{}, *this)
    {
        m_clock.advance(1'000s);
    }

    using event_sink::record;
    void record(const event_kind &kind, std::span<const event_field> fields) override
    {
        line("log") << kind.number() << " " << kind.name();
        for (const event_field &field : fields)
            m_text << " " << field.name << "=" << field.value;
        m_text << "\n";
    }

    void note(const std::string &text) { m_text << "\n# " << text << "\n"; }

    command_result apply(const command &command)
    {
        line("in") << json(command).dump() << "\n";
        command_result answer = m_log.apply(command.body, command.operationId);
        line("out") << json(answer).dump() << "\n";
        return answer;
    }

    void lead(std::uint64_t fence, nanoseconds ordersIn)
    {
        m_authority = leadership{fence, m_clock.now(), {}, m_clock.now() + ordersIn};
        line("in") << "leads with fence " << fence << "\n";
    }

    /// Steps both drivers, commits what they submit, and keeps the last other action's ticket.
    void step(nanoseconds later)
    {
        m_clock.advance(later);
        m_authority.leaseEnd = m_clock.now() + 1'500ms;
        const leader_view view = m_log.state().leaderView();
        for (order_action &action : m_orders.step(m_clock.now(), wallMs(), m_authority, view))
            std::visit([this](const auto &chosen) { show(chosen); }, action);
        if (const auto action = m_usage.step(m_clock.now(), wallMs(), m_authority, view.usage))
            std::visit([this](const auto &chosen) { show(chosen); }, *action);
    }

    void asked(target_state state)
    {
        line("in") << "the target tells state " << static_cast<int>(state) << "\n";
        m_orders.onQueryReply(m_clock.now(), m_ticket, target_reply{state, {}, {}});
    }
    void idle()
    {
        line("in") << "the endpoint runs nothing\n";
        m_orders.onLoadReport(m_clock.now(), m_ticket, target_report{});
    }
    void fetched(fetch_reply reply)
    {
        line("in") << (reply.granted ? "the weight store grants it\n"
                                     : "the weight store asks for a pause\n");
        m_orders.onFetchReply(m_clock.now(), wallMs(), m_ticket, reply);
    }
    void answered(target_state state)
    {
        line("in") << "the target answers with state " << static_cast<int>(state) << "\n";
        m_orders.onSendResult(m_clock.now(), m_ticket, send_end::Answered,
                              target_reply{state, {}, {}});
    }
    void sendLost()
    {
        line("in") << "no answer to the order\n";
        m_orders.onSendResult(m_clock.now(), m_ticket, send_end::Lost, std::nullopt);
    }
    void reported(std::optional<usage_reply> reply)
    {
        line("in") << (reply ? "the report is accepted\n" : "no answer to the report\n");
        m_usage.onReportResult(m_clock.now(), m_usageTicket, reply);
    }

    void explain(std::uint64_t orderId)
    {
        line("explain") << explainOrder(*m_log.state().order(orderId)).dump(2) << "\n";
    }

    [[nodiscard]] std::int64_t wallMs() const
    {
        return m_clock.wallNow().time_since_epoch().count();
    }
    [[nodiscard]] std::string text() const { return m_text.str(); }
    void restart() { m_log.restart(); }

private:
    std::ostream &line(const char *what)
    {
        const auto now = std::chrono::duration_cast<milliseconds>(m_clock.now().time_since_epoch());
        return m_text << std::setw(8) << now.count() << " " << std::left << std::setw(8) << what
                      << std::right;
    }

    void show(const query_order &action)
    {
        line("action") << "ask " << action.address << " for order " << action.orderId << "\n";
        m_ticket = action.ticket;
    }
    void show(const inspect_target &action)
    {
        line("action") << "inspect " << action.address << "\n";
        m_ticket = action.ticket;
    }
    void show(const fetch_weights &action)
    {
        line("action") << "fetch " << action.model << "\n";
        m_ticket = action.ticket;
    }
    void show(const send_order &action)
    {
        line("action") << "send " << action.message.method << " " << action.message.path << " "
                       << action.message.body << "\n";
        m_ticket = action.ticket;
    }
    void show(const submit_command &action)
    {
        line("action") << "submit\n";
        const bool accepted = apply(action.command).accepted;
        m_orders.onSubmitResult(m_clock.now(), action.ticket);
        m_usage.onSubmitResult(m_clock.now(), action.ticket, accepted);
    }
    void show(const usage::report_window &action)
    {
        line("action") << "report " << action.window.figures << "\n";
        m_usageTicket = action.ticket;
    }

    std::ostringstream m_text;
    manual_clock m_clock;
    applied_log m_log;
    order_driver m_orders;
    usage::window_reporter m_usage;
    leadership m_authority;
    std::uint64_t m_ticket = 0;
    std::uint64_t m_usageTicket = 0;
};

void editTables(session &run)
{
    run.note("Two operators at revision 0: one wins; its resend gets the first answer");
    edit_tables edit = firstEdit();
    edit.wallMs = run.wallMs();
    run.apply({"op-a", edit});
    run.apply(
            {"op-b", edit_tables{0, {}, {}, {organisation{"mehta", 2.0}}, {}, {}, {}, {}, {}, 0}});
    run.restart();
    run.apply({"op-a", edit});
    run.note("A refused edit names row, field and remedy");
    run.apply({"op-c",
               edit_tables{1, {makeRoute("lost", "nowhere")}, {}, {}, {}, {}, {}, {}, {}, 0}});
    run.note("A key is given and withdrawn");
    const key_record key{"k1", "swan", std::string(64, 'a')};
    run.apply({"op-d", edit_tables{1, {}, {}, {}, {key}, {}, {}, {}, {}, 0}});
    run.apply({"op-e", edit_tables{2, {}, {}, {}, {}, {}, {}, {}, {"k1"}, 0}});
}

std::uint64_t giveOrder(session &run)
{
    run.note("A role change: drained first, its answer lost, asked until it is done");
    run.lead(7, 0s);
    const std::uint64_t first
            = run.apply({"fleet-7-1",
                         open_order{
                                 "e1", order_kind::ChangeRole, "decode", 7, "decode backlog", {}}})
                      .index;
    run.step(50ms);
    run.step(2'600ms);
    run.idle();
    run.step(50ms);
    run.sendLost();
    run.step(50ms);
    run.asked(target_state::Running);
    run.step(250ms);
    run.asked(target_state::Done);
    run.step(50ms);
    return first;
}

std::uint64_t inheritOrder(session &run)
{
    run.note("The leader is replaced in the middle of an order: the successor asks, waits until no"
             " copy can be under way, and repeats the same bytes");
    const std::uint64_t second
            = run.apply({"fleet-7-2",
                         open_order{"e2", order_kind::LoadAdapter, "a@1", 7, "new tenant", {}}})
                      .index;
    run.lead(8, 4'500ms);
    run.step(50ms);
    run.asked(target_state::Unknown);
    run.step(1'000ms);
    run.step(3'500ms);
    run.asked(target_state::Unknown);
    run.step(50ms);
    run.fetched({false, 2s});
    run.step(50ms);
    run.step(1s);
    run.step(1s);
    run.fetched({true, 0s});
    run.step(50ms);
    run.answered(target_state::Done);
    run.step(50ms);
    return second;
}

void reportUsage(session &run)
{
    run.note("A usage window: frozen, reported, the same bytes after a lost answer, then settled;"
             " a late record goes to the next one");
    const std::int64_t start = run.wallMs() - run.wallMs() % windowMs;
    run.apply({"u1", makeUsage("a#1", 1, start + windowMs, start, 3)});
    run.step(120s);
    run.step(50ms);
    run.reported(std::nullopt);
    run.step(1s);
    run.reported(usage_reply::Accepted);
    run.step(50ms);
    run.apply({"u2", makeUsage("a#1", 2, start + 2 * windowMs, start, 2)});
    run.step(1s);
    run.step(50ms);
}

} // namespace

TEST(state_session, isAsRecorded)
{
    session run;
    editTables(run);
    const std::uint64_t first = giveOrder(run);
    const std::uint64_t second = inheritOrder(run);
    run.note("The stories of both orders");
    run.explain(first);
    run.explain(second);
    reportUsage(run);

    if (std::getenv("YUCCASCALE_UPDATE_GOLDEN") != nullptr)
        std::ofstream(goldenFile) << run.text();
    std::ifstream recorded(goldenFile);
    std::stringstream text;
    text << recorded.rdbuf();
    EXPECT_EQ(run.text(), text.str()) << "read the difference; if it is meant, run again with "
                                         "YUCCASCALE_UPDATE_GOLDEN=1 and give the reason in the "
                                         "commit";
}

} // namespace yuccascale::kernel
