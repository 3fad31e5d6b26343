#include "yuccascale/runtime/control_service.hpp"

#include <utility>

namespace yuccascale::runtime {

using namespace kernel;

control_service::control_service(std::function<void()> onChanged)
    : m_onChanged(std::move(onChanged))
{ }

std::string control_service::apply(std::uint64_t index, std::string_view payload)
{
    state::command command;
    error problem;
    const bool decoded = succeeded(
            [&]() -> result<void> {
                BOOST_LEAF_ASSIGN(command, fromCbor<state::command>(payload, "log entry"));
                return {};
            },
            problem);
    if (!decoded)
        return toCbor(state::command_result{false, problem.kind, problem.message, index, 0, {}});
    state::command_result answer;
    bool feedChanged = false;
    {
        const std::lock_guard lock(m_mutex);
        const auto tables = m_machine.tables();
        const auto bans = m_machine.bannedFingerprints();
        answer = m_machine.apply(index, command);
        feedChanged = tables != m_machine.tables() || bans != m_machine.bannedFingerprints();
        if (bans != m_machine.bannedFingerprints())
            m_bansVersion = index;
    }
    if (feedChanged)
        m_onChanged();
    return toCbor(answer);
}

std::string control_service::snapshot()
{
    const std::lock_guard lock(m_mutex);
    return m_machine.snapshot();
}

result<void> control_service::restore(std::string_view bytes)
{
    const std::lock_guard lock(m_mutex);
    BOOST_LEAF_CHECK(m_machine.restore(bytes));
    m_bansVersion = m_machine.appliedIndex();
    return {};
}

std::string control_service::leader() const
{
    return m_log->leader();
}

result<feed::confirmed_state> control_service::confirmedReading(instant deadline)
{
    BOOST_LEAF_CHECK(m_log->confirmLeadership(deadline));
    const std::lock_guard lock(m_mutex);
    const auto bans = m_machine.bannedFingerprints();
    return feed::confirmed_state{m_machine.tables(), m_bansVersion, {bans->begin(), bans->end()}};
}

std::optional<instant> control_service::leadingSince(instant now) const
{
    const std::optional<leadership> authority = m_log->current(now);
    if (!authority)
        return std::nullopt;
    return authority->leaseStart;
}

result<std::shared_ptr<const std::string>> control_service::confirmedDocument(instant deadline)
{
    BOOST_LEAF_CHECK(m_log->confirmLeadership(deadline));
    const std::lock_guard lock(m_mutex);
    return m_machine.document();
}

submit_reply control_service::propose(const state::command &command, instant deadline)
{
    return replyTo(
            [&] { return m_log->propose(toCbor(command), deadline, commandFormat(command)); });
}

void control_service::proposeLater(const state::command &command, instant deadline,
                                   std::function<void(submit_reply reply)> done)
{
    m_log->proposeLater(
            toCbor(command), deadline,
            [this, done = std::move(done)](log_outcome outcome) {
                done(replyTo([&] { return std::move(outcome).asResult(); }));
            },
            commandFormat(command));
}

submit_reply control_service::replyTo(const std::function<result<std::string>()> &propose) const
{
    submit_reply reply;
    error problem;
    reply.answered = succeeded(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(bytes, propose());
                BOOST_LEAF_ASSIGN(reply.answer,
                                  fromCbor<state::command_result>(bytes, "state machine"));
                return {};
            },
            problem);
    if (reply.answered)
        return reply;
    reply.kind = problem.kind;
    reply.message = problem.message;
    reply.leader = m_log->leader();
    return reply;
}

} // namespace yuccascale::runtime
