#include "fakes/partitioned_entries.hpp"

#include "fakes/free_port.hpp"

#include <httplib.h>

#include <atomic>
#include <numeric>
#include <thread>

namespace yuccascale::fakes {

namespace {

constexpr std::int64_t routeDeadlineMs = 5'000;
constexpr std::size_t zoneCount = 2;

[[nodiscard]] std::string zoneOf(std::size_t index)
{
    return std::string("z") + std::to_string(index % zoneCount);
}

[[nodiscard]] kernel::state::route routeFor(const std::string &name, const std::string &prefix,
                                            bool idempotent)
{
    kernel::state::route route{name, "ledger", kernel::state::backend_kind::Service,
                               kernel::state::route_access::Open};
    route.idempotent = idempotent;
    route.claimed = false;
    route.maxAttempts = idempotent ? 2 : 1;
    route.deadlineMs = routeDeadlineMs;
    route.host = "h.example";
    route.pathPrefix = prefix;
    return route;
}

class counting_sink final : public kernel::event_sink
{
public:
    void record(const kernel::event_kind &kind, std::span<const kernel::event_field>) override
    {
        const std::scoped_lock guard(m_mutex);
        ++m_counts[kind.number()];
    }

    [[nodiscard]] std::map<int, int> counts() const
    {
        const std::scoped_lock guard(m_mutex);
        return m_counts;
    }

private:
    mutable std::mutex m_mutex;
    std::map<int, int> m_counts;
};

} // namespace

recording_server::recording_server(answerer answer)
    : m_answer(std::move(answer))
{
    kernel::error problem;
    int port = 0;
    static_cast<void>(kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_ASSIGN(port, m_server.listen("127.0.0.1:0"));
                return {};
            },
            problem));
    m_address = "127.0.0.1:" + std::to_string(port);
    m_loops.start();
}

recording_server::~recording_server()
{
    m_server.stop();
    m_loops.stop();
}

std::vector<net::header_list> recording_server::received() const
{
    const std::scoped_lock guard(m_mutex);
    return m_received;
}

std::map<std::string, int> recording_server::runs() const
{
    std::map<std::string, int> out;
    for (const net::header_list &headers : received())
        ++out[*findHeader(headers, "X-Request-Id")];
    return out;
}

net::header_list recording_server::answerHeaders(net::http_exchange &exchange)
{
    return {{"X-Request-Id", std::string(exchange.request().header("X-Request-Id"))},
            {"X-Server-Seal", "seal"}};
}

void recording_server::serve(const std::shared_ptr<net::http_exchange> &exchange)
{
    {
        const std::scoped_lock guard(m_mutex);
        m_received.push_back(exchange->request().headers);
    }
    if (m_answer)
        return m_answer(exchange);
    exchange->reply({200, answerHeaders(*exchange), "x"});
}

struct partitioned_entries::entry
{
    runtime::settings settings;
    control_log control;
    counting_sink events;
    std::atomic<bool> lost{false}; ///< as it last told the others
    std::vector<std::unique_ptr<endpoint_path>> paths;
    net::event_loops loops{1};
    std::unique_ptr<http::caller_server> server;
};

partitioned_entries::partitioned_entries(std::size_t entryCount,
                                         std::span<recording_server *const> servers)
{
    m_network.start();
    for (std::size_t index = 0; index < entryCount; ++index)
        startEntry(index, servers);
    for (const auto &one : m_entries)
        one->server->scheduleFeedUpdate();
    for (std::size_t index = 0; index < entryCount; ++index) {
        while (ask(index).status != 200) // the first update of the tables is under way
            std::this_thread::yield();
    }
    m_results.clear();
}

partitioned_entries::~partitioned_entries()
{
    for (const auto &one : m_entries) {
        one->server->stop();
        one->loops.stop();
    }
    for (const auto &one : m_entries)
        one->paths.clear();
    m_network.stop();
}

