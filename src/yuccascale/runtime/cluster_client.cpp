#include "yuccascale/runtime/cluster_client.hpp"

#include <algorithm>
#include <future>
#include <thread>

namespace yuccascale::runtime {

using namespace kernel;

namespace {

/// Timeout of one attempt at one node; a longer one would outlast a change of leader.
constexpr milliseconds attemptTimeout{1'500};
constexpr milliseconds pauseBetweenRounds{50};

std::string failureReply(error_kind kind, std::string message)
{
    submit_reply reply;
    reply.kind = kind;
    reply.message = std::move(message);
    return toCbor(reply);
}

} // namespace

cluster_client::cluster_client(const settings &settings, clock &clock, transport &transport,
                               feed_service &feed, command_proposer *proposer)
    : m_settings(settings)
    , m_clock(clock)
    , m_transport(transport)
    , m_feed(feed)
    , m_proposer(proposer)
{
    m_transport.handleLater(
            channel::Submit,
            [this](std::string_view, std::string_view payload, transport::reply_function reply) {
                state::command command;
                error problem;
                const bool decoded = succeeded(
                        [&]() -> result<void> {
                            BOOST_LEAF_ASSIGN(command,
                                              fromCbor<state::command>(payload, "command"));
                            return {};
                        },
                        problem);
                if (!decoded)
                    return reply(failureReply(error_kind::InvalidArgument, problem.message));
                if (m_proposer == nullptr)
                    return reply(
                            failureReply(error_kind::NotLeader, "this node has no control role"));
                m_proposer->proposeLater(command, m_clock.now() + attemptTimeout,
                                         [reply = std::move(reply)](const submit_reply &answer) {
                                             reply(toCbor(answer));
                                         });
            });
}

std::string cluster_client::firstTarget() const
{
    std::string leader = m_feed.view().leader;
    if (!leader.empty())
        return leader;
    return m_proposer != nullptr ? m_settings.linkAddress : nextTarget(0);
}

std::string cluster_client::nextTarget(std::size_t number) const
{
    const std::vector<std::string> known = m_feed.controlNodes();
    return known.empty() ? std::string() : known[number % known.size()];
}

result<state::command_result> cluster_client::submit(const state::command &command,
                                                     instant deadline)
{
    BOOST_LEAF_AUTO(answer, commit(command, deadline));
    const bool isEdit = std::holds_alternative<state::edit_tables>(command.body)
            || std::holds_alternative<state::put_document>(command.body);
    if (!isEdit || !answer.accepted)
        return answer;
    std::promise<bool> settled;
    const auto *document = std::get_if<state::put_document>(&command.body);
    m_feed.answerWhenSettled(answer.revision, document == nullptr ? 0 : document->version, deadline,
                             [&](bool inTime) { settled.set_value(inTime); });
    if (settled.get_future().get())
        return answer;
    return fail(error_kind::OutcomeUnknown, "control",
                "the edit is committed, but not in force everywhere yet; send it again with the "
                "same operation id");
}

result<state::command_result> cluster_client::commit(const state::command &command,
                                                     instant deadline)
{
    if (command.operationId.empty()) {
        return fail(error_kind::InvalidArgument, "command",
                    "no operation id: a resend could run the command twice; set one");
    }
    bool maybeSent = false;
    std::size_t next = 0;
    std::size_t redirects = 0;
    std::string target = firstTarget();
    while (m_clock.now() < deadline) {
        submit_reply reply = submitTo(command, target, deadline);
        if (reply.answered)
            return std::move(reply.answer);
        maybeSent = maybeSent || reply.kind == error_kind::OutcomeUnknown;
        if (reply.kind == error_kind::InvalidArgument)
            return fail(reply.kind, "command", reply.message);
        const bool redirected = !reply.leader.empty() && reply.leader != target;
        target = redirected ? reply.leader : nextTarget(next++);
        if (!redirected || ++redirects % 2 == 0) // two nodes may redirect to each other
            std::this_thread::sleep_for(pauseBetweenRounds);
    }
    if (maybeSent) {
        return fail(
                error_kind::OutcomeUnknown, "control",
                "the command was sent but not answered before the deadline; send it again with the "
                "same operation id");
    }
    return fail(error_kind::Unavailable, "control",
                "no leader could be reached before the deadline; the command was not run; retry");
}

submit_reply cluster_client::submitTo(const state::command &command, const std::string &target,
                                      instant deadline)
{
    if (target == m_settings.linkAddress && m_proposer != nullptr)
        return m_proposer->propose(command, std::min(deadline, m_clock.now() + attemptTimeout));
    submit_reply reply;
    error problem;
    const bool answered = succeeded(
            [&]() -> result<void> {
                const nanoseconds timeout
                        = std::min<nanoseconds>(attemptTimeout, deadline - m_clock.now());
                BOOST_LEAF_AUTO(
                        bytes, m_transport.call(target, channel::Submit, toCbor(command), timeout));
                BOOST_LEAF_ASSIGN(reply, fromCbor<submit_reply>(bytes, "reply of " + target));
                return {};
            },
            problem);
    if (!answered) {
        reply.kind
                = problem.kind == error_kind::Corrupt ? error_kind::OutcomeUnknown : problem.kind;
        reply.message = problem.message;
    }
    return reply;
}

} // namespace yuccascale::runtime
