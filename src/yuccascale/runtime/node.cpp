#include "yuccascale/runtime/node.hpp"

#include "yuccascale/http/caller_pools.hpp"
#include "yuccascale/http/caller_quotas.hpp"
#include "yuccascale/http/caller_server.hpp"
#include "yuccascale/http/document_interface.hpp"
#include "yuccascale/http/events.hpp"
#include "yuccascale/http/operator_routes.hpp"
#include "yuccascale/kernel/requests/drain_plan.hpp"
#include "yuccascale/kernel/requests/events.hpp"
#include "yuccascale/net/http_server.hpp"
#include "yuccascale/runtime/capacity_report.hpp"
#include "yuccascale/runtime/cluster_client.hpp"
#include "yuccascale/runtime/control_service.hpp"
#include "yuccascale/runtime/decision_memory.hpp"
#include "yuccascale/runtime/demand_reporter.hpp"
#include "yuccascale/runtime/duties.hpp"
#include "yuccascale/runtime/entry_liveness.hpp"
#include "yuccascale/runtime/event_log.hpp"
#include "yuccascale/runtime/events.hpp"
#include "yuccascale/runtime/load_exchange.hpp"
#include "yuccascale/runtime/node_status.hpp"
#include "yuccascale/runtime/process_memory.hpp"
#include "yuccascale/runtime/system_clock.hpp"
#include "yuccascale/wire/tcp_transport.hpp"

#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace yuccascale::runtime {

using namespace kernel;

namespace {

constexpr milliseconds drainPollInterval{50};
/// A parsed document takes several times the memory of its text.
constexpr std::size_t copiesOfDocument = 8;
/// For the last refusals, and for callers and operators to close their ends.
constexpr milliseconds closingTimeout{200};
/// Between checks whether all connections are closed.
constexpr milliseconds closingPollInterval{5};
/// How long another entry may take to tell what it knows of a stream.
constexpr milliseconds streamAnswerTimeout{150};
/// Threads for calls that wait: polls, commits, questions to other nodes and calls to the platform.
/// With its other threads the process of each of these roles stays below 20.
constexpr std::size_t workerThreadsOfEntry = 9;
constexpr std::size_t workerThreadsOfControl = 7;
/// For messages of channels other than consensus. A control node answers the polls of all nodes
/// with two of three.
constexpr std::size_t handlerThreads = 2;
constexpr std::size_t handlerThreadsOfControl = 3;

[[nodiscard]] std::size_t workerThreads(const node_roles &roles)
{
    return roles.control ? workerThreadsOfControl : workerThreadsOfEntry;
}

/// \returns the number of loops that serve callers and operators. A node with both roles has more
/// of the other threads.
[[nodiscard]] std::size_t loopCount(const settings &settings)
{
    if (!settings.roles.entry)
        return 1;
    if (settings.http.loops > 0)
        return static_cast<std::size_t>(settings.http.loops);
    return settings.roles.control ? 1 : 2;
}

[[nodiscard]] std::string_view channelName(channel channel)
{
    switch (channel) {
    case channel::Consensus:
        return "consensus";
    case channel::Submit:
        return "submit";
    case channel::Feed:
        return "feed";
    case channel::Load:
        return "load";
    case channel::Demand:
        return "demand";
    case channel::Streams:
        return "streams";
    }
    return "unknown";
}

/// \returns the text of the links' metrics.
[[nodiscard]] std::string linkMetrics(const wire::transport_counters &links)
{
    const auto line = [](std::string_view name, std::string_view type, std::uint64_t value) {
        const std::string metric = "yuccascale_" + std::string(name);
        return "# TYPE " + metric + " " + std::string(type) + "\n" + metric + " "
                + std::to_string(value) + "\n";
    };
    return line("links_open", "gauge", links.linksOpen)
            + line("link_frames_dropped_total", "counter", links.framesDropped)
            + line("link_frames_lost_total", "counter", links.framesLost);
}

[[nodiscard]] result<wire::transport_settings> transportSettings(const settings &settings,
                                                                 const std::string &secret)
{
    wire::transport_settings out;
    out.self = settings.linkAddress;
    out.secret = secret;
    BOOST_LEAF_ASSIGN(out.listen, wire::parseAddress(settings.linkAddress));
    for (const auto &[node, address] : settings.linkRoutes) {
        BOOST_LEAF_ASSIGN(out.peers[node], wire::parseAddress(address));
    }
    return out;
}

replicated_log_settings replicatedLogSettings(const settings &settings)
{
    replicated_log_settings out;
    out.self = settings.linkAddress;
    out.dataFolder = settings.dataFolder;
    out.control = settings.control;
    out.voters = settings.seeds;
    out.firstStart = settings.firstStart;
    return out;
}

[[nodiscard]] result<std::string> optionalSecret(const std::string &file)
{
    if (file.empty())
        return std::string();
    return readSecret(file);
}

} // namespace

