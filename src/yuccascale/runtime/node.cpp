#include "yuccascale/runtime/node.hpp"

#include "yuccascale/http/caller_pools.hpp"
#include "yuccascale/http/caller_server.hpp"
#include "yuccascale/http/operator_routes.hpp"
#include "yuccascale/runtime/charge_exchange.hpp"
#include "yuccascale/runtime/cluster_client.hpp"
#include "yuccascale/runtime/control_service.hpp"
#include "yuccascale/runtime/decision_memory.hpp"
#include "yuccascale/runtime/demand_reporter.hpp"
#include "yuccascale/runtime/duties.hpp"
#include "yuccascale/runtime/entry_liveness.hpp"
#include "yuccascale/runtime/event_log.hpp"
#include "yuccascale/runtime/events.hpp"
#include "yuccascale/runtime/node_status.hpp"
#include "yuccascale/runtime/system_clock.hpp"
#include "yuccascale/wire/tcp_transport.hpp"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <utility>

namespace yuccascale::runtime {

using namespace kernel;

namespace {

constexpr milliseconds drainPoll{50};

wire::transport_settings transportSettings(const settings &settings, const std::string &secret)
{
    wire::transport_settings out;
    out.self = settings.node;
    out.secret = secret;
    for (const node_settings &node : settings.nodes) {
        // the addresses were checked when the settings were read
        error ignored;
        wire::socket_address address;
        (void)succeeded(
                [&]() -> result<void> {
                    BOOST_LEAF_ASSIGN(address, wire::parseAddress(node.linkAddress));
                    return {};
                },
                ignored);
        if (node.name == settings.node)
            out.listen = address;
        else
            out.peers[node.name] = address;
    }
    return out;
}

replicated_log_settings logSettings(const settings &settings)
{
    replicated_log_settings out;
    out.self = settings.node;
    out.dataFolder = settings.dataFolder;
    out.control = settings.control;
    for (const node_settings &node : settings.nodes) {
        if (node.roles.control)
            out.voters.push_back(node.name);
    }
    return out;
}

} // namespace

struct node::parts
{
    explicit parts(runtime::settings nodeSettings)
        : settings(std::move(nodeSettings))
        , log(settings.log, settings.node)
        , events(clock, log)
        , incarnation(static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()))
    { }

    [[nodiscard]] result<void> build();
    void buildControl();
    void buildCallerServer();
    void buildChargeExchange();
    void buildDemandReporter();
    [[nodiscard]] result<void> buildDuties();
    [[nodiscard]] std::vector<orders::pool_facts> poolFacts() const;
    [[nodiscard]] result<void> startAll();
    void stopAll();
    [[nodiscard]] bool offered(const node_settings &other) const;
    [[nodiscard]] node_facts facts() const;

    runtime::settings settings;
    system_clock clock;
    event_log log;
    decision_memory events;
    std::uint64_t incarnation; ///< of this process; rises with each restart
    std::string secret;
    std::string operatorKey;
    std::unique_ptr<wire::tcp_transport> transport;
    std::unique_ptr<control_service> control;
    std::unique_ptr<replicated_log> replica;
    std::unique_ptr<feed_service> feed;
    std::unique_ptr<cluster_client> client;
    std::unique_ptr<http::caller_server> callers;
    std::unique_ptr<charge_exchange> charges;
    std::unique_ptr<demand_reporter> demand;
    std::unique_ptr<duties> leaderDuties; ///< null without the control role

    std::mutex mutex;
    std::condition_variable changed;
    bool leaving = false;
};

result<void> node::parts::build()
{
    BOOST_LEAF_ASSIGN(secret, readSecret(settings.secretFile));
    BOOST_LEAF_ASSIGN(operatorKey, readSecret(settings.operatorKeyFile));
    transport = std::make_unique<wire::tcp_transport>(transportSettings(settings, secret));
    if (settings.self().roles.control)
        buildControl();
    feed = std::make_unique<feed_service>(settings, clock, *transport, events, incarnation,
                                          control.get());
    client = std::make_unique<cluster_client>(settings, clock, *transport, *feed, control.get());
    buildCallerServer();
    buildChargeExchange();
    buildDemandReporter();
    return control ? buildDuties() : result<void>();
}

void node::parts::buildControl()
{
    control = std::make_unique<control_service>([this] {
        if (feed)
            feed->wake();
    });
    replica = std::make_unique<replicated_log>(logSettings(settings), *transport, clock, events,
                                               *control);
    control->attach(*replica);
}

