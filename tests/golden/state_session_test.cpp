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

/// Runs one log with the leader's order driver and usage reporter, and records each input, output
/// and log event on a line.
class session_recorder final : public event_sink
{
public:
    session_recorder()
        : m_orders({}, *this)
        , m_usage(usage::usage_times{}, *this)
    {
        m_clock.advance(1'000s);
    }

    using event_sink::record;
    void record(const event_kind &kind, std::span<const event_field> fields) override
    {
        startLine("log") << kind.number() << " " << kind.name();
        for (const event_field &field : fields)
            m_text << " " << field.name << "=" << field.value;
        m_text << "\n";
    }

    void startScenario(const std::string &text) { m_text << "\n# " << text << "\n"; }

    command_result apply(const command &command)
    {
        startLine("in") << json(command).dump() << "\n";
        command_result answer = m_log.apply(command.body, command.operationId);
        startLine("out") << json(answer).dump() << "\n";
        return answer;
    }

    void lead(std::uint64_t fence, nanoseconds ordersDelay)
    {
        m_authority = leadership{fence, m_clock.now(), {}, m_clock.now() + ordersDelay};
        startLine("in") << "leads with fence " << fence << "\n";
    }

    /// Steps both drivers, applies the commands they submit, and keeps the ticket of the last other
    /// action for the replies.
    void step(nanoseconds elapsed)
    {
        m_clock.advance(elapsed);
        m_authority.leaseEnd = m_clock.now() + 1'500ms;
        const leader_view view = m_log.state().leaderView();
        for (order_action &action : m_orders.step(m_clock.now(), wallMs(), m_authority, view))
            std::visit([this](const auto &decidedAction) { handleAction(decidedAction); }, action);
        if (const auto action = m_usage.step(m_clock.now(), wallMs(), m_authority, view.usage))
            std::visit([this](const auto &decidedAction) { handleAction(decidedAction); }, *action);
    }

    void replyToQuery(target_state state)
    {
        startLine("in") << "the target tells state " << static_cast<int>(state) << "\n";
        m_orders.onQueryReply(m_clock.now(), m_ticket, target_reply{state, {}, {}});
    }
    void reportIdleEndpoint()
    {
        startLine("in") << "the endpoint runs nothing\n";
        m_orders.onLoadReport(m_clock.now(), m_ticket, target_report{});
    }
    void replyToFetch(fetch_reply reply)
    {
        startLine("in") << (reply.granted ? "the weight store grants it\n"
                                          : "the weight store asks for a pause\n");
        m_orders.onFetchReply(m_clock.now(), wallMs(), m_ticket, reply);
    }
    void answerOrder(target_state state)
    {
        startLine("in") << "the target answers with state " << static_cast<int>(state) << "\n";
        m_orders.onSendResult(m_clock.now(), m_ticket, send_end::Answered,
                              target_reply{state, {}, {}});
    }
    void loseOrderAnswer()
    {
        startLine("in") << "no answer to the order\n";
        m_orders.onSendResult(m_clock.now(), m_ticket, send_end::Lost, std::nullopt);
    }
    void replyToReport(std::optional<usage_reply> reply)
    {
        startLine("in") << (reply ? "the report is accepted\n" : "no answer to the report\n");
        m_usage.onReportResult(m_clock.now(), m_usageTicket, reply);
    }

    void explain(std::uint64_t orderId)
    {
        startLine("explain") << explainOrder(*m_log.state().order(orderId)).dump(2) << "\n";
    }

    [[nodiscard]] std::int64_t wallMs() const
    {
        return m_clock.wallNow().time_since_epoch().count();
    }
    [[nodiscard]] std::string output() const { return m_text.str(); }
    void restart() { m_log.restart(); }

private:
    std::ostream &startLine(const char *kind)
    {
        const auto now = std::chrono::duration_cast<milliseconds>(m_clock.now().time_since_epoch());
        return m_text << std::setw(8) << now.count() << " " << std::left << std::setw(8) << kind
                      << std::right;
    }

    void handleAction(const query_order &action)
    {
        startLine("action") << "ask " << action.address << " for order " << action.orderId << "\n";
        m_ticket = action.ticket;
    }
    void handleAction(const inspect_target &action)
    {
        startLine("action") << "inspect " << action.address << "\n";
        m_ticket = action.ticket;
    }
    void handleAction(const fetch_weights &action)
    {
        startLine("action") << "fetch " << action.model << "\n";
        m_ticket = action.ticket;
    }
    void handleAction(const send_order &action)
    {
        startLine("action") << "send " << action.message.method << " " << action.message.path << " "
                            << action.message.body << "\n";
        m_ticket = action.ticket;
    }
    void handleAction(const submit_command &action)
    {
        startLine("action") << "submit\n";
        const bool accepted = apply(action.command).accepted;
        m_orders.onSubmitResult(m_clock.now(), action.ticket);
        m_usage.onSubmitResult(m_clock.now(), action.ticket, accepted);
    }
    void handleAction(const usage::report_window &action)
    {
        startLine("action") << "report " << action.window.figures << "\n";
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

void recordTableEdits(session_recorder &recorder)
{
    recorder.startScenario(
            "Two operators at revision 0: one wins; its resend gets the first answer");
    edit_tables edit = firstEdit();
    edit.wallMs = recorder.wallMs();
    recorder.apply({"op-a", edit});
    recorder.apply(
            {"op-b", edit_tables{0, {}, {}, {organisation{"mehta", 2.0}}, {}, {}, {}, {}, {}, 0}});
    recorder.restart();
    recorder.apply({"op-a", edit});
    recorder.startScenario("A refused edit names row, field and remedy");
    recorder.apply({"op-c",
                    edit_tables{1, {makeRoute("lost", "nowhere")}, {}, {}, {}, {}, {}, {}, {}, 0}});
    recorder.startScenario("A key is given and withdrawn");
    const key_record key{"k1", "swan", std::string(64, 'a')};
    recorder.apply({"op-d", edit_tables{1, {}, {}, {}, {key}, {}, {}, {}, {}, 0}});
    recorder.apply({"op-e", edit_tables{2, {}, {}, {}, {}, {}, {}, {}, {"k1"}, 0}});
}

std::uint64_t recordRoleChange(session_recorder &recorder)
{
    recorder.startScenario("A role change: drained first, its answer lost, asked until it is done");
    recorder.lead(7, 0s);
    const std::uint64_t roleChangeOrder = recorder.apply({"fleet-7-1",
                                                          open_order{"e1",
                                                                     order_kind::ChangeRole,
                                                                     "decode",
                                                                     7,
                                                                     "decode backlog",
                                                                     {}}})
                                                  .index;
    recorder.step(50ms);
    recorder.step(2'600ms);
    recorder.reportIdleEndpoint();
    recorder.step(50ms);
    recorder.loseOrderAnswer();
    recorder.step(50ms);
    recorder.replyToQuery(target_state::Running);
    recorder.step(250ms);
    recorder.replyToQuery(target_state::Done);
    recorder.step(50ms);
    return roleChangeOrder;
}

std::uint64_t recordInheritedOrder(session_recorder &recorder)
{
    recorder.startScenario(
            "The leader is replaced in the middle of an order: the successor asks, waits until no"
            " copy can be under way, and repeats the same bytes");
    const std::uint64_t inheritedOrder
            = recorder.apply({"fleet-7-2",
                              open_order{
                                      "e2", order_kind::LoadAdapter, "a@1", 7, "new tenant", {}}})
                      .index;
    recorder.lead(8, 4'500ms);
    recorder.step(50ms);
    recorder.replyToQuery(target_state::Unknown);
    recorder.step(1'000ms);
    recorder.step(3'500ms);
    recorder.replyToQuery(target_state::Unknown);
    recorder.step(50ms);
    recorder.replyToFetch({false, 2s});
    recorder.step(50ms);
    recorder.step(1s);
    recorder.step(1s);
    recorder.replyToFetch({true, 0s});
    recorder.step(50ms);
    recorder.answerOrder(target_state::Done);
    recorder.step(50ms);
    return inheritedOrder;
}

void recordUsageWindow(session_recorder &recorder)
{
    recorder.startScenario(
            "A usage window: frozen, reported, the same bytes after a lost answer, then settled;"
            " a late record goes to the next one");
    const std::int64_t start = recorder.wallMs() - recorder.wallMs() % windowMs;
    recorder.apply({"u1", makeUsage("a#1", 1, start + windowMs, start, 3)});
    recorder.step(120s);
    recorder.step(50ms);
    recorder.replyToReport(std::nullopt);
    recorder.step(1s);
    recorder.replyToReport(usage_reply::Accepted);
    recorder.step(50ms);
    recorder.apply({"u2", makeUsage("a#1", 2, start + 2 * windowMs, start, 2)});
    recorder.step(1s);
    recorder.step(50ms);
}

} // namespace

/// Guards against unintended changes of table edits, order handling and usage reporting, including
/// a lost answer, a replaced leader and a late usage record.
TEST(state_session, matchesTheRecordedSession)
{
    session_recorder recorder;
    recordTableEdits(recorder);
    const std::uint64_t roleChangeOrder = recordRoleChange(recorder);
    const std::uint64_t inheritedOrder = recordInheritedOrder(recorder);
    recorder.startScenario("The stories of both orders");
    recorder.explain(roleChangeOrder);
    recorder.explain(inheritedOrder);
    recordUsageWindow(recorder);

    if (std::getenv("YUCCASCALE_UPDATE_GOLDEN") != nullptr)
        std::ofstream(goldenFile) << recorder.output();
    std::ifstream goldenStream(goldenFile);
    std::stringstream expected;
    expected << goldenStream.rdbuf();
    EXPECT_EQ(recorder.output(), expected.str())
            << "the recorded session changed; if this is intended, run again with "
               "YUCCASCALE_UPDATE_GOLDEN=1 and give the reason in the "
               "commit";
}

} // namespace yuccascale::kernel