struct node::parts
{
    explicit parts(runtime::settings nodeSettings)
        : settings(std::move(nodeSettings))
        , log(settings.log, settings.node)
        , events(clock, log)
        , incarnation(static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()))
        , memory(std::make_shared<net::memory_budget>(
                  memoryBudgetOf(settings, availableMemory("/"))))
        , loops(loopCount(settings), [this](const std::string &problem) {
            events.record(unexpectedException, {{"problem", problem}});
        })
    { }

    [[nodiscard]] result<void> build();
    void buildControl();
    void buildOperators();
    [[nodiscard]] result<void> buildDocument();
    void buildCallerServer();
    void buildArchive();
    [[nodiscard]] http::entry_exchange entryExchange();
    void buildLoadExchange();
    void buildDemandReporter();
    [[nodiscard]] result<void> buildDuties();
    [[nodiscard]] std::vector<orders::pool_status> poolStates() const;
    [[nodiscard]] policy::measured_work workOf(const std::string &pool) const;
    [[nodiscard]] std::vector<std::string> otherEntries() const;
    [[nodiscard]] std::vector<std::string> streamArchives() const;
    [[nodiscard]] std::string leaderDocumentAddress() const;
    void recordShortages();
    [[nodiscard]] result<void> listen(const std::string &address, net::http_handler handler);
    void serveMetrics(const std::shared_ptr<net::http_exchange> &exchange);
    [[nodiscard]] std::string metricsText();
    [[nodiscard]] result<void> startAll();
    [[nodiscard]] bool drained(const requests::drain_plan &plan) const;
    void beginShutdown();
    void awaitSignal(const std::function<void()> &reload);
    void closeToCallers(const requests::drain_plan &plan);
    [[nodiscard]] bool hasConnections() const;
    void stopAll(const requests::drain_plan &plan);
    [[nodiscard]] node_snapshot snapshot() const;

    runtime::settings settings;
    system_clock clock;
    event_log log;
    recent_events events;
    std::atomic<bool> callersStarted{false}; ///< messages of other entries may be handled
    std::uint64_t incarnation;               ///< of this process; increases with each restart
    std::string secret;
    std::string operatorKey;
    const std::shared_ptr<worker_threads> workers
            = std::make_shared<worker_threads>(workerThreads(settings.roles));
    const std::shared_ptr<periodic_thread> periodic = std::make_shared<periodic_thread>();
    std::unique_ptr<wire::tcp_transport> transport;
    std::unique_ptr<control_service> control;
    std::unique_ptr<replicated_log> replica;
    std::unique_ptr<feed_service> feed;
    std::unique_ptr<cluster_client> client;
    std::shared_ptr<net::memory_budget> memory; ///< of all connections of callers and operators
    net::event_loops loops;
    boost::asio::signal_set signals{loops.at(0)};
    std::vector<std::unique_ptr<net::http_server>> servers; ///< other than the callers' server
    std::unique_ptr<http::operator_interface> operators;
    std::unique_ptr<http::document_interface> document; ///< null when no address is set for it
    std::unique_ptr<http::caller_server> callers;       ///< null without the entry role
    std::unique_ptr<load_exchange> load;                ///< null without the entry role
    std::unique_ptr<demand_reporter> demand;
    std::unique_ptr<leader_duties> leaderDuties;    ///< null without the control role
    std::unique_ptr<http::stream_registry> archive; ///< null with the entry role

    std::mutex mutex;
    std::condition_variable changed;
    std::optional<instant> leavingSince; ///< when this node was told to shut down
};

