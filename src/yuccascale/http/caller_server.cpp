#include "yuccascale/http/caller_server.hpp"

#include "yuccascale/http/caller_limits.hpp"
#include "yuccascale/http/caller_metrics.hpp"
#include "yuccascale/http/caller_refusals.hpp"
#include "yuccascale/http/caller_session.hpp"
#include "yuccascale/http/entry_addresses.hpp"
#include "yuccascale/http/held_requests.hpp"
#include "yuccascale/http/load_poller.hpp"
#include "yuccascale/kernel/requests/events.hpp"
#include "yuccascale/kernel/requests/negative_answer.hpp"
#include "yuccascale/net/http_server.hpp"
#include "yuccascale/runtime/events.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace yuccascale::http {

using namespace kernel::requests;
using kernel::milliseconds;

namespace {

/// Between runs of the schedulers while requests are queued, since assignments become
/// possible and deadlines pass by time alone.
constexpr milliseconds scheduleInterval{50};
constexpr milliseconds idleInterval{250};
/// Callers that get no newer address list use the last one for up to this many times its time to
/// live.
constexpr int addressTtlFactor = 3;
/// Polls of the feed for which a stream that is taken up waits to be located.
constexpr int originWaitPolls = 2;
/// Requests that wait for a confirmation of the tables at the same time.
constexpr std::size_t maxHeldRequests = 256;
/// \returns what the parts of its prompt hold, in the request and in the queue of its pool.
[[nodiscard]] std::size_t memoryOfParts(const request &callerRequest) noexcept
{
    constexpr std::size_t copies = 2;
    return copies * callerRequest.parts.capacity() * sizeof(prompt_part);
}

[[nodiscard]] std::int64_t inMilliseconds(kernel::nanoseconds time) noexcept
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

/// \returns the grant of another entry and removes it, so that it is never forwarded.
[[nodiscard]] std::string takeRelayGrant(net::http_request &httpRequest)
{
    std::string grant(httpRequest.header(relayGrantHeader));
    std::erase_if(httpRequest.headers, [](const net::header_field &field) {
        return net::sameName(field.name, relayGrantHeader);
    });
    return grant;
}

} // namespace

class caller_server::implementation
{
public:
    explicit implementation(caller_server_dependencies dependencies);

    [[nodiscard]] kernel::result<void> start();
    void scheduleFeedUpdate();
    void beginShutdown(kernel::instant since);
    [[nodiscard]] bool drained() const;
    void closeToCallers();
    [[nodiscard]] std::size_t connections() const;
    void stop();
    [[nodiscard]] std::vector<offered_address> addresses(bool othersOnly) const;
    [[nodiscard]] caller_pools &pools() noexcept { return *m_services.pools; }
    [[nodiscard]] caller_quotas &quotas() noexcept { return *m_services.quotas; }
    [[nodiscard]] stream_registry &streams() noexcept { return *m_services.streams; }
    [[nodiscard]] std::string metricsText();

    [[nodiscard]] bool endpointsLost() const noexcept { return m_services.monitor->lost(); }

    int port = 0;

private:
    using exchange_pointer = std::shared_ptr<net::http_exchange>;

    [[nodiscard]] kernel::result<void> listen(const std::string &address, listener_kind kind);
    void applyFeedUpdate();
    void updatePosition();
    [[nodiscard]] std::vector<kernel::feed::node_report> nodes() const;
    [[nodiscard]] origins_source originsSource() const;
    [[nodiscard]] kernel::result<void> startRelay();
    void onReachChanged();
    void takeOver(std::string_view grant, kernel::requests::request &callerRequest);
    void startScheduleTimer();
    void serve(listener_kind listener, const exchange_pointer &exchange);
    void admit(const arrived_request &arrived);
    void shed(const exchange_pointer &exchange);
    void recordTablesAge(const std::string &id, const reading_context &context);
    void refuse(const arrived_request &arrived, const std::string &id, kernel::error problem,
                const kernel::control_view &view);
    void refuseUnlogged(const arrived_request &arrived, const request &callerRequest,
                        const refusal &reason);
    [[nodiscard]] bool hold(const arrived_request &arrived);
    void retryHeld();
    [[nodiscard]] entry_status status();
    [[nodiscard]] bool ready() const;
    [[nodiscard]] milliseconds addressGracePeriod() const;
    [[nodiscard]] bool answering() const;
    static void tellSessions(entry_loop &loop);

