#include "yuccascale/http/entry_relay.hpp"

#include <utility>

namespace yuccascale::http {

using namespace kernel::requests;

namespace {

/// Requests at other entries at once; as many as the queue of a pool holds.
constexpr std::size_t maxRunning = 2'048;
constexpr kernel::milliseconds unreachedRetryAfter{500};

[[nodiscard]] refusal nobodyRefusal()
{
    return {kernel::error_kind::Unavailable,
            "this entry reaches no endpoint, and no other entry can serve the request; retry at "
            "another entry address",
            false, unreachedRetryAfter};
}

} // namespace

entry_relay::entry_relay(const kernel::clock &clock, std::shared_ptr<endpoint_monitor> monitor,
                         std::unique_ptr<endpoint_driver> driver)
    : m_clock(clock)
    , m_monitor(std::move(monitor))
    , m_driver(std::move(driver))
{ }

void entry_relay::setHelpers(std::vector<helper_entry> helpers)
{
    const std::scoped_lock guard(m_mutex);
    m_choice.setHelpers(std::move(helpers));
}

/// A retry does not wait for the certainty that the paths are lost.
bool entry_relay::servesItself(const request &callerRequest, const enqueue &options) const
{
    const bool ownRetry = options.retry && !callerRequest.relay;
    if (ownRetry && m_monitor->state() != reach_state::Reached)
        return false;
    return m_monitor->goesDirectly(callerRequest.id);
}

/// A claimed request belongs to the entry that holds its claim, and one that came from another
/// entry is never passed on again.
serving_decision entry_relay::decide(const request &callerRequest, const enqueue &options)
{
    if (!m_driver || servesItself(callerRequest, options))
        return std::monostate{};
    if (auto helper = chooseHelper(callerRequest))
        return std::move(*helper);
    if (m_monitor->lost())
        return nobodyRefusal();
    return std::monostate{};
}

std::optional<helper_entry> entry_relay::chooseHelper(const request &callerRequest)
{
    if (callerRequest.claimed() || callerRequest.relay)
        return std::nullopt;
    const std::scoped_lock guard(m_mutex);
    if (m_running >= maxRunning)
        return std::nullopt;
    auto helper = m_choice.choose(m_clock.now(), callerRequest.id);
    m_running += helper ? 1 : 0;
    return helper;
}

void entry_relay::unavailable(const std::string &node)
{
    const std::scoped_lock guard(m_mutex);
    m_choice.unavailable(m_clock.now(), node);
}

void entry_relay::ended()
{
    const std::scoped_lock guard(m_mutex);
    --m_running;
}

} // namespace yuccascale::http