result<void> node::parts::build()
{
    BOOST_LEAF_ASSIGN(secret, optionalSecret(settings.secretFile));
    BOOST_LEAF_ASSIGN(operatorKey, optionalSecret(settings.operatorKeyFile));
    recordShortages();
    BOOST_LEAF_AUTO(links, transportSettings(settings, secret));
    links.onFramesDropped = [this](const wire::drop_report &report) {
        events.record(linkFramesDropped,
                      {{"peer", report.peer},
                       {"channel", channelName(report.channel)},
                       {"frames", report.frames}});
    };
    const bool controlOnly = settings.roles.control && !settings.roles.entry;
    links.handlerThreads = controlOnly ? handlerThreadsOfControl : handlerThreads;
    links.onException = [this](const std::string &problem) {
        events.record(unexpectedException, {{"problem", problem}});
    };
    transport = std::make_unique<wire::tcp_transport>(std::move(links));
    if (settings.roles.control)
        buildControl();
    feed = std::make_unique<feed_service>(settings, clock, *transport, events, incarnation,
                                          control.get(), workers);
    client = std::make_unique<cluster_client>(settings, clock, *transport, *feed, control.get());
    buildOperators();
    BOOST_LEAF_CHECK(buildDocument());
    if (settings.roles.entry) {
        buildCallerServer();
        buildLoadExchange();
    } else {
        buildArchive();
    }
    buildDemandReporter();
    return control ? buildDuties() : result<void>();
}

void node::parts::recordShortages()
{
    memory->setListener([this](const net::memory_shortage &shortage) {
        events.record(http::memoryShort,
                      {{"held_bytes", shortage.held},
                       {"limit_bytes", shortage.limit},
                       {"refused", shortage.refused},
                       {"closed", shortage.closed}});
    });
}

void node::parts::buildControl()
{
    control = std::make_unique<control_service>([this] {
        if (feed)
            feed->pollSoon();
    });
    replica = std::make_unique<replicated_log>(replicatedLogSettings(settings), *transport, clock,
                                               events, *control);
    control->attach(*replica);
}

void node::parts::buildOperators()
{
    operators = std::make_unique<http::operator_interface>(http::operator_services{
            clock, events, *client, operatorKey, [this] { return nodeStatus(snapshot()); },
            [this](std::string_view id) { return explainId(events, control.get(), id); },
            [this] { beginShutdown(); }, workers});
}

result<void> node::parts::buildDocument()
{
    if (!control || settings.http.operators.empty())
        return {};
    BOOST_LEAF_AUTO(protocol, http::operator_protocol_registry::make(settings.http.protocol));
    http::document_services services{
            clock,
            events,
            [this](const state::command &command, instant deadline) {
                return client->commit(command, deadline);
            },
            [this](std::uint64_t revision, std::uint64_t version, instant deadline,
                   std::function<void(bool)> answer) {
                feed->answerWhenSettled(revision, version, deadline, std::move(answer));
            },
            [this](instant deadline) { return control->confirmedDocument(deadline); },
            [this] { return leaderDocumentAddress(); },
            [this] {
                return control->read([](const state::machine &machine) {
                    const auto tables = machine.tables();
                    return http::stored_document{tables->revision, tables->documentVersion,
                                                 machine.document()};
                });
            },
            workers};
    document = std::make_unique<http::document_interface>(std::move(services), std::move(protocol));
    return {};
}

/// Empty when this node is the leader, or when the leader or its document address is unknown.
std::string node::parts::leaderDocumentAddress() const
{
    const std::string leader = control->leader();
    if (leader.empty() || leader == settings.linkAddress)
        return {};
    for (const feed::node_report &node : feed->nodes()) {
        if (node.link == leader)
            return node.operators;
    }
    return {};
}