void partitioned_entries::startEntry(std::size_t index, std::span<recording_server *const> servers)
{
    auto created = std::make_unique<entry>();
    kernel::state::pool pool;
    pool.name = "ledger";
    pool.kind = kernel::state::backend_kind::Service;
    for (const recording_server *server : servers) {
        created->paths.push_back(
                std::make_unique<endpoint_path>(m_network.at(0), server->address()));
        kernel::state::endpoint row;
        row.name = "s" + std::to_string(pool.endpoints.size());
        row.zone = zoneOf(pool.endpoints.size());
        row.address = created->paths.back()->address();
        pool.endpoints.push_back(row);
    }
    kernel::state::edit_tables edit;
    edit.putPools = {pool};
    kernel::state::route streams = routeFor("watch", "/stream/", true);
    streams.streamed = true;
    edit.putRoutes
            = {routeFor("read", "/safe/", true), routeFor("write", "/once/", false), streams};
    created->control.edit(edit);
    runtime::settings &settings = created->settings;
    settings.node = "entry-" + std::to_string(index);
    settings.linkAddress = "link-" + std::to_string(index);
    settings.zone = zoneOf(index);
    settings.http.protocol = "platform";
    settings.callerAddress = "127.0.0.1:" + std::to_string(freePort());
    settings.policy.routing = "round_robin";
    settings.policy.admission = "always";
    settings.policy.fairness = "first_come_first_served";
    settings.promises.retryBurst = 1'000;
    created->server = std::make_unique<http::caller_server>(
            http::caller_server_dependencies{settings,
                                             m_clock,
                                             created->events,
                                             created->control,
                                             created->loops,
                                             "0123456789abcdef",
                                             1,
                                             [this] { return nodes(); },
                                             nullptr,
                                             nullptr,
                                             {},
                                             [this, self = created.get()](bool lost) {
                                                 self->lost = lost;
                                                 updateAll();
                                             }});
    static_cast<void>(created->server->start().value());
    created->loops.start();
    const std::scoped_lock guard(m_mutex);
    m_entries.push_back(std::move(created));
}

std::vector<kernel::feed::node_report> partitioned_entries::nodes() const
{
    std::vector<kernel::feed::node_report> out;
    const std::scoped_lock guard(m_mutex);
    for (const auto &one : m_entries) {
        kernel::feed::node_report node;
        node.node = one->settings.node;
        node.link = one->settings.linkAddress;
        node.callers = one->settings.callerAddress;
        node.zone = one->settings.zone;
        node.endpointsLost = one->lost;
        out.push_back(node);
    }
    return out;
}

void partitioned_entries::updateAll() const
{
    const std::scoped_lock guard(m_mutex);
    for (const auto &one : m_entries)
        one->server->scheduleFeedUpdate();
}

void partitioned_entries::setPaths(std::size_t entry, path_state state)
{
    for (const auto &path : m_entries[entry]->paths)
        path->set(state);
}

caller_result partitioned_entries::ask(std::size_t entry, bool idempotent)
{
    return send(entry, idempotent ? "/safe/x" : "/once/x", {});
}

caller_result partitioned_entries::askStream(std::size_t entry)
{
    return send(entry, "/stream/x", {});
}

caller_result partitioned_entries::send(std::size_t entry, const std::string &path,
                                        const std::map<std::string, std::string> &headers)
{
    caller_result result;
    result.id = "r" + std::to_string(++m_lastId);
    const auto address = wire::parseAddress(m_entries[entry]->settings.callerAddress).value();
    httplib::Client caller("127.0.0.1", address.port);
    caller.set_read_timeout(callerDeadline + kernel::seconds(1));
    httplib::Headers all{{"Host", "h.example"},
                         {"X-Request-Id", result.id},
                         {"X-Request-Deadline", std::to_string(callerDeadline.count())}};
    all.insert(headers.begin(), headers.end());
    const auto askedAt = std::chrono::steady_clock::now();
    const auto answer = caller.Post(path, all, "body", "text/plain");
    result.took = std::chrono::duration_cast<kernel::milliseconds>(std::chrono::steady_clock::now()
                                                                   - askedAt);
    result.status = answer ? answer->status : 0;
    result.body = answer ? answer->body : std::string();
    m_results.push_back(result);
    return result;
}

void partitioned_entries::askFor(std::span<const std::size_t> entries, kernel::milliseconds time)
{
    const auto until = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < until) {
        for (const std::size_t entry : entries)
            static_cast<void>(ask(entry));
    }
}

int partitioned_entries::served(std::size_t entry, int count)
{
    int out = 0;
    int failed = 0;
    for (int number = 0; number < 2 * count && failed < count; ++number) {
        const bool answered = ask(entry, number % 2 == 0).status == 200;
        out += answered ? 1 : 0;
        failed += answered ? 0 : 1;
    }
    return out;
}

std::vector<std::string> partitioned_entries::offered(std::size_t entry) const
{
    std::vector<std::string> out;
    for (const http::offered_address &offered : m_entries[entry]->server->addresses())
        out.push_back(offered.address);
    return out;
}

const std::string &partitioned_entries::callerAddress(std::size_t entry) const
{
    return m_entries[entry]->settings.callerAddress;
}

http::caller_server &partitioned_entries::server(std::size_t entry) const
{
    return *m_entries[entry]->server;
}

int partitioned_entries::connections(std::size_t entry) const
{
    return std::accumulate(m_entries[entry]->paths.begin(), m_entries[entry]->paths.end(), 0,
                           [](int sum, const auto &path) { return sum + path->connections(); });
}

std::map<int, int> partitioned_entries::events(std::size_t entry) const
{
    return m_entries[entry]->events.counts();
}

} // namespace yuccascale::fakes
