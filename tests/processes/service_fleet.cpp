#include "processes/service_fleet.hpp"

#include "fakes/history.hpp"
#include "yuccascale/kernel/json.hpp"

#include <array>
#include <random>

namespace yuccascale::processes {

namespace {

using kernel::json;

constexpr int serversOfService = 2;
constexpr std::array<const char *, 3> zones{"z0", "z1", "z2"};
constexpr milliseconds replacementBegins{700}; ///< a new server is listed that long before
constexpr milliseconds serviceTime{3};
constexpr milliseconds pauseStep{20};
constexpr int misdirected = 421;
constexpr int notFound = 404;

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

service_fleet::service_fleet(const std::vector<std::string> &services)
    : m_services(services)
{
    for (const std::string &service : services) {
        for (int count = 0; count < serversOfService; ++count)
            start(service);
    }
    m_platform = std::make_unique<fakes::http_server>(
            0, [this](const fakes::http_request &request) { return answerPlatform(request); });
}

service_fleet::~service_fleet()
{
    stopReplacing();
    m_platform.reset();
    for (server &one : m_servers)
        one.http.reset();
}

std::string service_fleet::platformAddress() const
{
    return loopback(m_platform->port());
}

service_fleet::server &service_fleet::start(const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    const std::size_t number = m_servers.size();
    server &made = m_servers.emplace_back();
    made.id = "i-" + std::to_string(number);
    made.service = service;
    made.zone = zones.at(number % zones.size());
    made.bornMs = fakes::wallMs();
    made.http = std::make_unique<fakes::http_server>(
            0, [this, &made](const fakes::http_request &request) { return serve(made, request); });
    return made;
}

fakes::http_reply service_fleet::serve(server &one, const fakes::http_request &request)
{
    fakes::http_reply reply;
    reply.headers["X-Request-Id"] = request.header("x-request-id");
    reply.headers["X-Instance-Id"] = one.id;
    if (request.path == "/health")
        return reply;
    if (request.header("x-expect-instance") != one.id) {
        reply.status = misdirected;
        return reply;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(
                {request.header("x-request-id"), one.service, test_clock::now(), one.drainingAt});
    }
    std::this_thread::sleep_for(serviceTime);
    reply.headers["X-Server-Seal"] = "seal";
    reply.headers["X-Server-Load"] = "1,0,16";
    reply.contentType = "text/plain";
    reply.body = one.service;
    return reply;
}

fakes::http_reply service_fleet::answerPlatform(const fakes::http_request &request) const
{
    fakes::http_reply reply;
    if (request.path == "/instances")
        reply.body = list();
    else if (request.path == "/usage" || request.path == "/scale")
        reply.body = "{}";
    else
        reply.status = notFound;
    return reply;
}

std::string service_fleet::list() const
{
    json instances = json::array();
    const std::lock_guard lock(m_mutex);
    for (const server &one : m_servers) {
        if (!one.listed)
            continue;
        instances.push_back({{"id", one.id},
                             {"service", one.service},
                             {"address", loopback(one.http->port())},
                             {"zone", one.zone},
                             {"version", "v1"},
                             {"slots", 16},
                             {"born", one.bornMs},
                             {"cold_remaining_ms", 0},
                             {"state", one.drainingAt ? "draining" : "ready"}});
    }
    return json{{"instances", instances}, {"next", nullptr}}.dump();
}

std::vector<service_run> service_fleet::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

void service_fleet::startReplacing(unsigned seed)
{
    m_replacing = std::thread([this, seed] { replaceServers(seed); });
}

void service_fleet::stopReplacing()
{
    m_stopped = true;
    if (m_replacing.joinable())
        m_replacing.join();
}

void service_fleet::pause(milliseconds time) const
{
    const test_time until = test_clock::now() + time;
    while (!m_stopped && test_clock::now() < until)
        std::this_thread::sleep_for(pauseStep);
}

/// Requires m_mutex to be held.
service_fleet::server *service_fleet::oldestStaying(const std::string &service)
{
    for (server &one : m_servers) {
        if (one.service == service && one.listed && !one.drainingAt)
            return &one;
    }
    return nullptr;
}

/// A server that is gone from the list goes on to answer, so that a request that reaches it counts.
void service_fleet::replaceServers(unsigned seed)
{
    constexpr milliseconds leastPause{1'000};
    constexpr unsigned morePauseMs = 2'000;
    constexpr std::size_t leavingAtOnce = 2;
    std::minstd_rand random(seed);
    std::list<server *> leaving;
    while (!m_stopped) {
        const std::string &service = m_services.at(random() % m_services.size());
        start(service);
        pause(replacementBegins);
        {
            const std::lock_guard lock(m_mutex);
            leaving.push_back(oldestStaying(service));
            leaving.back()->drainingAt = test_clock::now();
            if (leaving.size() > leavingAtOnce) {
                leaving.front()->listed = false;
                leaving.pop_front();
            }
        }
        ++m_drained;
        pause(leastPause + milliseconds(random() % morePauseMs));
    }
}

} // namespace yuccascale::processes