void node::parts::buildCallerServer()
{
    callers = std::make_unique<http::caller_server>(http::caller_server_dependencies{
            settings, clock, events, *client, loops, secret, incarnation,
            [this] { return feed->nodes(); }, [this] { return feed->agreedTime(); },
            [this](const std::shared_ptr<net::http_exchange> &exchange) {
                return settings.http.protocol == "own" && operators->tryServe(exchange);
            },
            entryExchange(), [this](bool lost) { feed->setEndpointsLost(lost); },
            [this] { feed->pollSoon(); }, workers,
            [this] { return linkMetrics(transport->counters()); }, memory});
    transport->handle(channel::Streams, [this](std::string_view, std::string_view message) {
        return callersStarted ? callers->streams().handle(message) : std::string();
    });
    feed->setListener([this] { callers->scheduleFeedUpdate(); });
}

void node::parts::buildArchive()
{
    archive = http::stream_registry::archive(clock);
    transport->handle(channel::Streams, [this](std::string_view, std::string_view message) {
        return archive->handle(message);
    });
}

http::entry_exchange node::parts::entryExchange()
{
    http::entry_exchange exchange;
    exchange.others = [this] { return otherEntries(); };
    exchange.archives = [this] { return streamArchives(); };
    exchange.post = [this](const std::string &link, std::string message) {
        transport->post(link, channel::Streams, std::move(message));
    };
    exchange.call = [this](const std::string &link, std::string message) {
        std::optional<std::string> answer;
        error ignored;
        // an entry that does not answer may just have been lost; the next one is asked
        static_cast<void>(succeeded(
                [&]() -> result<void> {
                    BOOST_LEAF_ASSIGN(answer,
                                      transport->call(link, channel::Streams, std::move(message),
                                                      streamAnswerTimeout));
                    return {};
                },
                ignored));
        return answer;
    };
    return exchange;
}

void node::parts::serveMetrics(const std::shared_ptr<net::http_exchange> &exchange)
{
    exchange->reply({200, {{"Content-Type", "text/plain; version=0.0.4"}}, metricsText()});
}

std::string node::parts::metricsText()
{
    std::string text = callers ? callers->metricsText() : linkMetrics(transport->counters());
    if (leaderDuties)
        text += capacityMetrics(leaderDuties->capacity());
    return text;
}

std::vector<std::string> node::parts::otherEntries() const
{
    std::vector<std::string> links;
    for (const feed::node_report &node : feed->nodes()) {
        if (!node.callers.empty() && node.link != settings.linkAddress)
            links.push_back(node.link);
    }
    return links;
}

/// Nodes with both roles are among the entries.
std::vector<std::string> node::parts::streamArchives() const
{
    std::vector<std::string> links;
    for (const feed::node_report &node : feed->nodes()) {
        if (node.control && node.callers.empty())
            links.push_back(node.link);
    }
    return links;
}

void node::parts::buildLoadExchange()
{
    load_hooks hooks{
            [this](std::size_t maxPerPool) { return callers->pools().takeCharges(maxPerPool); },
            [this](std::string_view peer, const wire::load_message &message) {
                callers->quotas().heard(peer, message.quotas);
                const auto tables = client->view().tables;
                if (tables)
                    callers->pools().applyCharges(message.charges, *tables);
                for (const auto &endpoint : callers->pools().applyEndpointUpdates(message.updates))
                    events.record(requests::endpointSuspected, {{"endpoint", endpoint}});
            },
            [this] { return otherEntries(); },
            [this] { return callers->quotas().takeReports(); },
            [this] { return callers->pools().takeRates(); },
            [this] { return clock.now(); }};
    load = std::make_unique<load_exchange>(*transport, std::move(hooks), periodic);
}

void node::parts::buildDemandReporter()
{
    demand = std::make_unique<demand_reporter>(
            settings, clock, *transport, *client,
            [this] {
                return callers ? callers->pools().takeDemand()
                               : std::vector<requests::demand_report>();
            },
            periodic);
}

