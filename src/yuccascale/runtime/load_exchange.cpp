#include "yuccascale/runtime/load_exchange.hpp"

#include <utility>

namespace yuccascale::runtime {

using namespace kernel;

namespace {

/// Charges of one pool in one message; the heaviest have the largest effect on the fair shares.
constexpr std::size_t maxChargesPerPool = 16;

constexpr milliseconds exchangeInterval{500};

} // namespace

load_exchange::load_exchange(transport &transport, load_hooks hooks,
                             std::shared_ptr<periodic_thread> thread)
    : m_transport(transport)
    , m_hooks(std::move(hooks))
    , m_task(
              exchangeInterval, [this] { sendPending(); }, std::move(thread))
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

void load_exchange::sendPending()
{
    wire::load_message message{m_hooks.takeCharges(maxChargesPerPool)};
    {
        const std::lock_guard lock(m_mutex);
        message.updates = std::exchange(m_pendingUpdates, {});
    }
    auto quotas = m_hooks.takeQuotas ? m_hooks.takeQuotas() : std::nullopt;
    if (message.empty() && !quotas)
        return;
    if (quotas)
        message.quotas = std::move(*quotas);
    const std::string payload = wire::encodeLoad(message);
    for (const std::string &entry : m_hooks.otherEntries())
        m_transport.post(entry, channel::Load, payload);
}

} // namespace yuccascale::runtime