    caller_server_dependencies m_dependencies;
    caller_services m_services;
    std::vector<std::unique_ptr<net::http_server>> m_servers;
    std::unique_ptr<load_poller> m_loadPoller; ///< null when the protocol polls no loads
    boost::asio::steady_timer m_timer;
    held_requests m_held{maxHeldRequests};
    std::atomic<std::int64_t> m_greatestTablesAgeMs{
            0};                                     ///< of requests admitted since the last read
    std::atomic<kernel::instant> m_askedAt{};       ///< when a confirmation was last asked for
    std::atomic<bool> m_feedUpdateScheduled{false}; ///< applyFeedUpdate() is posted
    std::uint64_t m_revision = 0;                   ///< of the tables applied to the pools
    std::uint64_t m_endpointListVersion = 0;        ///< of the list applied to the pools
    bool m_haveTables = false;
    std::atomic<bool> m_stopped{false};
};

caller_server::implementation::implementation(caller_server_dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_services{m_dependencies.settings,
                 m_dependencies.clock,
                 m_dependencies.events,
                 m_dependencies.control,
                 m_dependencies.settings.node + "#" + std::to_string(m_dependencies.incarnation),
                 m_dependencies.secret,
                 nullptr,
                 nullptr,
                 nullptr,
                 {m_dependencies.settings.node + "#" + std::to_string(m_dependencies.incarnation),
                  m_dependencies.settings.platform, m_dependencies.clock,
                  m_dependencies.agreedTime
                          ? m_dependencies.agreedTime
                          : [clock = &m_dependencies.clock] { return clock->wallNow(); },
                  m_dependencies.control, m_dependencies.events, m_dependencies.workers},
                 {},
                 nullptr,
                 nullptr,
                 [this](bool othersOnly) { return addresses(othersOnly); },
                 entry_drain(m_dependencies.settings.promises.shutdown,
                             m_dependencies.settings.http.addressTtl),
                 {},
                 {},
                 {},
                 nullptr,
                 nullptr,
                 nullptr,
                 {},
                 {}}
    , m_timer(m_dependencies.loops.at(0))
{
    m_services.quotas = std::make_unique<caller_quotas>(m_dependencies.settings.promises,
                                                        m_dependencies.clock, m_dependencies.events,
                                                        std::hash<std::string>{}(m_services.entry));
}

kernel::result<void> caller_server::implementation::start()
{
    const runtime::settings &settings = m_dependencies.settings;
    BOOST_LEAF_ASSIGN(m_services.protocol, caller_protocol_registry::make(settings.http.protocol));
    BOOST_LEAF_ASSIGN(m_services.pools,
                      caller_pools::make(settings, m_dependencies.clock,
                                         std::hash<std::string>{}(m_services.entry)));
    m_services.streams
            = std::make_unique<stream_registry>(m_dependencies.clock, m_dependencies.otherEntries,
                                                originsSource(), m_dependencies.workers);
    m_services.pools->setCrashCauseListener([this](const std::string &pool, const part_set &parts) {
        const std::string fingerprint = partBanOf(pool, parts);
        m_services.events.record(promptPartBanned, {{"fingerprint", fingerprint}});
        m_services.commits.ban(fingerprint, {});
    });
    m_services.pools->setPacedListener([this](const std::string &pool) {
        m_services.events.record(poolPaced, {{"pool", pool}});
    });
    using kernel::state::backend_kind;
    BOOST_LEAF_ASSIGN(
            m_services.engineDriver,
            endpoint_driver_registry::make(m_services.protocol->driverFor(backend_kind::Model)));
    BOOST_LEAF_ASSIGN(
            m_services.serviceDriver,
            endpoint_driver_registry::make(m_services.protocol->driverFor(backend_kind::Service)));
    for (std::size_t index = 0; index < m_dependencies.loops.size(); ++index)
        m_services.loops.push_back(std::make_unique<entry_loop>(
                m_dependencies.loops.at(index), m_dependencies.clock, m_dependencies.events));
    BOOST_LEAF_CHECK(startRelay());
    if (m_services.protocol->pollsEndpointLoad())
        m_loadPoller = std::make_unique<load_poller>(m_services);
    updatePosition();
    BOOST_LEAF_CHECK(listen(settings.callerAddress, listener_kind::Callers));
    BOOST_LEAF_CHECK(listen(settings.http.readiness, listener_kind::Readiness));
    BOOST_LEAF_CHECK(listen(settings.http.directory, listener_kind::Directory));
    scheduleFeedUpdate();
    boost::asio::post(m_dependencies.loops.at(0), [this] { startScheduleTimer(); });
    return {};
}

origins_source caller_server::implementation::originsSource() const
{
    origins_source source;
    source.seen = [this](const std::string &routeName, const std::string &pool,
                         kernel::nanoseconds lookback) {
        return m_dependencies.control.view().originsSeen(m_dependencies.clock.now(), routeName,
                                                         pool, lookback);
    };
    source.lookback = [this](const std::string &routeName) {
        return m_dependencies.control.view().originLookback(m_dependencies.clock.now(), routeName);
    };
    source.waitConfirmed = [this](kernel::instant since) {
        return m_dependencies.control.waitConfirmed(
                since, originWaitPolls * m_dependencies.settings.control.feedInterval);
    };
    return source;
}

kernel::result<void> caller_server::implementation::startRelay()
{
    const std::uint64_t seed = std::hash<std::string>{}(m_services.entry);
    m_services.monitor = std::make_shared<endpoint_monitor>(
            m_dependencies.clock, m_dependencies.events, m_dependencies.loops.at(0),
            m_services.loops.front()->endpoints.httpClient(), seed, [this] { onReachChanged(); });
    std::unique_ptr<endpoint_driver> driver;
    const std::string_view name = m_services.protocol->entryDriver();
    if (!name.empty()) {
        BOOST_LEAF_ASSIGN(driver, endpoint_driver_registry::make(name));
    }
    m_services.relay = std::make_unique<entry_relay>(m_dependencies.clock, m_services.monitor,
                                                     std::move(driver));
    return {};
}

/// Idle connections may have died with the paths, and one that is reused would fail its request.
void caller_server::implementation::onReachChanged()
{
    const bool lost = m_services.monitor->lost();
    if (m_dependencies.onEndpointsLost)
        m_dependencies.onEndpointsLost(lost);
    if (!lost)
        return;
    for (const auto &loop : m_services.loops) {
        boost::asio::post(loop->context, [this, loop = loop.get()] {
            for (const polled_endpoint &endpoint : m_services.pools->endpoints())
                loop->endpoints.httpClient().closeIdle(endpoint.address);
        });
    }
}

kernel::result<void> caller_server::implementation::listen(const std::string &address,
                                                           listener_kind kind)
{
    if (address.empty())
        return {};
    auto server = std::make_unique<net::http_server>(
            m_dependencies.loops, limitsFrom(m_dependencies.settings.http),
            [this, kind](const exchange_pointer &exchange) { serve(kind, exchange); },
            m_dependencies.memory);
    BOOST_LEAF_AUTO(bound, server->listen(address));
    if (kind == listener_kind::Callers)
        port = bound;
    m_servers.push_back(std::move(server));
    return {};
}

void caller_server::implementation::scheduleFeedUpdate()
{
    if (m_stopped || m_feedUpdateScheduled.exchange(true))
        return;
    boost::asio::post(m_dependencies.loops.at(0), [this] {
        m_feedUpdateScheduled = false;
        applyFeedUpdate();
    });
}

void caller_server::implementation::applyFeedUpdate()
{
    updatePosition();
    retryHeld();
    m_services.relay->setHelpers(helpersAmong(nodes(), m_dependencies.settings.node));
    const kernel::control_view view = m_dependencies.control.view();
    if (!view.tables)
        return;
    const std::uint64_t listVersion = view.endpoints ? view.endpoints->version : 0;
    m_services.pools->apply(view);
    if (m_haveTables && view.tables->revision <= m_revision && listVersion <= m_endpointListVersion)
        return;
    m_haveTables = true;
    m_revision = view.tables->revision;
    m_endpointListVersion = listVersion;
    m_services.monitor->setEndpoints(m_services.pools->endpoints());
    m_services.quotas->setOrganisations(view.tables->organisations);
    m_servers.front()->setLimits(limitsInForce(m_dependencies.settings.http, *view.tables));
}

std::vector<kernel::feed::node_report> caller_server::implementation::nodes() const
{
    return m_dependencies.nodes ? m_dependencies.nodes() : std::vector<kernel::feed::node_report>();
}

void caller_server::implementation::updatePosition()
{
    const entry_position position = m_dependencies.nodes
            ? positionAmong(nodes(), m_dependencies.settings.node)
            : entry_position();
    m_services.pools->setPosition(position);
    m_services.quotas->setEntries(position.count);
}

void caller_server::implementation::startScheduleTimer()
{
    const bool unsure = m_services.monitor->state() != reach_state::Reached;
    const bool isFrequent
            = m_loadPoller || unsure || m_services.pools->waiting() > 0 || !m_held.empty();
    m_timer.expires_after(isFrequent ? scheduleInterval : idleInterval);
    m_timer.async_wait([this](const boost::system::error_code &problem) {
        if (problem || m_stopped)
            return;
        if (m_services.pools->waiting() > 0)
            m_services.pools->scheduleAll();
        if (m_loadPoller)
            m_loadPoller->pollDue();
        m_services.monitor->probeDue();
        retryHeld();
        startScheduleTimer();
    });
}

bool caller_server::implementation::ready() const
{
    return !m_services.drain.leaving()
            && m_dependencies.control.view().fresh(m_dependencies.clock.now());
}

std::vector<offered_address> caller_server::implementation::addresses(bool othersOnly) const
{
    const runtime::settings &settings = m_dependencies.settings;
    const own_address self{settings.node,
                           {settings.callerAddress, settings.zone, 1},
                           m_services.drain.leaving(),
                           endpointsLost()};
    return othersOnly ? addressesOfOthers(nodes(), settings.node) : offeredAddresses(nodes(), self);
}

entry_status caller_server::implementation::status()
{
    const kernel::control_view view = m_dependencies.control.view();
    entry_status out;
    out.ready = ready();
    out.revision = view.tables ? view.tables->revision : 0;
    out.addressTtl = m_dependencies.settings.http.addressTtl;
    out.addresses = [this](std::size_t most) {
        thread_local std::mt19937 random{std::random_device{}()};
        return sampleAddresses(addresses(false), most, random);
    };
    out.metrics = [this] { return metricsText(); };
    return out;
}

void caller_server::implementation::serve(listener_kind listener, const exchange_pointer &exchange)
{
    if (m_dependencies.handleOtherCall && listener == listener_kind::Callers
        && m_dependencies.handleOtherCall(exchange))
        return;
    if (auto answer = m_services.protocol->answerLocally(listener, exchange->request(), status()))
        return exchange->reply(std::move(*answer));
    if (listener == listener_kind::Callers && !m_services.loopOf(exchange->loop()).overload.admit())
        return shed(exchange);
    const kernel::instant arrivedAt = m_dependencies.clock.now() - exchange->unreadTime();
    admit({exchange, takeRelayGrant(exchange->request()), arrivedAt});
}

void caller_server::implementation::admit(const arrived_request &arrived)
{
    const exchange_pointer &exchange = arrived.exchange;
    reading_context context{m_dependencies.control.view(), m_dependencies.clock.now(),
                            m_services.entry, m_services.nextTicket++, m_services.secret};
    context.routes = m_services.routes.indexFor(context.view.tables);
    const std::string id = m_services.protocol->callerRequestId(exchange->request(), context);
    request callerRequest;
    kernel::error problem;
    const bool readable = kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_ASSIGN(callerRequest,
                                  m_services.protocol->readRequest(exchange->request(), context));
                return {};
            },
            problem);
    if (!readable)
        return refuse(arrived, id, std::move(problem), context.view);
    if (!exchange->holdRequest(memoryOfParts(callerRequest)))
        return refuseUnlogged(arrived, callerRequest, memoryRefusal());
    recordTablesAge(callerRequest.id, context);
    callerRequest.deadline -= context.now - arrived.receivedAt;
    callerRequest.receivedAt = arrived.receivedAt;
    callerRequest.entryEnd = m_services.drain.plan().end();
    takeOver(arrived.relayGrant, callerRequest);
    quota_charge charge;
    if (const auto refused = m_services.quotas->admit(callerRequest, charge))
        return refuseUnlogged(arrived, callerRequest, *refused);
    const double weight = organisationWeight(context.view, callerRequest.organisation);
    caller_session::start(m_services, std::move(callerRequest), weight, exchange,
                          std::move(charge));
}

