#include "yuccascale/runtime/log_request.hpp"

#include <utility>

namespace yuccascale::runtime {

using kernel::error_kind;
using kernel::result;

namespace {

kernel::error notBegun(const std::string &replica)
{
    return {error_kind::Unavailable, replica,
            "the request was still queued at its deadline and was not run; retry"};
}

} // namespace

result<std::string> log_outcome::asResult() &&
{
    if (!succeeded)
        return boost::leaf::new_error(std::move(problem));
    return std::move(answer);
}

result<std::string> log_request::wait(kernel::nanoseconds timeout, const std::string &replica)
{
    std::future<log_outcome> future = m_promise.get_future();
    if (future.wait_for(timeout) != std::future_status::ready) {
        state expected = state::Queued;
        if (m_state.compare_exchange_strong(expected, state::GivenUp))
            return boost::leaf::new_error(notBegun(replica));
        return kernel::fail(error_kind::OutcomeUnknown, replica,
                            "not committed before the deadline; send it again with the same "
                            "operation id");
    }
    return future.get().asResult();
}

bool log_request::begin(kernel::instant now, const std::string &replica)
{
    if (now >= m_deadline) {
        fail(notBegun(replica));
        return false;
    }
    state expected = state::Queued;
    return m_state.compare_exchange_strong(expected, state::Begun);
}

void log_request::finish(log_outcome outcome)
{
    if (m_done)
        m_done(std::move(outcome));
    else
        m_promise.set_value(std::move(outcome));
}

void pending_proposals::add(std::uint64_t index, std::uint64_t term, log_request_pointer proposal)
{
    resolve(index, term, {});
    m_proposals[index] = {term, std::move(proposal)};
}

void pending_proposals::resolve(std::uint64_t index, std::uint64_t term, std::string answer)
{
    const auto found = m_proposals.find(index);
    if (found == m_proposals.end())
        return;
    const proposal resolved = std::move(found->second);
    m_proposals.erase(found);
    if (resolved.term == term)
        return resolved.request->answer(std::move(answer));
    resolved.request->fail({error_kind::Unavailable, m_replica,
                            "the leader changed and the command was not committed; send it again"});
}

void pending_proposals::failCovered(std::uint64_t index)
{
    for (auto pending = m_proposals.begin();
         pending != m_proposals.end() && pending->first <= index;
         pending = m_proposals.erase(pending)) {
        pending->second.request->fail(
                {error_kind::OutcomeUnknown, m_replica,
                 "the leader changed; the command may be committed, send it again with the same "
                 "operation id"});
    }
}

void pending_proposals::failAll(const std::string &reason)
{
    for (const auto &[index, pending] : m_proposals)
        pending.request->fail({error_kind::OutcomeUnknown, m_replica, reason});
    m_proposals.clear();
}

} // namespace yuccascale::runtime
