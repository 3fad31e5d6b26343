#include "yuccascale/runtime/feed_service.hpp"

#include "yuccascale/runtime/events.hpp"
#include "yuccascale/wire/feed_codec.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::runtime {

using namespace kernel;

namespace {

constexpr std::size_t maxNodesPerRound = 9; ///< control nodes polled in one round
/// With two nodes silent, a third can still be asked while all other calls wait.
constexpr thread_share pollThreads{maxNodesPerRound, 3, worker_group::Polls};
/// Between two polls while a confirmation is awaited; the leader then confirms again at once.
constexpr milliseconds awaitedPollInterval{50};
constexpr seconds loadEventInterval{5}; ///< least time between two feed_load events
constexpr seconds subscriberWindow{5};  ///< a node that polled within it is a peer

template<typename Row>
[[nodiscard]] std::size_t countUnencoded(const std::vector<encoded_pointer<Row>> &rows)
{
    return static_cast<std::size_t>(
            std::ranges::count_if(rows, [](const auto &row) { return !row->isEncoded(); }));
}

[[nodiscard]] std::size_t openRoutes(const state::table_set &tables)
{
    return static_cast<std::size_t>(std::ranges::count_if(tables.routes, [](const auto &named) {
        return named.second.access == state::route_access::Open;
    }));
}

} // namespace

feed_service::feed_service(const settings &settings, clock &clock, transport &transport,
                           event_sink &events, std::uint64_t incarnation,
                           leader_state_reader *leaderState,
                           std::shared_ptr<worker_threads> workers)
    : m_settings(settings)
    , m_clock(clock)
    , m_transport(transport)
    , m_events(events)
    , m_leaderState(leaderState)
    , m_seeds(settings.seeds)
    , m_times{settings.control.feedInterval, settings.control.freshness,
              settings.promises.tablePropagation}
    , m_listTimes{settings.control.feedInterval, settings.platform.listInterval,
                  settings.promises.drainNotice}
    , m_incarnation(incarnation)
    , m_state(settings.control.freshness, settings.promises.tablePropagation)
    , m_relays({settings.linkAddress, settings.zone})
    , m_listSearch(m_listTimes)
    , m_editAnswers(clock, events,
                    {[this] { return settledRevision(); }, [this] { return slowestNode(); }})
    , m_pollers(pollThreads, std::move(workers))
{
    m_transport.handle(channel::Feed, [this](std::string_view peer, std::string_view payload) {
        return handleRequest(peer, payload);
    });
}

feed_service::~feed_service()
{
    stop();
}

void feed_service::start()
{
    m_thread = std::thread([this] { pollLoop(); });
}

void feed_service::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_wake.notify_all();
    m_polled.notify_all();
    m_editAnswers.stop();
    if (m_thread.joinable())
        m_thread.join();
    m_pollers.shutdown();
}

control_view feed_service::view() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.view();
}

std::vector<feed::node_report> feed_service::nodes() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.nodes();
}

wall_time feed_service::agreedTime() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.agreedTime(m_clock.now()).value_or(m_clock.wallNow());
}

std::vector<std::string> feed_service::controlNodes() const
{
    const std::lock_guard lock(m_mutex);
    return knownControlNodes();
}

/// Requires m_mutex to be held.
std::vector<std::string> feed_service::knownControlNodes() const
{
    return m_relays.order(m_state.nodes(), m_seeds);
}

void feed_service::setSeeds(std::vector<std::string> seeds)
{
    const std::lock_guard lock(m_mutex);
    m_seeds = std::move(seeds);
}

void feed_service::setEndpoints(feed::endpoint_reading reading)
{
    std::unique_lock lock(m_mutex);
    const bool newer = m_state.readEndpoints(std::move(reading));
    lock.unlock();
    notifyPeers(newer);
    if (newer)
        tellListener();
}