/// Says no other addresses, since to list them takes longer than such a refusal may.
void caller_server::implementation::shed(const exchange_pointer &exchange)
{
    const reading_context context{m_dependencies.control.view(), m_dependencies.clock.now(),
                                  m_services.entry, m_services.nextTicket++, m_services.secret};
    const refusal reason = overloadRefusal(exchange->request(), context.requestNumber);
    m_services.metrics.refused({}, kernel::errorKindName(reason.kind));
    const std::string id = m_services.protocol->callerRequestId(exchange->request(), context);
    exchange->reply(m_services.protocol->errorReply(reason, id, {}));
}

/// The log line of the organisation, or of the shortage of memory, stands for those of its
/// requests, of which there may be many.
void caller_server::implementation::refuseUnlogged(const arrived_request &arrived,
                                                   const request &callerRequest,
                                                   const refusal &reason)
{
    m_services.metrics.refused({callerRequest.route.name, callerRequest.organisation},
                               kernel::errorKindName(reason.kind));
    arrived.exchange->reply(
            m_services.protocol->errorReply(reason, callerRequest.id, addresses(true)));
}

/// Tables that are older than edits take to be in force everywhere can only be right because no
/// edit was acknowledged since.
void caller_server::implementation::recordTablesAge(const std::string &id,
                                                    const reading_context &context)
{
    const kernel::nanoseconds age = context.now - context.view.confirmedAt;
    const std::int64_t ageMs = inMilliseconds(age);
    std::int64_t greatest = m_greatestTablesAgeMs;
    while (ageMs > greatest && !m_greatestTablesAgeMs.compare_exchange_weak(greatest, ageMs)) { }
    const milliseconds promised = m_dependencies.settings.promises.tablePropagation;
    if (promised == milliseconds::zero() || age <= promised)
        return;
    m_dependencies.events.record(runtime::oldTablesUsed,
                                 {{"request_id", id},
                                  {"revision", context.view.tables->revision},
                                  {"document", context.view.tables->documentVersion},
                                  {"tables_age_ms", ageMs}});
}

