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

/// Records input events, output actions and log events, one per line with its time.
class session_recorder final : public session_ports, public kernel::event_sink
{
public:
    session_recorder()
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

    void startScenario(const std::string &text) { m_out << "# " << text << '\n'; }

    void start(request subject)
    {
        startLine("in   ") << "request " << subject.id << " of " << subject.organisation << '\n';
        subject.receivedAt = m_clock.now();
        subject.deadline = m_clock.now() + milliseconds(subject.route.deadlineMs);
        m_session.emplace(std::move(subject), ++m_ticket, "perth-a-1#1", *this, *this);
        m_session->begin();
        assignEndpoints();
    }

    void handleAfter(milliseconds time, const std::string &description, event input)
    {
        m_clock.advance(time);
        startLine("in   ") << description << '\n';
        m_session->handle(std::move(input));
        assignEndpoints();
    }

    void advanceTime(milliseconds time)
    {
        m_clock.advance(time);
        startLine("in   ") << "time passes\n";
        assignEndpoints();
    }

    void setStartCheck(start_check check) { m_startCheck = check; }

    /// While \a full is set, no request is assigned to an endpoint.
    void setEndpointsFull(bool full) { m_endpointsFull = full; }

    [[nodiscard]] std::string text() const { return m_out.str(); }

    [[nodiscard]] kernel::instant now() const override { return m_clock.now(); }
    [[nodiscard]] start_check checkStart(const request &) const override { return m_startCheck; }

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
        startLine("out  ") << "claim as " << operationId << '\n';
    }
    void withdraw(const request &, const std::string &operationId) override
    {
        startLine("out  ") << "withdraw " << operationId << '\n';
    }
    void settle(const request &, const std::string &, const kernel::requests::settle &how) override
    {
        startLine("out  ") << "settle as " << kernel::json(how.end).get<std::string>() << " with '"
                           << how.answer.body << "'\n";
    }
    void locateStream(const request &) override { }
    void recordStream(const request &, const std::string &) override { }
    void recordUsage(const request &, const token_usage &usage) override
    {
        startLine("out  ") << "commit usage of " << usage.promptTokens << " prompt and "
                           << usage.completionTokens << " completion tokens\n";
    }
    void ban(const request &, const std::string &fingerprint) override
    {
        startLine("out  ") << "ban " << fingerprint << '\n';
        m_startCheck = start_check::Banned;
    }
    void send(const request &, const endpoint_assignment &assignment, const dispatch &sent) override
    {
        startLine("out  ") << "send attempt " << sent.attempt << " to " << assignment.endpoint
                           << " from piece " << sent.resumeFrom << '\n';
    }
    void stop(const request &, const endpoint_assignment &assignment) override
    {
        startLine("out  ") << "stop at " << assignment.endpoint << '\n';
    }
    void deliver(caller_output output) override
    {
        if (const auto *piece = std::get_if<forward>(&output)) {
            startLine("out  ") << "piece " << piece->index << " '" << piece->payload << "'\n";
        } else if (const auto *answer = std::get_if<send_answer>(&output)) {
            startLine("out  ") << "answer " << answer->answer.status << " '" << answer->answer.body
                               << "'\n";
        } else if (std::holds_alternative<finish_stream>(output)) {
            startLine("out  ") << "end of the stream\n";
        } else {
            const refusal &reason = std::get<refuse>(output).reason;
            startLine("out  ") << "error " << kernel::errorKindName(reason.kind)
                               << (reason.mayHaveRun ? ", may have run" : ", not run") << ": "
                               << reason.message << '\n';
        }
    }

    using kernel::event_sink::record;
    void record(const kernel::event_kind &kind,
                std::span<const kernel::event_field> fields) override
    {
        std::ostream &out = startLine("log  ");
        out << kind.number() << ' ' << kind.name();
        for (const kernel::event_field &field : fields)
            out << ' ' << field.name << "='" << field.value << '\'';
        out << '\n';
    }

private:
    std::ostream &startLine(const char *kind)
    {
        const auto sinceStart
                = std::chrono::duration_cast<milliseconds>(m_clock.now().time_since_epoch());
        return m_out << sinceStart.count() << "ms " << kind;
    }

    void assignEndpoints()
    {
        if (m_endpointsFull)
            return;
        for (endpoint_assignment &assignment : m_pool.schedule(now()))
            m_session->assignEndpoint(std::move(assignment));
    }

    manual_clock m_clock;
    std::ostringstream m_out;
    pool_scheduler m_pool;
    std::uint64_t m_ticket = 0;
    start_check m_startCheck = start_check::Allowed;
    bool m_endpointsFull = false;
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