result<void> node::parts::buildDuties()
{
    BOOST_LEAF_AUTO(drivers, makeDutyDrivers(settings));
    const auto state = [this] {
        return control->read([](const state::machine &machine) { return machine.leaderView(); });
    };
    const auto dead = [this](instant now) {
        const auto authority = replica->current(now);
        if (!authority)
            return std::vector<std::string>();
        const auto entries = control->read(
                [](const state::machine &machine) { return machine.leaderView().liveEntries; });
        return deadEntries(entries, feed->nodeReports(), now - authority->leaseStart);
    };
    const auto pools = [this](instant) { return poolStates(); };
    leaderDuties = std::make_unique<leader_duties>(
            duty_context{settings, *replica, *client, state, pools, dead, events, clock,
                         [this](kernel::feed::endpoint_reading reading) {
                             feed->setEndpoints(std::move(reading));
                         },
                         [this] { return feed->agreedTime(); },
                         [this] { return feed->view().endpointsAskedAt; }, workers, periodic,
                         [this](const std::string &pool) { return workOf(pool); }},
            std::move(drivers));
    return {};
}

policy::measured_work node::parts::workOf(const std::string &pool) const
{
    const auto nodes = feed->nodes();
    const auto entries = std::ranges::count_if(
            nodes, [](const feed::node_report &node) { return !node.callers.empty(); });
    return demand->workOn(pool, static_cast<int>(entries));
}

std::vector<orders::pool_status> node::parts::poolStates() const
{
    std::vector<orders::pool_status> out;
    const auto tables = client->view().tables;
    if (!tables)
        return out;
    for (const auto &[name, row] : tables->pools) {
        orders::pool_status state;
        state.pool = name;
        state.demand = demand->demandOn(name);
        if (callers) {
            for (const auto &[endpoint, load] : callers->pools().loads(name))
                state.engines[endpoint] = {load.role, load.running, load.leaving};
        }
        out.push_back(std::move(state));
    }
    return out;
}

node_snapshot node::parts::snapshot() const
{
    node_snapshot out;
    out.settings = &settings;
    out.now = clock.now();
    out.view = client->view();
    out.nodes = feed->nodeReports();
    out.knownNodes = feed->nodes();
    if (replica) {
        out.replica = replica->status();
        out.authority = replica->current(out.now);
    }
    out.links = &transport->counters();
    return out;
}

result<void> node::parts::listen(const std::string &address, net::http_handler handler)
{
    if (address.empty())
        return {};
    net::http_limits limits;
    limits.copiesOfBody = copiesOfDocument;
    auto server = std::make_unique<net::http_server>(loops, limits, std::move(handler), memory);
    BOOST_LEAF_CHECK(server->listen(address));
    servers.push_back(std::move(server));
    return {};
}

result<void> node::parts::startAll()
{
    BOOST_LEAF_CHECK(transport->start());
    if (replica)
        BOOST_LEAF_CHECK(replica->start());
    using exchange_pointer = std::shared_ptr<net::http_exchange>;
    if (document) {
        BOOST_LEAF_CHECK(listen(settings.http.operators, [this](const exchange_pointer &exchange) {
            document->serve(exchange);
        }));
    }
    BOOST_LEAF_CHECK(listen(settings.http.metrics,
                            [this](const exchange_pointer &exchange) { serveMetrics(exchange); }));
    if (callers) {
        BOOST_LEAF_CHECK(callers->start());
        callersStarted = true;
        callers->pools().setEndpointUpdateListener(
                [this](requests::endpoint_updates updates) { load->sendSoon(std::move(updates)); });
        callers->quotas().setSurgeListener([this] { load->sendSoon(); });
    }
    loops.start();
    feed->start();
    if (load)
        load->start();
    demand->start();
    if (leaderDuties)
        leaderDuties->start();
    events.record(nodeStarted,
                  {{"callers", settings.callerAddress},
                   {"link", settings.linkAddress},
                   {"zone", settings.zone},
                   {"incarnation", incarnation},
                   {"control", settings.roles.control ? "yes" : "no"}});
    return {};
}