/// A refusal for want of a row in the tables is put off while an edit that adds it may be in force
/// already.
void caller_server::implementation::refuse(const arrived_request &arrived, const std::string &id,
                                           kernel::error problem, const kernel::control_view &view)
{
    const kernel::instant now = m_dependencies.clock.now();
    const negative_answer_rule rule{m_dependencies.settings.promises.tablePropagation,
                                    m_dependencies.settings.control.feedInterval};
    const negative_verdict verdict = isNegative(problem.kind)
            ? rule.judge(now, arrived.receivedAt, view.confirmedAt)
            : negative_verdict::Final;
    if (verdict == negative_verdict::AwaitConfirmation && hold(arrived))
        return;
    if (verdict != negative_verdict::Final)
        problem = {kernel::error_kind::NotReady, "tables",
                   "this entry cannot confirm that its tables are current; retry at another entry "
                   "address"};
    const bool mayHaveRun = sentBefore(arrived.exchange->request())
            && problem.kind != kernel::error_kind::InvalidArgument;
    const refusal reason{problem.kind, problem.where + ": " + problem.message, mayHaveRun, {}};
    m_dependencies.events.record(
            requestRefused,
            {{"request_id", id},
             {"kind", kernel::errorKindName(problem.kind)},
             {"may_have_run", static_cast<int>(mayHaveRun)},
             {"reason", reason.message},
             {"revision", view.tables ? view.tables->revision : 0},
             {"document", view.tables ? view.tables->documentVersion : 0},
             {"tables_age_ms", view.tables ? inMilliseconds(now - view.confirmedAt) : -1},
             {"held_ms", inMilliseconds(now - arrived.receivedAt)}});
    arrived.exchange->reply(m_services.protocol->errorReply(reason, id, addresses(true)));
}

