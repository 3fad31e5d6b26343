#include "processes/document_edits.hpp"

#include "fakes/http_client.hpp"
#include "yuccascale/kernel/json.hpp"

#include <algorithm>
#include <array>

namespace yuccascale::processes {

namespace {

using kernel::json;

constexpr int movedRoutes = 8;
constexpr milliseconds leastInterval{300};
constexpr unsigned moreIntervalMs = 700;
constexpr int sendingAtOnce = 8;
constexpr int answerLimitMs = 1'000; ///< then the operator turns to another node
constexpr milliseconds resendPause{150};
constexpr milliseconds resendLimit{12'000};
constexpr milliseconds firstLimit{30'000};
/// Callers mostly ask for what was changed so long ago that it has to be in force, or nearly.
constexpr milliseconds recentLeast{1'500};
constexpr milliseconds recentMost{6'500};
constexpr milliseconds waitStep{10};
constexpr std::size_t keptAdditions = 4;
const std::string lastingKey = "key-lasting";
/// One in so many documents takes all keys away, and as many times an invalid one is sent beside
/// it.
constexpr unsigned rareShare = 6;

json serviceRow(const std::string &name)
{
    return {{"name", name},
            {"health_path", "/health"},
            {"max_connections", 200},
            {"protocol", "h1"},
            {"tls", false}};
}

json routeRow(const std::string &name, const std::string &service)
{
    return {{"name", name},      {"host", "soak.example"}, {"path_prefix", "/" + name + "/"},
            {"kind", "safe"},    {"timeout_ms", 2'000},    {"target_latency_ms", 300},
            {"priority", 0},     {"service", service},     {"max_attempts", 2},
            {"anonymous", false}};
}

/// An invalid document.
struct invalid_document
{
    std::string name;
    std::string body;
};

/// \returns \a body with its version, which is its last member, replaced.
std::string withVersion(const std::string &body, const std::string &version)
{
    return body.substr(0, body.rfind("\"version\":")) + "\"version\":" + version + "}";
}

std::vector<invalid_document> invalidOnes(const std::string &body)
{
    const std::string newest = "18446744073709551614";
    const std::string above = withVersion(body, newest);
    return {{"a negative version", withVersion(body, "-1")},
            {"a version with a fraction", withVersion(body, newest + ".5")},
            {"a version of more than 64 bits", withVersion(body, "18446744073709551616")},
            {"a NUL byte behind it", above + std::string(1, '\0')},
            {"tenants named twice", "{\"tenants\":[]," + above.substr(1)},
            {"no list of tenants", "{\"tenants\":null," + above.substr(1)}};
}

} // namespace

document_edits::document_edits(const zone_cluster &system, std::vector<std::string> services,
                               unsigned seed)
    : m_system(system)
    , m_services(std::move(services))
    , m_random(seed)
    , m_oddRandom(seed + 1)
{
    m_draft.keys.insert(lastingKey);
    for (int number = 0; number < movedRoutes; ++number)
        m_draft.services["moved-" + std::to_string(number)] = anyService();
}

document_edits::~document_edits()
{
    stop();
}

const std::string &document_edits::anyService()
{
    return m_services.at(draw(m_services.size()));
}

bool document_edits::sendFirst()
{
    const std::uint64_t version = record({"moved-0", lastingKey});
    const test_time until = test_clock::now() + firstLimit;
    while (test_clock::now() < until) {
        send(version, bodyOf(version), 0);
        if (documents().back().acknowledgedAt)
            return true;
    }
    return false;
}

void document_edits::start()
{
    m_thread = std::thread([this] { run(); });
}

void document_edits::stop()
{
    m_stopped = true;
    if (m_thread.joinable())
        m_thread.join();
    for (std::thread &sender : m_senders)
        sender.join();
    m_senders.clear();
}

void document_edits::run()
{
    while (!m_stopped) {
        const test_time next
                = test_clock::now() + leastInterval + milliseconds(m_random() % moreIntervalMs);
        const std::uint64_t version = record(changeSomething());
        if (m_oddRandom() % rareShare == 0)
            sendInvalid(bodyOf(version), unsigned(m_oddRandom()));
        ++m_sending;
        m_senders.emplace_back(
                [this, version, body = bodyOf(version), first = unsigned(m_random())] {
                    send(version, body, first);
                    --m_sending;
                });
        while (!m_stopped && (test_clock::now() < next || m_sending >= sendingAtOnce))
            std::this_thread::sleep_for(waitStep);
    }
}

request_subject document_edits::changeSomething()
{
    if (!m_withdrawnKeys.empty())
        m_draft.keys.merge(m_withdrawnKeys);
    m_withdrawnKeys.clear();
    if (m_oddRandom() % rareShare == 0)
        return withdrawAllKeys();
    using change = request_subject (document_edits::*)();
    static constexpr std::array<change, 4> changes{
            &document_edits::moveRoute, &document_edits::moveRoute, &document_edits::addOrDropRoute,
            &document_edits::createOrWithdrawKey};
    return (this->*changes.at(draw(changes.size())))();
}

request_subject document_edits::moveRoute()
{
    const std::string route = "moved-" + std::to_string(draw(movedRoutes));
    std::string service = anyService();
    while (service == m_draft.services.at(route))
        service = anyService();
    m_draft.services[route] = service;
    return {route, lastingKey};
}

request_subject document_edits::addOrDropRoute()
{
    if (m_addedRoutes.size() >= keptAdditions || (!m_addedRoutes.empty() && draw(2) == 0)) {
        const std::string dropped = m_addedRoutes.front();
        m_addedRoutes.erase(m_addedRoutes.begin());
        m_draft.services.erase(dropped);
        return {dropped, lastingKey};
    }
    m_addedRoutes.push_back("added-" + std::to_string(m_names++));
    m_draft.services[m_addedRoutes.back()] = anyService();
    return {m_addedRoutes.back(), lastingKey};
}

request_subject document_edits::createOrWithdrawKey()
{
    const std::string route = "moved-" + std::to_string(draw(movedRoutes));
    if (m_addedKeys.size() >= keptAdditions || (!m_addedKeys.empty() && draw(2) == 0)) {
        const std::string withdrawn = m_addedKeys.front();
        m_addedKeys.erase(m_addedKeys.begin());
        m_draft.keys.erase(withdrawn);
        return {route, withdrawn};
    }
    m_addedKeys.push_back("key-" + std::to_string(m_names++));
    m_draft.keys.insert(m_addedKeys.back());
    return {route, m_addedKeys.back()};
}

/// The next document has the keys again.
request_subject document_edits::withdrawAllKeys()
{
    m_withdrawnKeys.swap(m_draft.keys);
    return {"moved-" + std::to_string(m_oddRandom() % movedRoutes), lastingKey};
}

/// Versions grow in uneven steps.
std::uint64_t document_edits::record(const request_subject &changed)
{
    m_draft.version += 1 + draw(3);
    m_draft.sentAt = test_clock::now();
    const std::lock_guard lock(m_mutex);
    m_documents.push_back(m_draft);
    m_recent.push_back({m_draft.sentAt, changed});
    return m_draft.version;
}

std::string document_edits::bodyOf(std::uint64_t version) const
{
    json services = json::array();
    for (const std::string &name : m_services)
        services.push_back(serviceRow(name));
    json routes = json::array();
    for (const auto &[name, service] : m_draft.services)
        routes.push_back(routeRow(name, service));
    const json tenant{{"name", "albany"}, {"api_keys", m_draft.keys}, {"priority", 1}};
    const json tenants = m_draft.keys.empty() ? json::array() : json::array({tenant});
    return json{{"version", version},
                {"routes", routes},
                {"services", services},
                {"limits",
                 {{"max_header_bytes", 16'384},
                  {"max_body_bytes", 4'194'304},
                  {"header_timeout_ms", 3'000},
                  {"idle_timeout_ms", 15'000}}},
                {"tenants", tenants}}
            .dump();
}

/// An unanswered document goes to the next node. Whoever is frozen gets it all the same.
void document_edits::send(std::uint64_t version, const std::string &body, unsigned firstNode)
{
    const test_time until = test_clock::now() + resendLimit;
    for (std::size_t node = firstNode; test_clock::now() < until; ++node) {
        fakes::http_call call;
        call.address = m_system.operatorAddress(node % zone_cluster::controlNodes);
        call.method = "PUT";
        call.path = "/config";
        call.headers = {{"Content-Type", "application/json"}};
        call.body = body;
        call.timeoutMs = answerLimitMs;
        const fakes::http_answer answer = fakes::callHttp(call);
        if (answer.status == 200 && answer.complete)
            return acknowledged(version, test_clock::now());
        if (answer.status >= 400 && answer.status < 500) {
            const std::lock_guard lock(m_mutex);
            m_refusals.push_back(std::to_string(version) + ": " + answer.body);
        }
        std::this_thread::sleep_for(resendPause);
    }
}

void document_edits::sendInvalid(const std::string &body, unsigned node)
{
    const std::vector<invalid_document> all = invalidOnes(body);
    const invalid_document &one = all[m_oddRandom() % all.size()];
    fakes::http_call call;
    call.address = m_system.operatorAddress(node % zone_cluster::controlNodes);
    call.method = "PUT";
    call.path = "/config";
    call.body = one.body;
    call.timeoutMs = answerLimitMs;
    const int status = fakes::callHttp(call).status;
    if (status >= 400 && status < 500)
        ++m_refusedInvalid;
    const std::lock_guard lock(m_mutex);
    if (status == 200)
        m_acceptedInvalid.push_back(one.name);
}

void document_edits::acknowledged(std::uint64_t version, test_time at)
{
    const std::lock_guard lock(m_mutex);
    for (sent_document &document : m_documents) {
        if (document.version == version && !document.acknowledgedAt)
            document.acknowledgedAt = at;
    }
}

/// Requires m_mutex to be held.
std::size_t document_edits::changesBefore(test_time at) const
{
    const auto end = std::ranges::lower_bound(m_recent, at, {}, &recent_change::at);
    return static_cast<std::size_t>(end - m_recent.begin());
}

request_subject document_edits::subject(std::minstd_rand &random) const
{
    constexpr unsigned inTen = 10;
    constexpr unsigned ofTheRecent = 8;
    const std::lock_guard lock(m_mutex);
    const test_time now = test_clock::now();
    const std::size_t first = changesBefore(now - recentMost);
    const std::size_t count = changesBefore(now - recentLeast) - first;
    if (count > 0 && random() % inTen < ofTheRecent)
        return m_recent[first + random() % count].subject;
    return {"moved-" + std::to_string(random() % movedRoutes), lastingKey};
}

std::vector<sent_document> document_edits::documents() const
{
    const std::lock_guard lock(m_mutex);
    return m_documents;
}

std::vector<std::string> document_edits::refusals() const
{
    const std::lock_guard lock(m_mutex);
    return m_refusals;
}

std::vector<std::string> document_edits::acceptedInvalid() const
{
    const std::lock_guard lock(m_mutex);
    return m_acceptedInvalid;
}

} // namespace yuccascale::processes
