#include "fakes/manual_clock.hpp"
#include "yuccascale/kernel/requests/request_session.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace yuccascale::fakes {

namespace {

using namespace kernel::requests;
using kernel::milliseconds;
namespace policy = kernel::policy;
namespace state = kernel::state;

constexpr const char *goldenFile = YUCCASCALE_SOURCE_DIR "/tests/golden/requests_session.txt";

/// Writes events in, actions out and log lines, each with its time.
class session_script final : public session_ports, public kernel::event_sink
{
public:
    session_script()
        : m_pool({policy::router_registry::make("round_robin", 0).value(),
                  policy::admission_registry::make("always").value(),
                  policy::fair_queue_registry::make("first_come_first_served").value()},
                 {})
    {
        state::pool rows;
        for (const char *name : {"engine-a", "engine-b", "engine-c"}) {
            state::endpoint row;
            row.name = name;
            row.zone = std::string("zone-") + name[7];
            rows.endpoints.push_back(row);
        }
        m_pool.setRows(rows);
    }

    void title(const std::string &text) { m_out << "# " << text << '\n'; }

    void start(request subject)
    {
        line("in   ") << "request " << subject.id << " of " << subject.organisation << '\n';
        subject.receivedAt = m_clock.now();
        subject.deadline = m_clock.now() + milliseconds(subject.route.deadlineMs);
        m_session.emplace(std::move(subject), ++m_ticket, "perth-a-1#1", *this, *this);
        m_session->begin();
        giveTurns();
    }

    void after(milliseconds time, const std::string &what, event happened)
    {
        m_clock.advance(time);
        line("in   ") << what << '\n';
        m_session->handle(std::move(happened));
        giveTurns();
    }

    void wait(milliseconds time)
    {
        m_clock.advance(time);
        line("in   ") << "time passes\n";
        giveTurns();
    }

    void setCheck(start_check check) { m_check = check; }

    /// While it is set, no endpoint has room.
    void setFull(bool full) { m_full = full; }

    [[nodiscard]] std::string text() const { return m_out.str(); }

    [[nodiscard]] kernel::instant now() const override { return m_clock.now(); }
    [[nodiscard]] start_check checkStart(const request &) const override { return m_check; }

    [[nodiscard]] std::optional<refusal> push(std::uint64_t ticket, const request &subject,
                                              const enqueue &how) override
    {
        return m_pool.push(now(), ticket, subject, 1, how);
    }
    void remove(std::uint64_t ticket, const request &) override { m_pool.remove(ticket); }
    void firstPieceArrived(std::uint64_t ticket, const request &) override
    {
        m_pool.firstPieceArrived(now(), ticket);
    }
    finish_findings finish(std::uint64_t ticket, const request &,
                           const attempt_result &result) override
    {
        return m_pool.finish(now(), ticket, result);
    }
    void claim(const request &, const std::string &operationId) override
    {
        line("out  ") << "claim as " << operationId << '\n';
    }
    void withdraw(const request &, const std::string &operationId) override
    {
        line("out  ") << "withdraw " << operationId << '\n';
    }
    void settle(const request &, const std::string &, const kernel::requests::settle &how) override
    {
        line("out  ") << "settle as " << kernel::json(how.end).get<std::string>() << " with '"
                      << how.answer.body << "'\n";
    }
    void recordUsage(const request &, const token_usage &usage) override
    {
        line("out  ") << "commit usage of " << usage.promptTokens << " prompt and "
                      << usage.completionTokens << " completion tokens\n";
    }
    void ban(const request &, const std::string &fingerprint) override
    {
        line("out  ") << "ban " << fingerprint << '\n';
        m_check = start_check::Banned;
    }
    void send(const request &, const endpoint_assignment &turn, const dispatch &sent) override
    {
        line("out  ") << "send attempt " << sent.attempt << " to " << turn.endpoint
                      << " from piece " << sent.resumeFrom << '\n';
    }
    void stop(const request &, const endpoint_assignment &turn) override
    {
        line("out  ") << "stop at " << turn.endpoint << '\n';
    }
    void deliver(caller_output output) override
    {
        if (const auto *piece = std::get_if<forward>(&output)) {
            line("out  ") << "piece " << piece->index << " '" << piece->payload << "'\n";
        } else if (const auto *answer = std::get_if<send_answer>(&output)) {
            line("out  ") << "answer " << answer->answer.status << " '" << answer->answer.body
                          << "'\n";
        } else if (std::holds_alternative<finish_stream>(output)) {
            line("out  ") << "end of the stream\n";
        } else {
            const refusal &reason = std::get<refuse>(output).reason;
            line("out  ") << "error " << kernel::errorKindName(reason.kind)
                          << (reason.mayHaveRun ? ", may have run" : ", not run") << ": "
                          << reason.message << '\n';
        }
    }

    using kernel::event_sink::record;
    void record(const kernel::event_kind &kind,
                std::span<const kernel::event_field> fields) override
    {
        std::ostream &out = line("log  ");
        out << kind.number() << ' ' << kind.name();
        for (const kernel::event_field &field : fields)
            out << ' ' << field.name << "='" << field.value << '\'';
        out << '\n';
    }

private:
    std::ostream &line(const char *kind)
    {
        const auto sinceStart
                = std::chrono::duration_cast<milliseconds>(m_clock.now().time_since_epoch());
        return m_out << sinceStart.count() << "ms " << kind;
    }

