#include "yuccascale/runtime/feed_service.hpp"

#include "yuccascale/runtime/events.hpp"
#include "yuccascale/wire/feed_codec.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::runtime {

using namespace kernel;

namespace {

/// Reports of other nodes go up with every so many requests.
constexpr std::uint64_t asksPerRelayedReport = 2;

std::vector<std::string> entryNames(const settings &settings)
{
    std::vector<std::string> names;
    for (const node_settings &node : settings.nodes) {
        if (node.roles.entry)
            names.push_back(node.name);
    }
    return names;
}

std::vector<std::string> controlNames(const settings &settings)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const node_settings &node : settings.nodes) {
        if (!node.roles.control || node.name == settings.node)
            continue;
        auto &group = node.zone == settings.self().zone ? near : far;
        group.push_back(node.name);
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

} // namespace

feed_service::feed_service(const settings &settings, clock &clock, transport &transport,
                           event_sink &events, std::uint64_t incarnation,
                           control_authority *authority)
    : m_settings(settings)
    , m_clock(clock)
    , m_transport(transport)
    , m_events(events)
    , m_authority(authority)
    , m_controlNodes(controlNames(settings))
    , m_incarnation(incarnation)
    , m_state(settings.control.freshness, entryNames(settings))
{
    m_transport.handle(channel::Feed, [this](std::string_view peer, std::string_view payload) {
        return answer(peer, payload);
    });
}

feed_service::~feed_service()
{
    stop();
}

void feed_service::start()
{
    m_thread = std::thread([this] { askLoop(); });
}

void feed_service::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

control_view feed_service::view() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.view();
}

std::vector<std::string> feed_service::unavailable() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.unavailable();
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

void feed_service::wake()
{
    {
        const std::lock_guard lock(m_mutex);
        m_wanted = true;
    }
    m_wake.notify_all();
}

void feed_service::setLeaving()
{
    {
        const std::lock_guard lock(m_mutex);
        m_leaving = true;
    }
    wake();
}

void feed_service::askLoop()
{
    bool wasFresh = false;
    std::unique_lock lock(m_mutex);
    while (!m_stopped) {
        m_wanted = false;
        lock.unlock();
        askOnce();
        const bool fresh = view().fresh(m_clock.now());
        if (fresh != wasFresh)
            m_events.record(fresh ? freshnessGained : freshnessLost, {});
        wasFresh = fresh;
        lock.lock();
        m_wake.wait_for(lock, m_settings.control.feedInterval,
                        [&] { return m_stopped || m_wanted; });
    }
}

void feed_service::askOnce()
{
    const instant askedAt = m_clock.now();
    if (!readOwn(askedAt))
        askPeer(askedAt);
}

bool feed_service::readOwn(instant askedAt)
{
    if (m_authority == nullptr || m_authority->leader() != m_settings.node)
        return false;
    feed::leader_reading reading;
    error problem;
    const bool confirmed = succeeded(
            [&]() -> result<void> {
                BOOST_LEAF_ASSIGN(
                        reading,
                        m_authority->confirmedReading(askedAt + m_settings.control.freshness));
                return {};
            },
            problem);
    if (!confirmed)
        return false;
    std::unique_lock lock(m_mutex);
    const bool newer = m_state.installOwn(askedAt, m_clock.now(), reading, m_settings.node);
    lock.unlock();
    announce(newer);
    return true;
}

void feed_service::askPeer(instant askedAt)
{
    const std::string peer = target();
    if (peer.empty())
        return;
    const bool relayed = m_asks++ % asksPerRelayedReport == 0;
    std::unique_lock lock(m_mutex);
    const std::string request
            = wire::encodeFeedRequest(m_state.request(askedAt, selfReport(), relayed));
    lock.unlock();
    feed::feed_reply reply;
    error problem;
    const bool answered = succeeded(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(bytes,
                                m_transport.call(peer, channel::Feed, request,
                                                 m_settings.control.feedInterval));
                BOOST_LEAF_ASSIGN(reply, wire::decodeFeedReply(bytes));
                return {};
            },
            problem);
    if (!answered || !reply.confirmed)
        ++m_target;
    if (!answered)
        return;
    lock.lock();
    const bool newer = m_state.install(askedAt, reply);
    lock.unlock();
    announce(newer);
}

std::string feed_service::target()
{
    if (m_authority != nullptr) {
        const std::string leader = m_authority->leader();
        return leader == m_settings.node ? std::string() : leader;
    }
    if (m_controlNodes.empty())
        return {};
    return m_controlNodes[m_target % m_controlNodes.size()];
}

std::string feed_service::answer(std::string_view peer, std::string_view payload)
{
    if (payload.empty()) { // a newer revision is there
        wake();
        return {};
    }
    feed::feed_request request;
    error problem;
    const bool good = succeeded(
            [&]() -> result<void> {
                BOOST_LEAF_ASSIGN(request, wire::decodeFeedRequest(payload));
                return {};
            },
            problem);
    if (!good) {
        m_events.record(badMessage, {{"peer", peer}, {"problem", problem.message}});
        return {};
    }
    const std::lock_guard lock(m_mutex);
    return wire::encodeFeedReply(m_state.answer(m_clock.now(), peer, request));
}

/// Needs m_mutex.
feed::node_report feed_service::selfReport() const
{
    feed::node_report report;
    report.node = m_settings.node;
    report.incarnation = m_incarnation;
    const auto tables = m_state.view().tables;
    report.revision = tables ? tables->revision : 0;
    report.leaving = m_leaving;
    return report;
}

void feed_service::announce(bool newer)
{
    if (!newer)
        return;
    constexpr seconds subscriberWindow{5};
    std::vector<std::string> peers;
    std::uint64_t revision = 0;
    {
        const std::lock_guard lock(m_mutex);
        peers = m_state.directory().directPeers(m_clock.now(), subscriberWindow);
        revision = m_state.view().tables->revision;
    }
    for (const std::string &peer : peers)
        m_transport.post(peer, channel::Feed, {});
    m_events.record(revisionInForce, {{"revision", revision}});
}

} // namespace yuccascale::runtime
