#include "fakes/usage_reports.hpp"

namespace yuccascale::fakes {

usage_reports::usage_reports(usage_reports_settings settings, const history &eventHistory)
    : m_settings(std::move(settings))
    , m_history(eventHistory)
    , m_server(m_settings.port, [this](const http_request &request) { return handle(request); })
{ }

http_reply usage_reports::handle(const http_request &request)
{
    if (!request.path.starts_with("/usage/"))
        return jsonReply(404, {{"error", "no such path"}});
    const std::string window = lastSegment(request.path);
    const std::scoped_lock guard(m_mutex);
    if (request.method == "POST")
        return acceptReport(window, request.body);
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return jsonReply(404, {{"error", "not reported"}});
    http_reply reply;
    reply.body = found->second;
    return reply;
}

http_reply usage_reports::acceptReport(const std::string &window, const std::string &body)
{
    const auto [stored, first] = m_windows.emplace(window, body);
    const bool sameFigures = stored->second == body;
    m_history.record(m_settings.name, "report",
                     {{"window", window}, {"first", first}, {"same", sameFigures}, {"body", body}});
    if (!sameFigures)
        return jsonReply(409,
                         {{"error", "this window was already reported with different figures"}});
    ++m_reports;
    if (m_settings.loseAnswerEvery != 0 && m_reports % m_settings.loseAnswerEvery == 0)
        return truncatedReply();
    return jsonReply(200, {{"accepted", true}});
}

} // namespace yuccascale::fakes