/// One confirmation serves all that are held; at most one is asked for in each feed interval,
/// beside the usual polls.
bool caller_server::implementation::hold(const arrived_request &arrived)
{
    if (m_services.drain.closed() || !m_held.add(arrived))
        return false;
    if (m_services.drain.closed()) // since the first look
        retryHeld();
    const kernel::instant now = m_dependencies.clock.now();
    kernel::instant askedAt = m_askedAt;
    const bool due = now - askedAt >= m_dependencies.settings.control.feedInterval;
    if (due && m_askedAt.compare_exchange_strong(askedAt, now) && m_dependencies.confirmSoon)
        m_dependencies.confirmSoon();
    return true;
}

/// Admits the held requests again, each on its own loop.
void caller_server::implementation::retryHeld()
{
    for (const arrived_request &arrived : m_held.take()) {
        boost::asio::post(arrived.exchange->loop(), [this, arrived] {
            if (!m_stopped)
                admit(arrived);
        });
    }
}

/// A request with a valid grant is served as if this entry had received it, but is passed on to no
/// other entry.
void caller_server::implementation::takeOver(std::string_view grant, request &callerRequest)
{
    callerRequest.relay = readRelayGrant(m_services.secret, callerRequest.id, grant);
    if (!callerRequest.relay)
        return;
    if (callerRequest.continuedId.empty())
        callerRequest.continuedId = callerRequest.relay->continuedId;
    m_dependencies.events.record(requestTakenOver,
                                 {{"request_id", callerRequest.id},
                                  {"from", callerRequest.relay->entry},
                                  {"attempts", callerRequest.relay->attempts}});
}