void recordStreams(session_recorder &recorder)
{
    recorder.startScenario("A stream that an engine breaks off goes on at another engine");
    recorder.start(makeRequest("r1", true));
    recorder.handleAfter(milliseconds(40), "piece 0 of attempt 1", piece_arrived{1, 0, "Mrs"});
    recorder.handleAfter(milliseconds(25), "piece 1 of attempt 1", piece_arrived{1, 1, "Smith"});
    recorder.handleAfter(milliseconds(25), "the engine dies",
                         attempt_failed{1, attempt_failure::Crashed, {}});
    recorder.handleAfter(milliseconds(1), "piece 2 of attempt 1, late", piece_arrived{1, 2, "old"});
    recorder.handleAfter(milliseconds(30), "piece 1 of attempt 2, doubled",
                         piece_arrived{2, 1, "Smith"});
    recorder.handleAfter(milliseconds(1), "piece 2 of attempt 2", piece_arrived{2, 2, "has"});
    recorder.handleAfter(milliseconds(25), "the finish piece",
                         stream_finished{2, {100, 0, 3}, "{}"});
    recorder.handleAfter(milliseconds(4), "the usage is committed", usage_commit_finished{true});
    recorder.startScenario("A piece is missing");
    recorder.start(makeRequest("r2", true));
    recorder.handleAfter(milliseconds(40), "piece 1 of attempt 1", piece_arrived{1, 1, "late"});
    recorder.handleAfter(milliseconds(5'000), "the deadline passes", deadline_passed{});
}

void recordClaims(session_recorder &recorder)
{
    recorder.startScenario("A claim whose answer is lost is sent again as the same operation");
    recorder.start(makeRequest("r3", false));
    recorder.handleAfter(milliseconds(300), "no answer from the log",
                         claim_answered{{claim_state::AnswerLost, {}, {}}});
    recorder.handleAfter(milliseconds(5), "the claim is granted",
                         claim_answered{{claim_state::Granted, {}, {}}});
    recorder.handleAfter(milliseconds(20), "the answer",
                         answer_arrived{1, {200, "", "ticket 4"}, {}});
    recorder.handleAfter(milliseconds(4), "the usage is committed", usage_commit_finished{true});
    recorder.startScenario("A repeat gets the recorded answer");
    recorder.start(makeRequest("r4", false));
    recorder.handleAfter(milliseconds(5), "it ran before",
                         claim_answered{{claim_state::Answered, {200, "", "ticket 4"}, {}}});
    recorder.startScenario("An endpoint that did not run it, and one whose answer is lost");
    recorder.start(makeRequest("r5", false));
    recorder.handleAfter(milliseconds(5), "the claim is granted",
                         claim_answered{{claim_state::Granted, {}, {}}});
    recorder.handleAfter(milliseconds(3), "503 with run false",
                         attempt_failed{1, attempt_failure::ReportedNotRun, {}});
    recorder.handleAfter(milliseconds(20), "the connection ends early",
                         attempt_failed{2, attempt_failure::Broken, {}});
}

void recordRefusals(session_recorder &recorder)
{
    recorder.startScenario("A key that is withdrawn while the claim is under way");
    recorder.start(makeRequest("r6", false));
    recorder.setStartCheck(start_check::KeyWithdrawn);
    recorder.handleAfter(milliseconds(5), "the claim is granted",
                         claim_answered{{claim_state::Granted, {}, {}}});
    recorder.setStartCheck(start_check::Allowed);
    recorder.startScenario("A key that is withdrawn while the request waits for an endpoint");
    recorder.setEndpointsFull(true);
    recorder.start(makeRequest("r9", true));
    recorder.setStartCheck(start_check::KeyWithdrawn);
    recorder.setEndpointsFull(false);
    recorder.advanceTime(milliseconds(10));
    recorder.startScenario("Without fresh tables");
    recorder.setStartCheck(start_check::NotFresh);
    recorder.start(makeRequest("r7", true));
    recorder.setStartCheck(start_check::Allowed);
    recorder.startScenario("A request that crashes two engines");
    recorder.start(makeRequest("r8", true));
    recorder.handleAfter(milliseconds(15), "the engine dies",
                         attempt_failed{1, attempt_failure::Crashed, {}});
    recorder.advanceTime(milliseconds(2'500));
    recorder.handleAfter(milliseconds(15), "the engine dies",
                         attempt_failed{2, attempt_failure::Crashed, {}});
}

} // namespace

/// Guards against unintended changes of the actions of request_session for lost answers, crashes,
/// repeated and missing pieces, withdrawn keys and requests that crash engines.
TEST(requests_session, matchesTheRecordedSession)
{
    session_recorder recorder;
    recordStreams(recorder);
    recordClaims(recorder);
    recordRefusals(recorder);
    const std::string recorded = recorder.text();
    if (std::getenv("YUCCASCALE_UPDATE_GOLDEN"))
        std::ofstream(goldenFile) << recorded;
    std::ifstream file(goldenFile);
    std::stringstream expected;
    expected << file.rdbuf();
    EXPECT_EQ(recorded, expected.str())
            << "the recorded session changed; if this is intended, run this test with "
               "YUCCASCALE_UPDATE_GOLDEN=1 and give the reason in the commit";
}

} // namespace yuccascale::fakes
