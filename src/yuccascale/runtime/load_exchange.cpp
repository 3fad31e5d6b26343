#include "yuccascale/runtime/load_exchange.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace yuccascale::runtime {

using namespace kernel;

namespace {

/// Charges of one pool in one message; the heaviest matter most for the share.
constexpr std::size_t mostChargesPerPool = 16;

constexpr milliseconds exchangeInterval{500};

} // namespace

load_exchange::load_exchange(transport &transport, load_hooks hooks)
    : m_transport(transport)
    , m_hooks(std::move(hooks))
    , m_task(exchangeInterval, [this] { tellOthers(); })
{
    m_transport.handle(channel::Load, [this](std::string_view, std::string_view payload) {
        if (m_running)
            m_hooks.heard(wire::decodeLoad(payload));
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

void load_exchange::tellSoon(requests::endpoint_updates news)
{
    {
        const std::lock_guard lock(m_mutex);
        std::ranges::move(news.placements, std::back_inserter(m_news.placements));
        std::ranges::move(news.failures, std::back_inserter(m_news.failures));
    }
    m_task.runSoon();
}

void load_exchange::tellOthers()
{
    wire::load_message message{m_hooks.takeCharges(mostChargesPerPool)};
    {
        const std::lock_guard lock(m_mutex);
        message.news = std::exchange(m_news, {});
    }
    if (message.empty())
        return;
    const std::string payload = wire::encodeLoad(message);
    for (const std::string &entry : m_hooks.others())
        m_transport.post(entry, channel::Load, payload);
}

} // namespace yuccascale::runtime