/// Whether nothing is owed to callers and operators, or the time to answer them is up.
bool node::parts::drained(const requests::drain_plan &plan) const
{
    const bool owed = std::ranges::any_of(
            servers, [](const auto &server) { return server->answering() > 0; });
    return (!owed && (!callers || callers->drained())) || clock.now() >= plan.end();
}

bool node::parts::hasConnections() const
{
    const bool open = std::ranges::any_of(
            servers, [](const auto &server) { return server->connections() > 0; });
    return open || (callers && callers->connections() > 0);
}

/// The time limit counts from the first call.
void node::parts::beginShutdown()
{
    const instant now = clock.now();
    const std::lock_guard lock(mutex);
    leavingSince = leavingSince.value_or(now);
    changed.notify_all();
}

/// Reading the settings holds the loop up for a moment only.
void node::parts::awaitSignal(const std::function<void()> &reload)
{
    signals.async_wait([this, reload](const boost::system::error_code &problem, int number) {
        if (problem)
            return;
        awaitSignal(reload);
        if (number == SIGHUP)
            reload();
        else
            beginShutdown();
    });
}

/// Ends what callers and operators see first, while all that it needs still runs.
void node::parts::closeToCallers(const requests::drain_plan &plan)
{
    if (callers)
        callers->closeToCallers();
    for (const auto &server : servers)
        server->closeListeners();
    const instant end = clock.now() + std::min<nanoseconds>(closingTimeout, plan.closingTime());
    // a request may have been taken just before
    while ((hasConnections() && clock.now() < end) || !drained(plan))
        std::this_thread::sleep_for(closingPollInterval);
    if (callers)
        callers->stop();
}

void node::parts::stopAll(const requests::drain_plan &plan)
{
    closeToCallers(plan);
    if (leaderDuties)
        leaderDuties->stop();
    demand->stop();
    if (load)
        load->stop();
    feed->stop();
    loops.stop();
    operators.reset();
    document.reset();
    if (replica)
        replica->stop();
    transport->stop();
    events.record(nodeStopped, {});
}

node::node(settings settings)
    : m_parts(std::make_unique<parts>(std::move(settings)))
{ }

node::~node() = default;

result<void> node::start()
{
    BOOST_LEAF_CHECK(m_parts->build());
    return m_parts->startAll();
}

void node::reload()
{
    kernel::error problem;
    runtime::settings reloaded;
    const bool readable = succeeded(
            [&]() -> result<void> {
                BOOST_LEAF_ASSIGN(reloaded, readSettings(m_parts->settings.file));
                return {};
            },
            problem);
    m_parts->events.record(settingsReloaded,
                           {{"file", m_parts->settings.file},
                            {"outcome", readable ? "taken over" : "refused"},
                            {"problem", problem.message}});
    if (readable)
        m_parts->feed->setSeeds(reloaded.seeds);
}

void node::handleSignals()
{
    for (const int number : {SIGTERM, SIGINT, SIGHUP})
        m_parts->signals.add(number);
    m_parts->awaitSignal([this] { reload(); });
}

void node::beginShutdown()
{
    m_parts->beginShutdown();
}

void node::waitUntilDrained()
{
    std::unique_lock lock(m_parts->mutex);
    m_parts->changed.wait(lock, [&] { return m_parts->leavingSince.has_value(); });
    const instant since = *m_parts->leavingSince;
    m_parts->events.record(nodeLeaving, {});
    m_parts->feed->setLeaving();
    const requests::drain_plan plan(since, m_parts->settings.promises.shutdown);
    if (m_parts->callers)
        m_parts->callers->beginShutdown(since);
    if (m_parts->document)
        m_parts->document->answerBefore(plan.end());
    m_parts->feed->answerEditsBefore(plan.end());
    for (const auto &server : m_parts->servers)
        server->closeAfterAnswers();
    while (!m_parts->drained(plan))
        m_parts->changed.wait_for(lock, drainPollInterval);
    lock.unlock();
    m_parts->stopAll(plan);
}

} // namespace yuccascale::runtime
