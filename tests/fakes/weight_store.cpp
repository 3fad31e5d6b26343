#include "fakes/weight_store.hpp"

namespace yuccascale::fakes {

weight_store::weight_store(weight_store_settings settings, const history &eventHistory)
    : m_settings(std::move(settings))
    , m_history(eventHistory)
    , m_server(m_settings.port, [this](const http_request &request) { return handle(request); })
{ }

http_reply weight_store::handle(const http_request &request)
{
    constexpr std::int64_t msPerSecond = 1'000;
    if (request.path != "/fetch")
        return jsonReply(404, {{"error", "no such path"}});
    const std::scoped_lock guard(m_mutex);
    const std::int64_t waitMs = m_nextFetchMs - wallMs();
    m_history.record(m_settings.name, "fetch", {{"body", request.body}, {"allowed", waitMs <= 0}});
    if (waitMs > 0) {
        http_reply reply = jsonReply(429, {{"retry_after_ms", waitMs}});
        reply.headers["Retry-After"] = std::to_string((waitMs + msPerSecond - 1) / msPerSecond);
        return reply;
    }
    m_nextFetchMs = wallMs() + m_settings.intervalMs;
    return jsonReply(200, {{"fetched", true}});
}

} // namespace yuccascale::fakes
