#include "properties/requests_world_parts.hpp"

namespace yuccascale::fakes {

requests_world::requests_world(world_plan plan)
    : m_plan(std::move(plan))
    , m_random(m_plan.seed)
    , m_engineDriver(endpoint_driver_registry::make("engine").value())
    , m_serviceDriver(endpoint_driver_registry::make("service").value())
{
    buildTables();
    for (int index = 0; index < m_plan.entries; ++index)
        m_entries.push_back(
                std::make_unique<entry>(*this, "entry-" + std::to_string(index), index, 1));
    planCallers();
    planFaults();
}

requests_world::~requests_world() = default;

void requests_world::at(instant when, work what)
{
    m_events.emplace(std::max(when, m_now), std::move(what));
}

bool requests_world::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

int requests_world::draw(int low, int high)
{
    return std::uniform_int_distribution<int>(low, high)(m_random);
}

void requests_world::buildTables()
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
        edit.putKeys.push_back({"k-" + name, name, digestOf(keyOf(name))});
    }
    const auto edited = m_log.apply(++m_index, {"tables", edit});
    if (!edited.accepted)
        m_breaches.push_back("the tables were refused: " + edited.message);
    if (m_plan.withdrawKeyAtMs == 0)
        return;
    at(instant(milliseconds(m_plan.withdrawKeyAtMs)), [this] {
        state::edit_tables removal;
        removal.fromRevision = m_log.tables()->revision;
        removal.removeKeys = {"k-org-0"};
        const auto removed = m_log.apply(++m_index, {"withdraw", removal});
        if (removed.accepted)
            m_keyWithdrawnAt = m_now;
    });
}

void requests_world::planCallers()
{
    for (int number = 0; number < m_plan.submissions; ++number) {
        caller_submission wanted;
        wanted.number = number;
        wanted.idempotent = !chance(m_plan.nonIdempotent);
        wanted.poison = number < m_plan.poisons;
        wanted.idempotent = wanted.idempotent || wanted.poison;
        wanted.organisation = "org-" + std::to_string(number % m_plan.organisations);
        wanted.body = (wanted.poison ? "poison " : "body ") + std::to_string(number);
        if (!wanted.idempotent)
            wanted.idempotencyKey = "key-" + std::to_string(number);
        m_wanted.push_back(wanted);
        const instant start(milliseconds(draw(500, 500 + m_plan.spreadMs)));
        at(start, [this, number] { submit(number); });
        if (!wanted.idempotent && chance(0.3)) // an impatient caller
            at(start + milliseconds(draw(0, 60)), [this, number] { submit(number); });
    }
}

void requests_world::planFaults()
{
    for (const fault &one : m_plan.faults)
        at(instant(milliseconds(one.atMs)), [this, one] { apply(one); });
}

void requests_world::apply(const fault &happens)
{
    const auto target = static_cast<std::size_t>(happens.target);
    std::unique_ptr<entry> &hit = m_entries[target % m_entries.size()];
    auto endpoint = std::next(m_endpoints.begin(),
                              static_cast<std::ptrdiff_t>(target % m_endpoints.size()));
    const milliseconds length(happens.lengthMs);
    switch (happens.what) {
    case fault::kind::KillEntry: {
        hit->kill();
        auto next = std::make_unique<entry>(*this, hit->name, hit->index, hit->incarnation + 1);
        m_deadEntries.push_back(std::exchange(hit, std::move(next)));
        break;
    }
    case fault::kind::PauseEntry:
        hit->pausedUntil = m_now + length;
        break;
    case fault::kind::CutEntry:
        hit->cut = true;
        after(length, [one = hit.get()] { one->cut = false; });
        break;
    case fault::kind::CrashEndpoint:
        crash(*endpoint->second, length);
        break;
    case fault::kind::LoseZone:
        for (auto &[name, one] : m_endpoints) {
            if (one->zone == "zone-" + std::to_string(happens.target % 3))
                crash(*one, length);
        }
        break;
    case fault::kind::Leave:
        endpoint->second->leaving = true;
        m_noticeAt.emplace(endpoint->first, m_now);
        break;
    }
}

void requests_world::submit(int number)
{
    caller_submission &wanted = m_wanted[static_cast<std::size_t>(number)];
    if (wanted.whole || wanted.sends >= maxSends)
        return;
    sendTo(number, static_cast<std::size_t>(draw(0, m_plan.entries - 1)));
}

void requests_world::submitAgain(int number, milliseconds later)
{
    after(later, [this, number] { submit(number); });
}

