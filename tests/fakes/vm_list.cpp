#include "fakes/vm_list.hpp"

namespace yuccascale::fakes {

vm_list::vm_list(vm_list_settings settings, const history &eventHistory)
    : m_settings(std::move(settings))
    , m_history(eventHistory)
    , m_versions{{0, m_settings.vms}}
    , m_server(m_settings.port, [this](const http_request &request) { return handle(request); })
{ }

http_reply vm_list::handle(const http_request &request)
{
    const std::scoped_lock guard(m_mutex);
    const std::int64_t now = wallMs();
    if (request.method == "POST" && request.path == "/standin/vms") {
        m_versions.push_back({now, kernel::json::parse(request.body)});
        m_history.record(m_settings.name, "changed", {{"vms", m_versions.back().vms}});
        return jsonReply(200, {{"changed", true}});
    }
    if (request.path != "/vms")
        return jsonReply(404, {{"error", "no such path"}});
    while (m_versions.size() > 1 && m_versions[1].atMs + m_settings.lagMs <= now)
        m_versions.pop_front();
    return jsonReply(200, {{"age_ms", m_settings.lagMs}, {"vms", m_versions.front().vms}});
}

} // namespace yuccascale::fakes
