#include "fakes/plain_service.hpp"

#include <chrono>
#include <thread>

namespace yuccascale::fakes {

using kernel::json;

plain_service::plain_service(plain_service_settings settings, const history &eventHistory)
    : m_settings(std::move(settings))
    , m_history(eventHistory)
    , m_server(m_settings.port, [this](const http_request &request) { return handle(request); })
{
    m_history.record(m_settings.name, "started", {{"port", m_server.port()}});
}

http_reply plain_service::handle(const http_request &request)
{
    if (request.path == "/load")
        return load();
    m_history.recordRequest(m_settings.name, request);
    http_reply reply;
    if (request.method == "GET") {
        const std::scoped_lock guard(m_mutex);
        reply = jsonReply(200, {{"waiting", m_tickets}, {"path", request.path}});
    } else {
        reply = run(request);
    }
    reply.headers["X-Request-Id"] = request.header("x-request-id");
    return reply;
}

http_reply plain_service::run(const http_request &request)
{
    const std::string key = request.header("idempotency-key");
    json fields{{"request_id", request.header("x-request-id")}, {"idempotency_key", key}};
    {
        const std::scoped_lock guard(m_mutex);
        ++m_requests;
        const bool refused
                = m_settings.refuseEvery != 0 && m_requests % m_settings.refuseEvery == 0;
        if (refused || m_running >= m_settings.slots) {
            m_history.record(m_settings.name, "not_run", fields);
            return jsonReply(503, {{"run", false}});
        }
        ++m_running;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(m_settings.delayMs));
    const std::scoped_lock guard(m_mutex);
    --m_running;
    const std::uint64_t ticket = ++m_tickets;
    fields["ticket"] = ticket;
    fields["runs_of_key"] = ++m_runs[key];
    m_history.record(m_settings.name, "run", fields);
    if (m_settings.loseAnswerEvery != 0 && ticket % m_settings.loseAnswerEvery == 0)
        return truncatedReply();
    return jsonReply(200, {{"ticket", ticket}, {"idempotency_key", key}, {"path", request.path}});
}

http_reply plain_service::load() const
{
    const std::scoped_lock guard(m_mutex);
    return jsonReply(200,
                     {{"engine", m_settings.name},
                      {"incarnation", 1},
                      {"age_ms", m_settings.loadLagMs},
                      {"running", m_running},
                      {"queued", 0},
                      {"prefill_tokens_waiting", 0},
                      {"decode_tokens_waiting", 0},
                      {"role", "mixed"},
                      {"model", ""},
                      {"leaving", false}});
}

} // namespace yuccascale::fakes
