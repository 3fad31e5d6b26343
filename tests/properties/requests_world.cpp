#include "properties/requests_world.hpp"

#include "yuccascale/kernel/json.hpp"
#include "yuccascale/kernel/requests/event_stream.hpp"
#include "yuccascale/kernel/requests/key_check.hpp"

#include <algorithm>
#include <deque>
#include <utility>

namespace yuccascale::fakes {

using kernel::json;
using namespace kernel::requests;
namespace state = kernel::state;
namespace policy = kernel::policy;

namespace {

constexpr milliseconds freshness{2'000};
constexpr milliseconds feedInterval{200};
constexpr milliseconds pollInterval{200};
constexpr milliseconds reportLag{150};
constexpr milliseconds lostAnswer{150};
constexpr milliseconds endOfWorld{60'000};
constexpr int deadlineMs = 4'000;
constexpr int piecesPerAnswer = 8;
constexpr int maxSends = 6;
constexpr milliseconds refusalSlack{60};
constexpr milliseconds leaveBound{3'000};
constexpr milliseconds withdrawBound{3'000};

class silent_events final : public kernel::event_sink
{
public:
    void record(const kernel::event_kind &, std::span<const kernel::event_field>) override { }
};

silent_events silence;

[[nodiscard]] std::string keyOf(const std::string &organisation)
{
    return "yk_" + organisation;
}

[[nodiscard]] std::string pieceText(const std::string &body, std::int64_t index)
{
    return digestOf(body).substr(0, 6) + "/" + std::to_string(index);
}

} // namespace

struct requests_world::endpoint_model
{
    std::string name;
    std::string zone;
    bool service = false;
    std::uint64_t incarnation = 1;
    bool down = false;
    bool leaving = false;
    std::set<std::shared_ptr<connection>> open;
};

struct requests_world::connection
{
    entry *from = nullptr;
    std::uint64_t ticket = 0;
    int attempt = 0;
    std::int64_t resumeFrom = 0;
    endpoint_model *to = nullptr;
    request subject;
    std::string organisation;
    std::unique_ptr<answer_reader> reader;
    bool open = true;
    instant lastByteAt{};
};

/// One entry: its pools and its requests.
class requests_world::entry
{
public:
    entry(requests_world &world, std::string name, int index, int incarnation);

    void receive(request subject, std::size_t send);
    void feed();
    void poll();
    void kill();
    /// Runs \a what here: later when this entry is paused, never when it is dead.
    void post(work what);
    void giveTurns(const std::string &pool);

    requests_world &world;
    std::string name;
    int index;
    int incarnation;
    bool alive = true;
    bool cut = false;
    instant pausedUntil{};
    kernel::control_view view;
    std::set<std::string> bans;
    std::map<std::string, std::unique_ptr<pool_scheduler>> pools;
    std::map<std::uint64_t, std::unique_ptr<session>> sessions;
    std::uint64_t nextTicket = 1;
    usage_batcher usage;
    std::map<std::uint64_t, std::uint64_t> usageOf; ///< session by usage ticket
    bool usageUnderWay = false;
    void commitUsage();
    [[nodiscard]] std::string fullName() const { return name + "#" + std::to_string(incarnation); }
};

/// A request at an entry, with the ports that it needs.
struct requests_world::session final : session_ports
{
    session(requests_world::entry &entry, request subject, std::size_t sendIndex)
        : at(entry)
        , sendNumber(sendIndex)
        , ticket(entry.nextTicket++)
        , life(std::move(subject), ticket, entry.fullName(), *this, silence)
    { }

    requests_world::entry &at;
    std::size_t sendNumber;
    std::uint64_t ticket;
    std::shared_ptr<connection> link;
    request_session life;

    [[nodiscard]] instant now() const override { return at.world.m_now; }

    [[nodiscard]] start_check checkStart(const request &subject) const override
    {
        if (at.bans.contains(subject.fingerprint))
            return start_check::Banned;
        return requests::checkStart(now(), at.view, subject);
    }

    [[nodiscard]] std::optional<refusal> push(std::uint64_t, const request &subject,
                                              const enqueue &how) override
    {
        auto refused = at.pools.at(subject.route.pool)->push(now(), ticket, subject, 1, how);
        if (!refused)
            at.world.after(
                    {}, [this] { at.post([this] { at.giveTurns(life.subject().route.pool); }); });
        return refused;
    }

    void remove(std::uint64_t, const request &subject) override
    {
        at.pools.at(subject.route.pool)->remove(ticket);
    }

    void firstPiece(std::uint64_t, const request &subject) override
    {
        at.pools.at(subject.route.pool)->firstPiece(ticket);
    }

    finish_findings finish(std::uint64_t, const request &subject,
                           const attempt_result &result) override
    {
        const std::string pool = subject.route.pool;
        at.world.after({}, [this, pool] { at.post([this, pool] { at.giveTurns(pool); }); });
        return at.pools.at(pool)->finish(now(), ticket, result);
    }

    [[nodiscard]] state::claim_request claimOf(const request &subject) const
    {
        return {subject.organisation,
                subject.route.name,
                subject.idempotencyKey,
                subject.fingerprint,
                at.fullName(),
                at.world.wallNow().time_since_epoch().count(),
                0};
    }

    void claim(const request &subject, const std::string &operationId) override
    {
        at.world.commit({operationId, claimOf(subject)}, at.cut, [this](auto answer) {
            claim_verdict verdict;
            kernel::error problem;
            const bool answered = kernel::succeeded(
                    [&]() -> kernel::result<void> {
                        BOOST_LEAF_AUTO(known, std::move(answer));
                        verdict = claimVerdict(known, at.world.wallNow(), milliseconds(deadlineMs));
                        return {};
                    },
                    problem);
            if (!answered)
                verdict = claimVerdict(problem);
            at.post([this, verdict] { life.handle(claim_answered{verdict}); });
        });
    }

    void keepCommitting(const state::command &command, const work &then)
    {
        at.world.commit(command, at.cut, [this, command, then](auto answer) {
            kernel::error problem;
            const bool known = kernel::succeeded(
                    [&]() -> kernel::result<void> {
                        BOOST_LEAF_AUTO(ignored, std::move(answer));
                        static_cast<void>(ignored);
                        return {};
                    },
                    problem);
            at.post([this, known, command, then] {
                if (known)
                    then();
                else
                    at.world.after(milliseconds(50), [this, command, then] {
                        at.post([this, command, then] { keepCommitting(command, then); });
                    });
            });
        });
    }

    void withdraw(const request &subject, const std::string &operationId) override
    {
        keepCommitting({operationId, claimOf(subject)}, [this, operationId] {
            settle(life.subject(), operationId, {state::claim_end::NotRun, {}});
        });
    }

    void settle(const request &subject, const std::string &operationId,
                const requests::settle &how) override
    {
        state::settle_claim settlement;
        settlement.organisation = subject.organisation;
        settlement.route = subject.route.name;
        settlement.idempotencyKey = subject.idempotencyKey;
        settlement.entry = at.fullName();
        settlement.claimOperation = operationId;
        settlement.end = how.end;
        settlement.status = how.answer.status;
        settlement.contentType = how.answer.contentType;
        settlement.answer = how.answer.body;
        keepCommitting({operationId + "/settle", settlement}, [] {});
    }

    void recordUsage(const request &subject, const token_usage &used) override
    {
        at.usage.add(kernel::wall_time(milliseconds(1)), ticket, subject.organisation,
                     subject.route.name, used);
        at.commitUsage();
        at.world.at(subject.deadline,
                    [this] { at.post([this] { life.handle(usage_settled{false}); }); });
    }

    void ban(const request &subject, const std::string &fingerprint) override
    {
        at.bans.insert(fingerprint);
        state::ban_fingerprint ban{fingerprint, subject.route.name, 1'000'000'000'000'000};
        keepCommitting({"ban/" + fingerprint, ban}, [] {});
        for (const std::uint64_t waiting :
             at.pools.at(subject.route.pool)->takeFingerprint(fingerprint))
            at.sessions.at(waiting)->life.handle(found_guilty{});
    }

    void send(const request &subject, const scheduled_turn &turn, const dispatch &sent) override
    {
        link = std::make_shared<connection>();
        link->from = &at;
        link->ticket = ticket;
        link->attempt = sent.attempt;
        link->resumeFrom = sent.resumeFrom;
        link->to = &at.world.endpointNamed(turn.endpoint);
        link->subject = subject;
        const endpoint_driver &driver
                = link->to->service ? *at.world.m_serviceDriver : *at.world.m_engineDriver;
        link->reader = driver.reader(subject, {sent.attempt, sent.resumeFrom, {}});
        at.world.after(at.world.hop(), [world = &at.world, link = link] { world->arrive(link); });
    }

    void stop(const request &, const scheduled_turn &) override
    {
        if (!link)
            return;
        link->open = false;
        at.world.after(at.world.hop(), [link = link] { link->to->open.erase(link); });
    }

    void give(caller_output output) override
    {
        const bool last = std::holds_alternative<finish_stream>(output)
                || std::holds_alternative<give_answer>(output);
        const bool recorded = std::holds_alternative<give_answer>(output)
                && std::get<give_answer>(output).recorded;
        if (last && !recorded && ++at.world.m_answersReleased > at.world.m_usageApplied)
            at.world.m_breaches.push_back("an answer was released before its usage was committed");
        const instant arrival = at.world.inOrder(at.world.m_sends[sendNumber].lastByteAt);
        at.world.at(arrival, [world = &at.world, send = sendNumber, output] {
            if (!world->m_sends[send].entryDied)
                world->received(send, output);
        });
    }
};

requests_world::entry::entry(requests_world &ownWorld, std::string ownName, int ownIndex,
                             int ownIncarnation)
    : world(ownWorld)
    , name(std::move(ownName))
    , index(ownIndex)
    , incarnation(ownIncarnation)
    , usage(fullName(), milliseconds(60'000), milliseconds(1'000'000))
{
    feed();
    poll();
}

void requests_world::entry::post(work what)
{
    if (!alive)
        return;
    if (world.m_now >= pausedUntil) {
        what();
        return;
    }
    world.at(pausedUntil, [this, what = std::move(what)]() mutable { post(std::move(what)); });
}

void requests_world::entry::feed()
{
    if (!alive || world.m_now > instant(endOfWorld))
        return;
    const instant asked = world.m_now;
    if (!cut) {
        world.after(world.hop(), [this, asked] {
            const auto tables = world.m_log.tables();
            const auto banned = world.m_log.bannedFingerprints();
            world.after(world.hop(), [this, asked, tables, banned] {
                post([this, asked, tables, banned] {
                    const bool newer = !view.tables || view.tables->revision < tables->revision;
                    view.tables = tables;
                    view.bannedFingerprints = banned;
                    view.freshUntil = std::max(view.freshUntil, asked + freshness);
                    for (const auto &[poolName, pool] : tables->pools) {
                        auto &scheduler = pools[poolName];
                        if (!scheduler) {
                            pool_strategies strategies{
                                    policy::router_registry::make("round_robin", 1).value(),
                                    policy::admission_registry::make("always").value(),
                                    policy::fair_queue_registry::make("first_come_first_served")
                                            .value()};
                            scheduler = std::make_unique<pool_scheduler>(std::move(strategies),
                                                                         queue_limits{});
                            scheduler->setPosition({index, world.m_plan.entries});
                        }
                        if (newer)
                            scheduler->setRows(pool);
                    }
                });
            });
        });
    }
    world.after(feedInterval, [this] { post([this] { feed(); }); });
}

void requests_world::entry::poll()
{
    if (!alive || world.m_now > instant(endOfWorld))
        return;
    for (const auto &[endpointName, endpoint] : world.m_endpoints) {
        if (endpoint->down)
            continue;
        endpoint_report report;
        report.incarnation = endpoint->incarnation;
        report.load.measuredAt = world.m_now;
        report.load.running = static_cast<int>(endpoint->open.size());
        report.load.leaving = endpoint->leaving;
        world.after(reportLag, [this, report, endpointName = endpointName] {
            post([this, report, endpointName] {
                for (auto &[poolName, pool] : pools)
                    pool->endpoints().report(endpointName, report);
            });
        });
    }
    post([this] {
        for (auto &[poolName, pool] : pools)
            giveTurns(poolName);
    });
    world.after(pollInterval, [this] { post([this] { poll(); }); });
}

void requests_world::entry::giveTurns(const std::string &pool)
{
    for (const std::uint64_t ticket : pools.at(pool)->takeUnservable())
        sessions.at(ticket)->life.handle(queue_refused{
                {kernel::error_kind::Unavailable, "no endpoint", false, milliseconds(1)}});
    for (const std::uint64_t ticket : pools.at(pool)->takeLate(world.m_now))
        sessions.at(ticket)->life.handle(queue_refused{
                {kernel::error_kind::Overloaded, "too late", false, milliseconds(1)}});
    for (scheduled_turn &turn : pools.at(pool)->schedule(world.m_now)) {
        session &one = *sessions.at(turn.ticket);
        one.life.takeTurn(std::move(turn));
    }
}

void requests_world::entry::receive(request subject, std::size_t send)
{
    auto made = std::make_unique<session>(*this, std::move(subject), send);
    session *one = made.get();
    sessions.emplace(one->ticket, std::move(made));
    world.at(one->life.subject().deadline,
             [this, one] { post([one] { one->life.handle(deadline_passed{}); }); });
    one->life.begin();
}

void requests_world::entry::commitUsage()
{
    if (usageUnderWay)
        return;
    const auto batch = usage.next(kernel::wall_time(milliseconds(1)));
    if (!batch)
        return;
    usageUnderWay = true;
    world.commit(*batch, cut, [this](auto answer) {
        const bool known = answer && answer.value().accepted;
        post([this, known] {
            usageUnderWay = false;
            if (known) {
                for (const std::uint64_t ticket : usage.committed())
                    sessions.at(ticket)->life.handle(usage_settled{true});
            }
            world.after(milliseconds(known ? 0 : 20), [this] { post([this] { commitUsage(); }); });
        });
    });
}

void requests_world::entry::kill()
{
    alive = false;
    for (const auto &[ticket, one] : sessions) {
        if (one->link && one->link->open) {
            one->link->open = false;
            one->link->to->open.erase(one->link);
        }
    }
    for (std::size_t send = 0; send < world.m_sends.size(); ++send) {
        if (world.m_sends[send].entry == this && !world.m_sends[send].ended)
            world.entryDied(send);
    }
}

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
    } else if (const auto *answer = std::get_if<give_answer>(&output)) {
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

requests_world::endpoint_model &requests_world::endpointNamed(const std::string &name)
{
    return *m_endpoints.at(name);
}

void requests_world::arrive(const std::shared_ptr<connection> &link)
{
    endpoint_model &to = *link->to;
    if (to.down) {
        failLink(link, attempt_failure::NeverSent);
        return;
    }
    to.open.insert(link);
    treatment how = treatment::Whole;
    if (chance(m_plan.badTreatment))
        how = static_cast<treatment>(draw(1, 7));
    if (link->subject.body.starts_with("poison"))
        how = treatment::Crash;
    if (how == treatment::NotRun) {
        answer_head head{503, link->subject.endpointId, "application/json", true, {}};
        std::vector<event> ignored;
        static_cast<void>(link->reader->head(head, ignored));
        deliver(link, "{\"run\":false}");
        endAnswer(link);
        return;
    }
    run(link, how);
}

void requests_world::run(const std::shared_ptr<connection> &link, treatment how)
{
    m_runs.push_back({m_now, link->to->name, link->subject.endpointId, link->subject.idempotencyKey,
                      link->subject.body, link->subject.organisation});
    if (how == treatment::Crash) {
        after(milliseconds(draw(3, 10)), [this, link] {
            if (link->to->down || !link->to->open.contains(link))
                return;
            m_poisonCrashes.push_back(m_now);
            crash(*link->to, milliseconds(draw(300, 800)));
        });
        return;
    }
    answer_head head{200, link->subject.endpointId, "application/json", true, {}};
    if (how == treatment::Crossed)
        head.requestId = "other~1";
    after(milliseconds(draw(2, 10)), [this, link, how, head] {
        std::vector<event> events;
        const bool wanted = link->reader->head(head, events);
        for (event &one : events)
            failLink(link, std::get<attempt_failed>(one).how);
        if (wanted && link->to->service) {
            if (how == treatment::Late)
                return; // the deadline ends it
            if (how == treatment::BreakOff || how == treatment::Short) {
                failLink(link, attempt_failure::Broken);
                return;
            }
            deliver(link, how == treatment::Crossed ? "ran another" : "ran " + link->subject.body);
            endAnswer(link);
        } else if (wanted) {
            stream(link, how);
        }
    });
}

void requests_world::stream(const std::shared_ptr<connection> &link, treatment how)
{
    const int breakAt = draw(0, piecesPerAnswer);
    const bool crossed = how == treatment::Crossed;
    const std::string id = crossed ? "other~1" : link->subject.endpointId;
    const std::string body = crossed ? "another" : link->subject.body;
    std::string bytes;
    const auto piece = [&](std::int64_t index) {
        const json data{{"id", id}, {"index", index}, {"text", pieceText(body, index)}};
        bytes += framed(data.dump());
    };
    for (std::int64_t index = link->resumeFrom; index < piecesPerAnswer; ++index) {
        const bool here = index == breakAt;
        if (here && how == treatment::Short) {
            deliver(link, bytes);
            endAnswer(link);
            return;
        }
        if (here && how == treatment::BreakOff) {
            deliver(link, bytes);
            failLink(link, attempt_failure::Broken);
            return;
        }
        if (here && how == treatment::Doubled)
            piece(std::max<std::int64_t>(0, index - 1));
        if (!here || how != treatment::Gap)
            piece(index);
    }
    if (how == treatment::Late) {
        deliver(link, bytes);
        return; // the deadline ends it
    }
    const json last{{"id", id},
                    {"finish", true},
                    {"usage", {{"prompt_tokens", 10}, {"completion_tokens", piecesPerAnswer}}}};
    bytes += framed(last.dump()) + framed("[DONE]");
    const std::size_t half = bytes.size() / 2;
    deliver(link, bytes.substr(0, half));
    after(milliseconds(draw(1, 40)), [this, link, rest = bytes.substr(half)] {
        deliver(link, rest);
        endAnswer(link);
    });
}

void requests_world::deliver(const std::shared_ptr<connection> &link, std::string bytes)
{
    at(inOrder(link->lastByteAt), [link, bytes = std::move(bytes)] {
        link->from->post([link, bytes] {
            if (!link->open || link->reader->done())
                return;
            std::vector<event> events;
            if (!link->reader->feed(bytes, events))
                link->open = false;
            for (event &one : events)
                link->from->sessions.at(link->ticket)->life.handle(std::move(one));
        });
    });
}

void requests_world::endAnswer(const std::shared_ptr<connection> &link)
{
    at(inOrder(link->lastByteAt), [link] {
        link->to->open.erase(link);
        link->from->post([link] {
            if (!link->open)
                return;
            std::vector<event> events;
            link->reader->end(events);
            link->open = false;
            for (event &one : events)
                link->from->sessions.at(link->ticket)->life.handle(std::move(one));
        });
    });
}

void requests_world::failLink(const std::shared_ptr<connection> &link, attempt_failure how)
{
    at(inOrder(link->lastByteAt), [link, how] {
        link->to->open.erase(link);
        link->from->post([link, how] {
            if (!link->open || link->reader->done())
                return;
            link->open = false;
            link->from->sessions.at(link->ticket)
                    ->life.handle(attempt_failed{link->attempt, how, {}});
        });
    });
}

void requests_world::crash(endpoint_model &endpoint, milliseconds down)
{
    if (endpoint.down)
        return;
    endpoint.down = true;
    ++endpoint.incarnation;
    for (const auto &link : std::set(endpoint.open))
        failLink(link, attempt_failure::Crashed);
    endpoint.open.clear();
    after(down, [&endpoint] { endpoint.down = false; });
}

void requests_world::play()
{
    while (!m_events.empty()) {
        auto first = m_events.extract(m_events.begin());
        m_now = first.key();
        first.mapped()();
    }
}

std::vector<std::string> requests_world::breaches() const
{
    std::vector<std::string> all = m_breaches;
    checkRuns(all);
    checkSends(all);
    checkAnswers(all);
    return all;
}

void requests_world::checkRuns(std::vector<std::string> &out) const
{
    std::map<std::string, int> runsOfKey;
    for (const endpoint_run &run : m_runs) {
        if (!run.idempotencyKey.empty() && ++runsOfKey[run.idempotencyKey] > 1)
            out.push_back(run.idempotencyKey + " ran twice");
        const auto notice = m_noticeAt.find(run.endpoint);
        if (notice != m_noticeAt.end() && run.at > notice->second + leaveBound)
            out.push_back(run.endpoint + " got work after its notice");
        const bool withdrawn = run.organisation == "org-0" && m_keyWithdrawnAt != instant::max();
        if (withdrawn && run.at > m_keyWithdrawnAt + withdrawBound)
            out.push_back(run.endpointId + " ran with a withdrawn key");
    }
}

void requests_world::checkSends(std::vector<std::string> &out) const
{
    std::set<std::string> ran;
    std::map<std::string, instant> keyRanAt;
    for (const endpoint_run &run : m_runs) {
        ran.insert(run.endpointId);
        if (!run.idempotencyKey.empty())
            keyRanAt.emplace(run.idempotencyKey, run.at);
    }
    for (const caller_send &send : m_sends) {
        if (send.refused && !send.refusal.mayHaveRun && ran.contains(send.endpointId))
            out.push_back(send.endpointId
                          + " was refused as not run, and ran: " + send.refusal.message);
        const auto ranBefore = keyRanAt.find("key-" + std::to_string(send.submission));
        if (send.refused && !send.refusal.mayHaveRun && ranBefore != keyRanAt.end()
            && ranBefore->second < send.endedAt)
            out.push_back(send.endpointId
                          + " was refused as not run after its key ran: " + send.refusal.message);
        if (!send.ended)
            out.push_back(send.endpointId + " got no final answer");
        const bool paused = std::ranges::any_of(m_plan.faults, [](const fault &one) {
            return one.what == fault::kind::PauseEntry;
        });
        if (send.ended && !send.entryDied && !paused && send.endedAt > send.deadline + refusalSlack)
            out.push_back(send.endpointId + " got its final answer after its deadline");
    }
}

void requests_world::checkAnswers(std::vector<std::string> &out) const
{
    for (const caller_submission &wanted : m_wanted) {
        if (!wanted.whole)
            continue;
        const std::string name = "r" + std::to_string(wanted.number);
        if (!wanted.idempotent && wanted.answer != "ran " + wanted.body)
            out.push_back(name + " got another answer: " + wanted.answer);
        if (wanted.idempotent && wanted.pieces.size() != piecesPerAnswer)
            out.push_back(name + " got a short answer as whole");
        for (std::size_t index = 0; index < wanted.pieces.size(); ++index) {
            const std::string text = pieceText(wanted.body, static_cast<std::int64_t>(index));
            if (wanted.pieces[index].find(text) == std::string::npos)
                out.push_back(name + " got a piece of another answer");
        }
    }
}

} // namespace yuccascale::fakes
