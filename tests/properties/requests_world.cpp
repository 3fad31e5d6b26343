#include "properties/requests_world_parts.hpp"

namespace yuccascale::fakes {

requests_simulation::requests_simulation(simulation_plan plan)
    : m_plan(std::move(plan))
    , m_random(m_plan.seed)
    , m_engineDriver(endpoint_driver_registry::make("engine").value())
    , m_serviceDriver(endpoint_driver_registry::make("service").value())
{
    buildTables();
    for (int index = 0; index < m_plan.entries; ++index)
        m_entries.push_back(
                std::make_unique<entry>(*this, "entry-" + std::to_string(index), index, 1));
    scheduleSubmissions();
    scheduleFaults();
}

requests_simulation::~requests_simulation() = default;

void requests_simulation::scheduleAt(instant when, callback action)
{
    m_schedule.emplace(std::max(when, m_now), std::move(action));
}

bool requests_simulation::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

int requests_simulation::draw(int low, int high)
{
    return std::uniform_int_distribution<int>(low, high)(m_random);
}

void requests_simulation::buildTables()
{
    state::edit_tables edit;
    state::pool engines;
    engines.name = "engines";
    engines.model = "m";
    state::pool services;
    services.name = "services";
    services.kind = state::backend_kind::Service;
    const auto add = [this](state::pool &pool, const std::string &name, int index) {
        state::endpoint row;
        row.name = name;
        row.address = "10.0.0.1:" + std::to_string(1'000 + index);
        row.zone = "zone-" + std::to_string(index % 3);
        row.slots = 8;
        pool.endpoints.push_back(row);
        auto model = std::make_unique<endpoint_model>();
        model->name = name;
        model->zone = row.zone;
        model->service = pool.kind == state::backend_kind::Service;
        m_endpoints.emplace(name, std::move(model));
    };
    for (int index = 0; index < m_plan.engines; ++index)
        add(engines, "engine-" + std::to_string(index), index);
    for (int index = 0; index < m_plan.services; ++index)
        add(services, "service-" + std::to_string(index), index);
    edit.putPools = {engines, services};
    state::route model{"model", "engines"};
    model.deadlineMs = deadlineMs;
    state::route service{"service", "services", state::backend_kind::Service};
    service.idempotent = false;
    service.deadlineMs = deadlineMs;
    edit.putRoutes = {model, service};
    for (int index = 0; index < m_plan.organisations; ++index) {
        const std::string name = "org-" + std::to_string(index);
        edit.putOrganisations.push_back({name, 1});
        edit.putKeys.push_back({"k-" + name, name, digestOf(apiKeyOf(name))});
    }
    const auto edited = m_log.apply(++m_lastIndex, {"tables", edit});
    if (!edited.accepted)
        m_violations.push_back("the initial tables were refused: " + edited.message);
    if (m_plan.keyWithdrawalMs == 0)
        return;
    scheduleAt(instant(milliseconds(m_plan.keyWithdrawalMs)), [this] {
        state::edit_tables removal;
        removal.fromRevision = m_log.tables()->revision;
        removal.removeKeys = {"k-org-0"};
        const auto removed = m_log.apply(++m_lastIndex, {"withdraw", removal});
        if (removed.accepted)
            m_keyWithdrawnAt = m_now;
    });
}

void requests_simulation::scheduleSubmissions()
{
    for (int number = 0; number < m_plan.submissions; ++number) {
        caller_submission submission;
        submission.number = number;
        submission.idempotent = !chance(m_plan.nonIdempotentShare);
        submission.poison = number < m_plan.poisonRequests;
        submission.idempotent = submission.idempotent || submission.poison;
        submission.organisation = "org-" + std::to_string(number % m_plan.organisations);
        submission.body = (submission.poison ? "poison " : "body ") + std::to_string(number);
        if (!submission.idempotent)
            submission.idempotencyKey = "key-" + std::to_string(number);
        m_submissions.push_back(submission);
        const instant start(milliseconds(draw(500, 500 + m_plan.submissionPeriodMs)));
        scheduleAt(start, [this, number] { submit(number); });
        if (!submission.idempotent && chance(0.3)) // the caller submits twice without waiting
            scheduleAt(start + milliseconds(draw(0, 60)), [this, number] { submit(number); });
    }
}

void requests_simulation::scheduleFaults()
{
    for (const fault &one : m_plan.faults)
        scheduleAt(instant(milliseconds(one.timeMs)), [this, one] { injectFault(one); });
}

void requests_simulation::injectFault(const fault &injected)
{
    const auto target = static_cast<std::size_t>(injected.target);
    std::unique_ptr<entry> &faultyEntry = m_entries[target % m_entries.size()];
    auto endpoint = std::next(m_endpoints.begin(),
                              static_cast<std::ptrdiff_t>(target % m_endpoints.size()));
    const milliseconds length(injected.durationMs);
    switch (injected.type) {
    case fault::kind::KillEntry: {
        faultyEntry->kill();
        auto next = std::make_unique<entry>(*this, faultyEntry->name, faultyEntry->index,
                                            faultyEntry->incarnation + 1);
        m_deadEntries.push_back(std::exchange(faultyEntry, std::move(next)));
        break;
    }
    case fault::kind::PauseEntry:
        faultyEntry->pausedUntil = m_now + length;
        break;
    case fault::kind::CutEntry:
        faultyEntry->cutOff = true;
        scheduleAfter(length, [one = faultyEntry.get()] { one->cutOff = false; });
        break;
    case fault::kind::CrashEndpoint:
        crashEndpoint(*endpoint->second, length);
        break;
    case fault::kind::LoseZone:
        for (auto &[name, one] : m_endpoints) {
            if (one->zone == "zone-" + std::to_string(injected.target % 3))
                crashEndpoint(*one, length);
        }
        break;
    case fault::kind::AnnounceLeaving:
        endpoint->second->leaving = true;
        m_leaveNoticeAt.emplace(endpoint->first, m_now);
        break;
    }
}

void requests_simulation::submit(int number)
{
    caller_submission &submission = m_submissions[static_cast<std::size_t>(number)];
    if (submission.complete || submission.sendCount >= maxSendsPerSubmission)
        return;
    sendTo(number, static_cast<std::size_t>(draw(0, m_plan.entries - 1)));
}

void requests_simulation::resubmitAfter(int number, milliseconds wait)
{
    scheduleAfter(wait, [this, number] { submit(number); });
}

void requests_simulation::sendTo(int number, std::size_t entryIndex)
{
    caller_submission &submission = m_submissions[static_cast<std::size_t>(number)];
    ++submission.sendCount;
    const std::size_t send = m_sends.size();
    request subject;
    subject.id = "r" + std::to_string(number);
    subject.endpointId = subject.id + "~" + std::to_string(send);
    subject.organisation = submission.organisation;
    subject.keyDigest = digestOf(apiKeyOf(submission.organisation));
    const char *routeName = submission.idempotent ? "model" : "service";
    subject.route = m_log.tables()->routes.at(routeName);
    subject.method = "POST";
    subject.path = "/x";
    subject.body = submission.body;
    subject.idempotencyKey = submission.idempotencyKey;
    subject.fingerprint = digestOf(submission.body);
    subject.streamed = submission.idempotent;
    subject.promptTokens = 10;
    subject.outputTokens = piecesPerAnswer;
    subject.resumeFrom = static_cast<std::int64_t>(submission.pieces.size());
    subject.sentBefore = subject.resumeFrom > 0;
    caller_send record;
    record.endpointId = subject.endpointId;
    record.submissionNumber = number;
    record.sentAt = m_now;
    record.deadline = m_now + milliseconds(deadlineMs);
    m_sends.push_back(record);
    scheduleAfter(networkDelay(), [this, send, entryIndex, subject]() mutable {
        entry &one = *m_entries[entryIndex];
        m_sends[send].receivedBy = &one;
        one.post([this, &one, send, subject]() mutable {
            if (!one.view.tables) {
                handleEntryFailure(
                        send); // the entry has no tables yet: the caller tries another entry
                return;
            }
            subject.receivedAt = m_now;
            subject.deadline = m_now + milliseconds(deadlineMs);
            m_sends[send].deadline = subject.deadline;
            one.receive(std::move(subject), send);
        });
    });
}

void requests_simulation::handleEntryFailure(std::size_t send)
{
    m_sends[send].entryFailed = true;
    m_sends[send].ended = true;
    resubmitAfter(m_sends[send].submissionNumber, milliseconds(draw(5, 50)));
}

void requests_simulation::handleOutput(std::size_t send, const caller_output &output)
{
    caller_send &record = m_sends[send];
    caller_submission &submission
            = m_submissions[static_cast<std::size_t>(record.submissionNumber)];
    if (const auto *piece = std::get_if<forward>(&output)) {
        if (!submission.complete
            && piece->index == static_cast<std::int64_t>(submission.pieces.size()))
            submission.pieces.push_back(piece->payload);
        else
            m_violations.push_back("piece " + std::to_string(piece->index)
                                   + " arrived out of order for " + record.endpointId);
        return;
    }
    record.ended = true;
    record.endedAt = m_now;
    if (std::holds_alternative<finish_stream>(output)) {
        submission.complete = true;
    } else if (const auto *answer = std::get_if<send_answer>(&output)) {
        submission.complete = true;
        submission.answer = answer->answer.body;
    } else {
        record.refused = true;
        record.refusal = std::get<refuse>(output).reason;
        const auto wait = std::chrono::ceil<milliseconds>(record.refusal.retryAfter);
        resubmitAfter(record.submissionNumber, std::max(wait, milliseconds(100)));
    }
}

void requests_simulation::commit(
        const state::command &command, bool cutOff,
        const std::function<void(kernel::result<state::command_result>)> &reply)
{
    if (cutOff || chance(m_plan.lostCommitShare / 2)) {
        scheduleAfter(networkDelay(), [reply] {
            reply(kernel::fail(kernel::error_kind::Unavailable, "log", "not sent"));
        });
        return;
    }
    const bool reaches = !chance(m_plan.lostCommitShare / 2);
    const bool answered = !chance(m_plan.lostCommitShare / 2);
    const milliseconds late = chance(0.05) ? milliseconds(draw(100, 800)) : networkDelay();
    if (reaches) {
        scheduleAfter(late, [this, command, answered, reply] {
            const state::command_result answer = m_log.apply(++m_lastIndex, command);
            if (const auto *batch = std::get_if<state::record_usage>(&command.body)) {
                const bool first = answer.accepted && answer.detail.value("state", "") == "counted";
                for (const state::usage_line &line : batch->lines)
                    m_answersCounted += first ? line.answers : 0;
            }
            if (answered)
                scheduleAfter(networkDelay(), [reply, answer] { reply(answer); });
        });
    }
    if (!reaches || !answered) {
        scheduleAfter(lostAnswerTimeout, [reply] {
            reply(kernel::fail(kernel::error_kind::OutcomeUnknown, "log", "answer lost"));
        });
    }
}

void requests_simulation::runToEnd()
{
    while (!m_schedule.empty()) {
        auto first = m_schedule.extract(m_schedule.begin());
        m_now = first.key();
        first.mapped()();
    }
}

} // namespace yuccascale::fakes