void requests_world::sendTo(int number, std::size_t entryIndex)
{
    caller_submission &wanted = m_wanted[static_cast<std::size_t>(number)];
    ++wanted.sends;
    const std::size_t send = m_sends.size();
    request subject;
    subject.id = "r" + std::to_string(number);
    subject.endpointId = subject.id + "~" + std::to_string(send);
    subject.organisation = wanted.organisation;
    subject.keyDigest = digestOf(keyOf(wanted.organisation));
    const char *routeName = wanted.idempotent ? "model" : "service";
    subject.route = m_log.tables()->routes.at(routeName);
    subject.method = "POST";
    subject.path = "/x";
    subject.body = wanted.body;
    subject.idempotencyKey = wanted.idempotencyKey;
    subject.fingerprint = digestOf(wanted.body);
    subject.streamed = wanted.idempotent;
    subject.promptTokens = 10;
    subject.outputTokens = piecesPerAnswer;
    subject.resumeFrom = static_cast<std::int64_t>(wanted.pieces.size());
    subject.sentBefore = subject.resumeFrom > 0;
    caller_send record;
    record.endpointId = subject.endpointId;
    record.submission = number;
    record.sentAt = m_now;
    record.deadline = m_now + milliseconds(deadlineMs);
    m_sends.push_back(record);
    after(hop(), [this, send, entryIndex, subject]() mutable {
        entry &one = *m_entries[entryIndex];
        m_sends[send].entry = &one;
        one.post([this, &one, send, subject]() mutable {
            if (!one.view.tables) {
                entryDied(send); // not ready: the caller tries another
                return;
            }
            subject.receivedAt = m_now;
            subject.deadline = m_now + milliseconds(deadlineMs);
            m_sends[send].deadline = subject.deadline;
            one.receive(std::move(subject), send);
        });
    });
}

void requests_world::entryDied(std::size_t send)
{
    m_sends[send].entryDied = true;
    m_sends[send].ended = true;
    submitAgain(m_sends[send].submission, milliseconds(draw(5, 50)));
}

void requests_world::received(std::size_t send, const caller_output &output)
{
    caller_send &record = m_sends[send];
    caller_submission &wanted = m_wanted[static_cast<std::size_t>(record.submission)];
    if (const auto *piece = std::get_if<forward>(&output)) {
        if (!wanted.whole && piece->index == static_cast<std::int64_t>(wanted.pieces.size()))
            wanted.pieces.push_back(piece->payload);
        else
            m_breaches.push_back("piece " + std::to_string(piece->index) + " came out of order for "
                                 + record.endpointId);
        return;
    }
    record.ended = true;
    record.endedAt = m_now;
    if (std::holds_alternative<finish_stream>(output)) {
        wanted.whole = true;
    } else if (const auto *answer = std::get_if<send_answer>(&output)) {
        wanted.whole = true;
        wanted.answer = answer->answer.body;
    } else {
        record.refused = true;
        record.refusal = std::get<refuse>(output).reason;
        const auto wait = std::chrono::ceil<milliseconds>(record.refusal.retryAfter);
        submitAgain(record.submission, std::max(wait, milliseconds(100)));
    }
}

void requests_world::commit(const state::command &command, bool cut,
                            const std::function<void(kernel::result<state::command_result>)> &reply)
{
    if (cut || chance(m_plan.lostCommits / 2)) {
        after(hop(),
              [reply] { reply(kernel::fail(kernel::error_kind::Unavailable, "log", "not sent")); });
        return;
    }
    const bool reaches = !chance(m_plan.lostCommits / 2);
    const bool answered = !chance(m_plan.lostCommits / 2);
    const milliseconds late = chance(0.05) ? milliseconds(draw(100, 800)) : hop();
    if (reaches) {
        after(late, [this, command, answered, reply] {
            const state::command_result answer = m_log.apply(++m_index, command);
            if (const auto *batch = std::get_if<state::record_usage>(&command.body)) {
                const bool first = answer.accepted && answer.detail.value("state", "") == "counted";
                for (const state::usage_line &line : batch->lines)
                    m_usageApplied += first ? line.answers : 0;
            }
            if (answered)
                after(hop(), [reply, answer] { reply(answer); });
        });
    }
    if (!reaches || !answered) {
        after(lostAnswer, [reply] {
            reply(kernel::fail(kernel::error_kind::OutcomeUnknown, "log", "answer lost"));
        });
    }
}

void requests_world::play()
{
    while (!m_events.empty()) {
        auto first = m_events.extract(m_events.begin());
        m_now = first.key();
        first.mapped()();
    }
}

} // namespace yuccascale::fakes