void node::parts::buildCallerServer()
{
    callers = std::make_unique<http::caller_server>(http::caller_server_parts{
            settings, clock, events, *client, secret, incarnation,
            [this](const node_settings &other) { return offered(other); }});
    http::operator_services services{
            clock,
            events,
            *client,
            operatorKey,
            [this] { return nodeStatus(facts()); },
            [this](std::string_view id) { return explainId(events, control.get(), id); },
            [this] {
                const std::lock_guard lock(mutex);
                leaving = true;
                changed.notify_all();
            }};
    http::addOperatorRoutes(callers->server(), services);
}

void node::parts::buildChargeExchange()
{
    using pool_charges = std::span<const requests::pool_charge>;
    charge_hooks hooks{[this](std::size_t most) { return callers->pools().takeCharges(most); },
                       [this](pool_charges charges) {
                           const auto tables = client->view().tables;
                           if (tables)
                               callers->pools().chargedElsewhere(charges, *tables);
                       }};
    charges = std::make_unique<charge_exchange>(settings, *transport, std::move(hooks));
}

void node::parts::buildDemandReporter()
{
    demand = std::make_unique<demand_reporter>(settings, clock, *transport, *client,
                                               [this] { return callers->pools().takeDemand(); });
}

result<void> node::parts::buildDuties()
{
    BOOST_LEAF_AUTO(drivers, makeDutyDrivers(settings));
    const auto state = [this] {
        return control->read([](const state::machine &machine) { return machine.leaderView(); });
    };
    const auto gone = [this](instant now) {
        const auto authority = replica->current(now);
        if (!authority)
            return std::vector<std::string>();
        const auto entries = control->read(
                [](const state::machine &machine) { return machine.leaderView().liveEntries; });
        return goneEntries(entries, feed->nodeReports(), now - authority->since);
    };
    const auto facts = [this](instant) { return poolFacts(); };
    leaderDuties = std::make_unique<duties>(
            duty_surroundings{settings, *replica, *client, state, facts, gone, events, clock},
            std::move(drivers));
    return {};
}

std::vector<orders::pool_facts> node::parts::poolFacts() const
{
    std::vector<orders::pool_facts> out;
    const auto tables = client->view().tables;
    if (!tables)
        return out;
    for (const auto &[name, row] : tables->pools) {
        orders::pool_facts facts;
        facts.pool = name;
        facts.demand = demand->demandOn(name);
        for (const auto &[endpoint, load] : callers->pools().loads(name))
            facts.engines[endpoint] = {load.role, load.running, load.leaving};
        out.push_back(std::move(facts));
    }
    return out;
}

bool node::parts::offered(const node_settings &other) const
{
    const std::vector<std::string> unavailable = feed->unavailable();
    return std::ranges::find(unavailable, other.name) == unavailable.end();
}

node_facts node::parts::facts() const
{
    node_facts out;
    out.settings = &settings;
    out.now = clock.now();
    out.view = client->view();
    out.nodes = feed->nodeReports();
    if (replica) {
        out.replica = replica->status();
        out.authority = replica->current(out.now);
    }
    out.links = &transport->counters();
    return out;
}

result<void> node::parts::startAll()
{
    BOOST_LEAF_CHECK(transport->start());
    if (replica)
        BOOST_LEAF_CHECK(replica->start());
    feed->start();
    BOOST_LEAF_CHECK(callers->start());
    charges->start();
    demand->start();
    if (leaderDuties)
        leaderDuties->start();
    events.record(nodeStarted,
                  {{"callers", settings.self().callerAddress},
                   {"link", settings.self().linkAddress},
                   {"zone", settings.self().zone},
                   {"control", settings.self().roles.control ? "yes" : "no"}});
    return {};
}

void node::parts::stopAll()
{
    if (leaderDuties)
        leaderDuties->stop();
    demand->stop();
    charges->stop();
    callers->stop();
    feed->stop();
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

void node::beginShutdown()
{
    const std::lock_guard lock(m_parts->mutex);
    m_parts->leaving = true;
    m_parts->changed.notify_all();
}

void node::waitUntilDrained()
{
    std::unique_lock lock(m_parts->mutex);
    m_parts->changed.wait(lock, [&] { return m_parts->leaving; });
    m_parts->events.record(nodeLeaving, {});
    m_parts->feed->setLeaving();
    m_parts->callers->beginShutdown();
    while (!m_parts->callers->drained())
        m_parts->changed.wait_for(lock, drainPoll);
    lock.unlock();
    m_parts->stopAll();
}

} // namespace yuccascale::runtime