    void giveTurns()
    {
        if (m_full)
            return;
        for (endpoint_assignment &turn : m_pool.schedule(now()))
            m_session->assignEndpoint(std::move(turn));
    }

    manual_clock m_clock;
    std::ostringstream m_out;
    pool_scheduler m_pool;
    std::uint64_t m_ticket = 0;
    start_check m_check = start_check::Allowed;
    bool m_full = false;
    std::optional<request_session> m_session;
};

[[nodiscard]] request makeRequest(const std::string &id, bool idempotent)
{
    request subject;
    subject.id = id;
    subject.organisation = "swanfield";
    subject.route.name = idempotent ? "briefing" : "tickets";
    subject.route.pool = "engines";
    subject.route.idempotent = idempotent;
    subject.route.deadlineMs = 5'000;
    subject.idempotencyKey = idempotent ? "" : "member-7";
    subject.fingerprint = "f-" + id;
    subject.streamed = idempotent;
    subject.promptTokens = 100;
    subject.outputTokens = 10;
    return subject;
}

void playStreams(session_script &script)
{
    script.title("A stream that an engine breaks off goes on at another engine");
    script.start(makeRequest("r1", true));
    script.after(milliseconds(40), "piece 0 of attempt 1", piece_arrived{1, 0, "Mrs"});
    script.after(milliseconds(25), "piece 1 of attempt 1", piece_arrived{1, 1, "Smith"});
    script.after(milliseconds(25), "the engine dies",
                 attempt_failed{1, attempt_failure::Crashed, {}});
    script.after(milliseconds(1), "piece 2 of attempt 1, late", piece_arrived{1, 2, "old"});
    script.after(milliseconds(30), "piece 1 of attempt 2, doubled", piece_arrived{2, 1, "Smith"});
    script.after(milliseconds(1), "piece 2 of attempt 2", piece_arrived{2, 2, "has"});
    script.after(milliseconds(25), "the finish piece", stream_finished{2, {100, 0, 3}, "{}"});
    script.after(milliseconds(4), "the usage is committed", usage_commit_finished{true});
    script.title("A piece is missing");
    script.start(makeRequest("r2", true));
    script.after(milliseconds(40), "piece 1 of attempt 1", piece_arrived{1, 1, "late"});
    script.after(milliseconds(5'000), "the deadline passes", deadline_passed{});
}

void playClaims(session_script &script)
{
    script.title("A claim whose answer is lost is sent again as the same operation");
    script.start(makeRequest("r3", false));
    script.after(milliseconds(300), "no answer from the log",
                 claim_answered{{claim_state::AnswerLost, {}, {}}});
    script.after(milliseconds(5), "the claim is granted",
                 claim_answered{{claim_state::Granted, {}, {}}});
    script.after(milliseconds(20), "the answer", answer_arrived{1, {200, "", "ticket 4"}, {}});
    script.after(milliseconds(4), "the usage is committed", usage_commit_finished{true});
    script.title("A repeat gets the recorded answer");
    script.start(makeRequest("r4", false));
    script.after(milliseconds(5), "it ran before",
                 claim_answered{{claim_state::Answered, {200, "", "ticket 4"}, {}}});
    script.title("An endpoint that did not run it, and one whose answer is lost");
    script.start(makeRequest("r5", false));
    script.after(milliseconds(5), "the claim is granted",
                 claim_answered{{claim_state::Granted, {}, {}}});
    script.after(milliseconds(3), "503 with run false",
                 attempt_failed{1, attempt_failure::ReportedNotRun, {}});
    script.after(milliseconds(20), "the connection ends early",
                 attempt_failed{2, attempt_failure::Broken, {}});
}

void playRefusals(session_script &script)
{
    script.title("A key that is withdrawn while the claim is under way");
    script.start(makeRequest("r6", false));
    script.setCheck(start_check::KeyWithdrawn);
    script.after(milliseconds(5), "the claim is granted",
                 claim_answered{{claim_state::Granted, {}, {}}});
    script.setCheck(start_check::Allowed);
    script.title("A key that is withdrawn while the request waits for an endpoint");
    script.setFull(true);
    script.start(makeRequest("r9", true));
    script.setCheck(start_check::KeyWithdrawn);
    script.setFull(false);
    script.wait(milliseconds(10));
    script.title("Without fresh tables");
    script.setCheck(start_check::NotFresh);
    script.start(makeRequest("r7", true));
    script.setCheck(start_check::Allowed);
    script.title("A request that crashes two engines");
    script.start(makeRequest("r8", true));
    script.after(milliseconds(15), "the engine dies",
                 attempt_failed{1, attempt_failure::Crashed, {}});
    script.wait(milliseconds(2'500));
    script.after(milliseconds(15), "the engine dies",
                 attempt_failed{2, attempt_failure::Crashed, {}});
}

} // namespace

TEST(requests_session, goesAsWritten)
{
    session_script script;
    playStreams(script);
    playClaims(script);
    playRefusals(script);
    const std::string played = script.text();
    if (std::getenv("YUCCASCALE_UPDATE_GOLDEN"))
        std::ofstream(goldenFile) << played;
    std::ifstream file(goldenFile);
    std::stringstream written;
    written << file.rdbuf();
    EXPECT_EQ(played, written.str()) << "read the difference; if it is meant, run this test with "
                                        "YUCCASCALE_UPDATE_GOLDEN=1 and say why in the commit";
}

} // namespace yuccascale::fakes