void caller_server::implementation::beginShutdown(kernel::instant since)
{
    if (!m_services.drain.begin(since))
        return;
    for (const auto &server : m_servers)
        server->closeAfterAnswers();
    for (const auto &loop : m_services.loops)
        boost::asio::post(loop->context, [&running = *loop] { tellSessions(running); });
    m_services.commits.setUsageDeadline(m_services.drain.plan().end());
    m_dependencies.events.record(entryLeaving, {{"node", m_dependencies.settings.node}});
}

/// \returns how long callers may use this entry's address after its removal from the lists.
milliseconds caller_server::implementation::addressGracePeriod() const
{
    const milliseconds gracePeriod = addressTtlFactor * m_dependencies.settings.http.addressTtl;
    const milliseconds shutdownLimit = m_dependencies.settings.promises.shutdown;
    if (shutdownLimit.count() == 0)
        return m_dependencies.settings.http.addressTtl;
    const kernel::nanoseconds timeLeft = m_services.drain.plan().end() - m_services.drain.since();
    return std::min(gracePeriod, std::chrono::floor<milliseconds>(timeLeft));
}

bool caller_server::implementation::drained() const
{
    const entry_drain &drain = m_services.drain;
    if (!drain.leaving())
        return false;
    const kernel::instant now = m_dependencies.clock.now();
    const bool addressExpired = now - drain.since() >= addressGracePeriod();
    const bool idle = m_services.runningRequests == 0 && !answering();
    return now >= drain.plan().end() || (addressExpired && idle);
}

