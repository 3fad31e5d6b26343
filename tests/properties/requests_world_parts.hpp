#pragma once

#include "properties/requests_world.hpp"
#include "yuccascale/kernel/json.hpp"
#include "yuccascale/kernel/requests/event_stream.hpp"
#include "yuccascale/kernel/requests/key_check.hpp"

#include <algorithm>
#include <deque>
#include <utility>

/// \file
/// \brief Parts of the requests' world that its source files share.

namespace yuccascale::fakes {

using kernel::json;
using namespace kernel::requests;
namespace state = kernel::state;
namespace policy = kernel::policy;

inline constexpr milliseconds freshness{2'000};
inline constexpr milliseconds feedInterval{200};
inline constexpr milliseconds pollInterval{200};
inline constexpr milliseconds reportLag{150};
inline constexpr milliseconds lostAnswer{150};
inline constexpr milliseconds endOfWorld{60'000};
inline constexpr int deadlineMs = 4'000;
inline constexpr int piecesPerAnswer = 8;
inline constexpr int maxSends = 6;
inline constexpr milliseconds refusalSlack{60};
inline constexpr milliseconds leaveBound{3'000};
inline constexpr milliseconds withdrawBound{3'000};

class silent_events final : public kernel::event_sink
{
public:
    void record(const kernel::event_kind &, std::span<const kernel::event_field>) override { }
};

inline silent_events silence;

[[nodiscard]] inline std::string keyOf(const std::string &organisation)
{
    return "yk_" + organisation;
}

[[nodiscard]] inline std::string pieceText(const std::string &body, std::int64_t index)
{
    return digestOf(body).substr(0, 6) + "/" + std::to_string(index);
}

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
            at.world.after({}, [this] {
                at.post([this] { at.giveTurns(life.callerRequest().route.pool); });
            });
        return refused;
    }

    void remove(std::uint64_t, const request &subject) override
    {
        at.pools.at(subject.route.pool)->remove(ticket);
    }

    void firstPieceArrived(std::uint64_t, const request &subject) override
    {
        at.pools.at(subject.route.pool)->firstPieceArrived(now(), ticket);
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
            claim_decision decision;
            kernel::error problem;
            const bool answered = kernel::succeeded(
                    [&]() -> kernel::result<void> {
                        BOOST_LEAF_AUTO(known, std::move(answer));
                        decision = claimDecision(known, at.world.wallNow(),
                                                 milliseconds(deadlineMs));
                        return {};
                    },
                    problem);
            if (!answered)
                decision = claimDecision(problem);
            at.post([this, decision] { life.handle(claim_answered{decision}); });
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
            settle(life.callerRequest(), operationId, {state::claim_outcome::NotRun, {}});
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
                    [this] { at.post([this] { life.handle(usage_commit_finished{false}); }); });
    }

    void ban(const request &subject, const std::string &fingerprint) override
    {
        at.bans.insert(fingerprint);
        state::ban_fingerprint ban{fingerprint, subject.route.name, 1'000'000'000'000'000};
        keepCommitting({"ban/" + fingerprint, ban}, [] {});
        for (const std::uint64_t waiting :
             at.pools.at(subject.route.pool)->takeFingerprint(fingerprint))
            at.sessions.at(waiting)->life.handle(request_banned{});
    }

    void send(const request &subject, const endpoint_assignment &turn,
              const dispatch &sent) override
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

    void stop(const request &, const endpoint_assignment &) override
    {
        if (!link)
            return;
        link->open = false;
        at.world.after(at.world.hop(), [link = link] { link->to->open.erase(link); });
    }

    void deliver(caller_output output) override
    {
        const bool last = std::holds_alternative<finish_stream>(output)
                || std::holds_alternative<send_answer>(output);
        const bool recorded = std::holds_alternative<send_answer>(output)
                && std::get<send_answer>(output).recorded;
        if (last && !recorded && ++at.world.m_answersReleased > at.world.m_usageApplied)
            at.world.m_breaches.push_back("an answer was released before its usage was committed");
        const instant arrival = at.world.inOrder(at.world.m_sends[sendNumber].lastByteAt);
        at.world.at(arrival, [world = &at.world, send = sendNumber, output] {
            if (!world->m_sends[send].entryDied)
                world->received(send, output);
        });
    }
};

} // namespace yuccascale::fakes
