#include "yuccascale/runtime/log_inbox.hpp"

#include <utility>

namespace yuccascale::runtime {

using kernel::error_kind;
using kernel::fail;
using kernel::result;

namespace {

constexpr std::size_t maxMessages = 8'192;
constexpr std::size_t maxRequests = 8'192;

} // namespace

void log_inbox::open()
{
    const std::lock_guard lock(m_mutex);
    m_open = !m_stopped;
}

log_inbox::content log_inbox::close()
{
    const std::lock_guard lock(m_mutex);
    m_open = false;
    return std::exchange(m_content, {});
}

void log_inbox::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_open = false;
        m_stopped = true;
    }
    m_changed.notify_all();
}

void log_inbox::addMessage(kernel::consensus::message received)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_open || m_content.messages.size() >= maxMessages)
            return;
        m_content.messages.push_back(std::move(received));
    }
    m_changed.notify_all();
}

result<void> log_inbox::addProposal(log_request_pointer proposal)
{
    return addRequest(&content::proposals, std::move(proposal));
}

result<void> log_inbox::addRead(log_request_pointer read)
{
    return addRequest(&content::reads, std::move(read));
}

result<void> log_inbox::addRequest(std::vector<log_request_pointer> content::*queue,
                                   log_request_pointer request)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_open)
            return fail(error_kind::Unavailable, m_replica,
                        "this replica is stopped; retry at another node");
        if ((m_content.*queue).size() >= maxRequests)
            return fail(error_kind::Overloaded, m_replica,
                        std::to_string(maxRequests) + " requests already wait; retry later");
        (m_content.*queue).push_back(std::move(request));
    }
    m_changed.notify_all();
    return {};
}

bool log_inbox::take(content &taken, kernel::nanoseconds timeout)
{
    taken = {};
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, timeout, [&] { return !m_open || !m_content.empty(); });
    taken = std::exchange(m_content, {});
    return m_open;
}

bool log_inbox::waitForStop(kernel::nanoseconds timeout)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, timeout, [&] { return m_stopped; });
}

} // namespace yuccascale::runtime