bool caller_server::implementation::answering() const
{
    return std::ranges::any_of(m_servers,
                               [](const auto &server) { return server->answering() > 0; });
}

/// A session may end, and leave the set, when it is told.
void caller_server::implementation::tellSessions(entry_loop &loop)
{
    std::vector<std::shared_ptr<caller_session>> running;
    for (caller_session *session : loop.sessions) {
        if (auto alive = session->weak_from_this().lock())
            running.push_back(std::move(alive));
    }
    for (const std::shared_ptr<caller_session> &session : running)
        session->onEntryLeaving();
}

void caller_server::implementation::closeToCallers()
{
    m_services.drain.close();
    retryHeld();
    for (const auto &server : m_servers)
        server->closeListeners();
}

std::string caller_server::implementation::metricsText()
{
    setLoopGauges(m_services);
    if (m_dependencies.memory)
        setMemoryGauges(m_services.metrics, m_dependencies.memory->state());
    m_services.metrics.setGauge("yuccascale_tables_age_greatest_ms",
                                static_cast<double>(m_greatestTablesAgeMs.exchange(0)));
    if (const auto askedAt = m_dependencies.control.view().endpointsAskedAt) {
        const std::chrono::duration<double> age = m_dependencies.clock.now() - *askedAt;
        m_services.metrics.setGauge("yuccascale_endpoint_list_age_seconds", age.count());
    }
    m_services.metrics.setGauge("yuccascale_connections", static_cast<double>(connections()));
    const std::string others
            = m_dependencies.otherMetrics ? m_dependencies.otherMetrics() : std::string();
    return m_services.metrics.text() + m_services.quotas->metricsText()
            + learntText(m_services.pools->learntRates()) + others;
}

std::size_t caller_server::implementation::connections() const
{
    std::size_t sum = 0;
    for (const auto &server : m_servers)
        sum += server->connections();
    return sum;
}

void caller_server::implementation::stop()
{
    if (m_stopped.exchange(true))
        return;
    for (const auto &server : m_servers)
        server->stop();
    if (m_services.streams)
        m_services.streams->shutdown();
    m_services.commits.shutdown();
}

caller_server::caller_server(caller_server_dependencies dependencies)
    : m_implementation(std::make_unique<implementation>(std::move(dependencies)))
{ }

caller_server::~caller_server()
{
    stop();
}

kernel::result<void> caller_server::start()
{
    return m_implementation->start();
}

void caller_server::scheduleFeedUpdate()
{
    m_implementation->scheduleFeedUpdate();
}

void caller_server::beginShutdown(kernel::instant since)
{
    m_implementation->beginShutdown(since);
}

bool caller_server::drained() const
{
    return m_implementation->drained();
}

void caller_server::closeToCallers()
{
    m_implementation->closeToCallers();
}

std::size_t caller_server::connections() const
{
    return m_implementation->connections();
}

void caller_server::stop()
{
    m_implementation->stop();
}

int caller_server::port() const noexcept
{
    return m_implementation->port;
}

std::vector<offered_address> caller_server::addresses() const
{
    return m_implementation->addresses(false);
}

caller_pools &caller_server::pools() noexcept
{
    return m_implementation->pools();
}

caller_quotas &caller_server::quotas() noexcept
{
    return m_implementation->quotas();
}

stream_registry &caller_server::streams() noexcept
{
    return m_implementation->streams();
}

bool caller_server::endpointsLost() const noexcept
{
    return m_implementation->endpointsLost();
}

std::string caller_server::metricsText()
{
    return m_implementation->metricsText();
}

} // namespace yuccascale::http