std::vector<feed::node_report> feed_service::nodeReports() const
{
    constexpr seconds reportWindow{24 * 3'600};
    const std::lock_guard lock(m_mutex);
    std::vector<feed::node_report> all = m_state.directory().reports(m_clock.now(), reportWindow);
    std::erase_if(all, [&](const auto &report) { return report.node == m_settings.node; });
    all.push_back(selfReport());
    return all;
}

void feed_service::pollSoon()
{
    {
        const std::lock_guard lock(m_mutex);
        m_pollRequested = true;
    }
    m_wake.notify_all();
}

void feed_service::setLeaving()
{
    {
        const std::lock_guard lock(m_mutex);
        m_leaving = true;
    }
    pollSoon();
}

void feed_service::setEndpointsLost(bool lost)
{
    {
        const std::lock_guard lock(m_mutex);
        m_endpointsLost = lost;
    }
    pollSoon();
}

void feed_service::pollLoop()
{
    bool wasFresh = false;
    std::unique_lock lock(m_mutex);
    while (!m_stopped) {
        m_pollRequested = false;
        lock.unlock();
        pollRound();
        tellListener();
        recordLoad();
        recordListAge();
        const bool fresh = view().fresh(m_clock.now());
        if (fresh != wasFresh)
            m_events.record(fresh ? freshnessGained : freshnessLost, {});
        wasFresh = fresh;
        lock.lock();
        waitForNextPoll(lock);
    }
}

/// Reports what is due meanwhile. Requires m_mutex to be held.
void feed_service::waitForNextPoll(std::unique_lock<std::mutex> &lock)
{
    const instant pollAt = m_clock.now() + pollInterval();
    while (!m_stopped && !m_pollRequested) {
        const instant next = std::min(pollAt, m_reportAt);
        const bool woken = m_wake.wait_for(lock, next - m_clock.now(), [&] {
            return m_stopped || m_pollRequested || m_reportAt < next;
        });
        if (woken)
            continue;
        if (next == pollAt)
            return;
        m_reportAt = instant::max();
        const std::string peer = m_reportPeer;
        lock.unlock();
        if (!isLeader())
            reportTo(peer);
        lock.lock();
    }
}

/// Requires m_mutex to be held.
milliseconds feed_service::pollInterval() const
{
    const milliseconds usual = m_settings.control.feedInterval;
    if (editsWait() && !isLeader())
        return settlingPollInterval();
    return m_confirmationsAwaited > 0 ? std::min(awaitedPollInterval, usual) : usual;
}

bool feed_service::waitConfirmed(instant since, milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    const auto confirmed = [&] { return m_state.view().confirmedAt >= since; };
    if (confirmed())
        return true;
    ++m_confirmationsAwaited;
    m_pollRequested = true;
    m_wake.notify_all();
    m_polled.wait_for(lock, limit, [&] { return m_stopped || confirmed(); });
    --m_confirmationsAwaited;
    return confirmed();
}

void feed_service::pollRound()
{
    std::set<std::string> tried;
    while (tried.size() < maxNodesPerRound && !readLocalLeader()) {
        const std::string peer = selectTarget(tried);
        if (peer.empty())
            break;
        tried.insert(peer);
        if (awaitPoll(*beginPoll(peer)))
            break;
    }
    askForList(tried);
    m_polled.notify_all();
}

std::string feed_service::handleRequest(std::string_view peer, std::string_view payload)
{
    if (payload.empty()) { // notification of a newer revision
        {
            const std::lock_guard lock(m_mutex);
            m_notifier = std::string(peer);
        }
        pollSoon();
        return {};
    }
    feed::feed_request request;
    error problem;
    const bool decoded = succeeded(
            [&]() -> result<void> {
                BOOST_LEAF_ASSIGN(request, wire::decodeFeedRequest(payload));
                return {};
            },
            problem);
    if (!decoded) {
        m_events.record(badMessage, {{"peer", peer}, {"problem", problem.message}});
        return {};
    }
    if (request.confirmNow && m_leaderState != nullptr)
        pollSoon();
    std::unique_lock lock(m_mutex);
    const instant now = m_clock.now();
    const feed::feed_reply reply = m_state.answer(now, peer, request, leadingSince(now));
    const bool higherReports = m_state.takeHigherReports();
    lock.unlock();
    if (higherReports && m_leaderState != nullptr)
        reportSoon();
    m_editAnswers.check();
    const std::size_t unencoded = countUnencoded(reply.edits) + countUnencoded(reply.fullTables);
    std::string bytes = wire::encodeFeedReply(reply);
    lock.lock();
    countReply(reply, unencoded, bytes.size());
    return bytes;
}

/// Requires m_mutex to be held.
void feed_service::countReply(const feed::feed_reply &reply, std::size_t unencoded,
                              std::size_t bytes)
{
    ++m_load.replies;
    m_load.repliesWithTables += reply.edits.empty() && reply.fullTables.empty() ? 0 : 1;
    m_load.tablesEncoded += unencoded;
    m_load.bytes += bytes;
    m_load.wholeEndpointLists += reply.endpoints.empty() ? 0 : 1;
    m_load.endpointChanges += reply.endpointChanges.empty() ? 0 : 1;
    m_load.wholeNodeLists += reply.nodes.empty() ? 0 : 1;
    m_load.nodeChanges += reply.nodeChanges.empty() ? 0 : 1;
}

feed_load feed_service::load() const
{
    const std::lock_guard lock(m_mutex);
    return m_load;
}

void feed_service::recordLoad()
{
    const instant now = m_clock.now();
    std::unique_lock lock(m_mutex);
    const bool sent = m_load.repliesWithTables != m_recordedLoad.repliesWithTables
            || m_load.wholeEndpointLists != m_recordedLoad.wholeEndpointLists
            || m_load.endpointChanges != m_recordedLoad.endpointChanges;
    if (!sent || now - m_loadRecordedAt < loadEventInterval)
        return;
    const feed_load since{m_load.replies - m_recordedLoad.replies,
                          m_load.repliesWithTables - m_recordedLoad.repliesWithTables,
                          m_load.tablesEncoded - m_recordedLoad.tablesEncoded,
                          m_load.bytes - m_recordedLoad.bytes,
                          m_load.wholeEndpointLists - m_recordedLoad.wholeEndpointLists,
                          m_load.endpointChanges - m_recordedLoad.endpointChanges,
                          m_load.wholeNodeLists - m_recordedLoad.wholeNodeLists,
                          m_load.nodeChanges - m_recordedLoad.nodeChanges};
    const std::size_t peers = m_state.directory().directPeers(now, subscriberWindow).size();
    m_recordedLoad = m_load;
    m_loadRecordedAt = now;
    lock.unlock();
    m_events.record(feedLoad,
                    {{"peers", peers},
                     {"replies", since.replies},
                     {"with_tables", since.repliesWithTables},
                     {"tables_encoded", since.tablesEncoded},
                     {"bytes", since.bytes},
                     {"endpoint_lists", since.wholeEndpointLists},
                     {"endpoint_changes", since.endpointChanges},
                     {"node_lists", since.wholeNodeLists},
                     {"node_changes", since.nodeChanges}});
}

/// Requires m_mutex to be held.
feed::node_report feed_service::selfReport() const
{
    feed::node_report report;
    report.node = m_settings.node;
    report.incarnation = m_incarnation;
    report.revision = m_state.revision();
    report.leaving = m_leaving;
    report.endpointsLost = m_endpointsLost;
    report.link = m_settings.linkAddress;
    report.callers = m_settings.roles.entry ? m_settings.callerAddress : std::string();
    report.zone = m_settings.zone;
    report.control = m_settings.roles.control;
    report.operators = m_settings.http.operators;
    report.wallMs = m_clock.wallNow().time_since_epoch().count();
    return report;
}

void feed_service::notifyPeers(bool newer)
{
    if (!newer)
        return;
    std::vector<std::string> peers;
    std::uint64_t revision = 0;
    std::uint64_t endpointListVersion = 0;
    std::shared_ptr<const state::table_set> tables;
    {
        const std::lock_guard lock(m_mutex);
        peers = m_state.directory().directPeers(m_clock.now(), subscriberWindow);
        tables = m_state.view().tables;
        revision = m_state.revision();
        endpointListVersion = m_state.endpoints()->version;
    }
    if (!tables)
        tables = std::make_shared<state::table_set>();
    for (const std::string &peer : peers)
        m_transport.post(peer, channel::Feed, {});
    m_events.record(revisionInForce,
                    {{"revision", revision},
                     {"document", tables->documentVersion},
                     {"keys", tables->keys.size()},
                     {"open_routes", openRoutes(*tables)},
                     {"endpoint_list", endpointListVersion}});
}

} // namespace yuccascale::runtime
