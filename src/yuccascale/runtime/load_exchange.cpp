#include "yuccascale/runtime/load_exchange.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::runtime {

using namespace kernel;

namespace {

/// Charges of one pool in one message; the heaviest have the largest effect on the fair shares.
constexpr std::size_t maxChargesPerPool = 16;

constexpr milliseconds exchangeInterval{500};
/// Entries that a message is sent to at a time, and the pause until it is sent to the next ones.
/// While a small VM writes to hundreds of entries, its requests wait.
constexpr std::size_t entriesAtATime = 16;
constexpr milliseconds pauseBetweenParts{10};
/// Messages a second that charges alone may cause.
constexpr std::int64_t chargeMessagesPerSecond = 64;

} // namespace

load_exchange::load_exchange(transport &transport, load_hooks hooks,
                             std::shared_ptr<periodic_thread> thread)
    : m_transport(transport)
    , m_hooks(std::move(hooks))
    , m_task(
              exchangeInterval, [this] { static_cast<void>(sendPending()); }, std::move(thread))
{
    m_transport.handle(channel::Load, [this](std::string_view peer, std::string_view payload) {
        if (m_running)
            m_hooks.onMessage(peer, wire::decodeLoad(payload));
        return std::string();
    });
}

load_exchange::~load_exchange()
{
    stop();
}

void load_exchange::start()
{
    m_running = true;
    m_task.start();
}

void load_exchange::stop()
{
    m_running = false;
    m_task.stop();
}

void load_exchange::sendSoon(requests::endpoint_updates updates)
{
    {
        const std::lock_guard lock(m_mutex);
        m_pendingUpdates.append(std::move(updates));
    }
    m_task.runSoon();
}

bool load_exchange::chargesDue(std::size_t entries)
{
    if (!m_hooks.now)
        return true;
    const nanoseconds interval = nanoseconds(seconds(entries)) / chargeMessagesPerSecond;
    return m_hooks.now() - m_chargesToldAt >= interval;
}

bool load_exchange::sendPending()
{
    if (!m_broadcast)
        m_broadcast = nextBroadcast();
    if (!m_broadcast)
        return false;
    sendPart();
    const bool more = m_broadcast || hasUpdates();
    if (more)
        m_task.runAgainAfter(pauseBetweenParts);
    return more;
}

bool load_exchange::hasUpdates()
{
    const std::lock_guard lock(m_mutex);
    return !m_pendingUpdates.empty();
}

/// Each begins with other entries, so that none of them is always the last to hear.
std::optional<load_exchange::broadcast> load_exchange::nextBroadcast()
{
    wire::load_message message;
    {
        const std::lock_guard lock(m_mutex);
        message.updates = std::exchange(m_pendingUpdates, {});
    }
    auto quotas = m_hooks.takeQuotas ? m_hooks.takeQuotas() : std::nullopt;
    std::vector<std::string> entries = m_hooks.otherEntries();
    const bool isSent = quotas || !message.updates.empty();
    if (!isSent && !chargesDue(entries.size()))
        return std::nullopt;
    message.charges = m_hooks.takeCharges(maxChargesPerPool);
    if ((message.empty() && !quotas) || entries.empty())
        return std::nullopt;
    if (m_hooks.now)
        m_chargesToldAt = m_hooks.now();
    if (quotas)
        message.quotas = std::move(*quotas);
    if (m_hooks.takeRates)
        message.updates.rates = m_hooks.takeRates();
    const std::size_t first = m_broadcasts++ * entriesAtATime % entries.size();
    std::rotate(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(first),
                entries.end());
    return broadcast{wire::encodeLoad(message), std::move(entries)};
}

void load_exchange::sendPart()
{
    std::vector<std::string> &entries = m_broadcast->entries;
    for (std::size_t count = 0; count < entriesAtATime && !entries.empty(); ++count) {
        m_transport.post(entries.back(), channel::Load, m_broadcast->payload);
        entries.pop_back();
    }
    if (entries.empty())
        m_broadcast.reset();
}

} // namespace yuccascale::runtime
