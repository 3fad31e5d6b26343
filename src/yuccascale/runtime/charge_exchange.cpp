#include "yuccascale/runtime/charge_exchange.hpp"

#include "yuccascale/wire/charges_codec.hpp"

#include <utility>

namespace yuccascale::runtime {

using namespace kernel;

namespace {

/// Charges of one pool in one message; the heaviest matter most for the share.
constexpr std::size_t mostChargesPerPool = 16;

constexpr milliseconds exchangeInterval{500};

} // namespace

charge_exchange::charge_exchange(transport &transport, charge_hooks hooks)
    : m_transport(transport)
    , m_hooks(std::move(hooks))
    , m_task(exchangeInterval, [this] { tellOthers(); })
{
    m_transport.handle(channel::Load, [this](std::string_view, std::string_view payload) {
        if (m_running)
            m_hooks.chargedElsewhere(wire::decodeCharges(payload));
        return std::string();
    });
}

charge_exchange::~charge_exchange()
{
    stop();
}

void charge_exchange::start()
{
    m_running = true;
    m_task.start();
}

void charge_exchange::stop()
{
    m_running = false;
    m_task.stop();
}

void charge_exchange::tellOthers()
{
    const std::vector<requests::pool_charge> charges = m_hooks.take(mostChargesPerPool);
    if (charges.empty())
        return;
    const std::string message = wire::encodeCharges(charges);
    for (const std::string &entry : m_hooks.others())
        m_transport.post(entry, channel::Load, message);
}

} // namespace yuccascale::runtime
