#include "unit/links_fixture.hpp"

#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <vector>

namespace yuccascale::wire {

using fakes::former_frame;
using fakes::former_listener;
using fakes::former_node;
using kernel::channel;

namespace {

constexpr auto submitChannel = static_cast<std::uint8_t>(channel::Submit);
constexpr auto loadChannel = static_cast<std::uint8_t>(channel::Load);
constexpr auto consensusChannel = static_cast<std::uint8_t>(channel::Consensus);
/// Threads that a transport may add, whatever the number of its peers.
constexpr int maxThreadsOfTransport = 5;

class links_failures : public links_test
{
protected:
    /// Answers the calls of one connection until it is closed.
    static void echo(const former_node &connection)
    {
        while (const std::optional<former_frame> request = connection.read()) {
            connection.send(former_node::encode(
                    {submitChannel, request->correlation, true, request->payload}));
        }
    }
};

/// Starts no thread for a peer's process; echoes on one connection.
class echoing_peer
{
public:
    echoing_peer()
        : m_thread([this] {
            const former_node connection = m_listener.accept(linkSecret);
            while (const std::optional<former_frame> request = connection.read()) {
                connection.send(former_node::encode(
                        {request->channel, request->correlation, true, request->payload}));
            }
        })
    { }
    ~echoing_peer() { m_thread.join(); }
    echoing_peer(const echoing_peer &) = delete;
    echoing_peer &operator=(const echoing_peer &) = delete;

    [[nodiscard]] std::string name() const { return m_listener.name(); }

private:
    former_listener m_listener;
    std::thread m_thread;
};

} // namespace

/// Guards against a refusal "not run" for a call that may have run, and against an unknown outcome
/// for one that cannot have.
TEST_F(links_failures, aBrokenConnectionIsUnavailableBeforeTheCallIsWrittenAndUnknownAfter)
{
    const former_listener before;
    const former_listener after;
    tcp_transport node(m_settings);
    start(node);
    std::thread breaking([&] {
        former_node accepted = after.accept(linkSecret);
        static_cast<void>(accepted.read());
        accepted.reset();
    });
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_EQ(call(node, after.name(), "ping"), "failed: unknown");
    EXPECT_LT(std::chrono::steady_clock::now() - begin, enoughTime / 2) << "waited for the timeout";
    breaking.join();
    std::atomic<bool> ended{false};
    std::thread refusing([&] {
        while (!ended) { // resets each connection before the handshake
            const int descriptor = before.acceptDescriptor();
            former_node(descriptor).reset();
        }
    });
    EXPECT_EQ(call(node, before.name(), "ping", milliseconds(300)), "failed: unavailable");
    ended = true;
    static_cast<void>(former_node::connectOnly(before.port()));
    refusing.join();
}

/// Guards against frames that a peer does not read holding up other peers, and against a queue that
/// grows without bound.
TEST_F(links_failures, aStalledPeerDelaysNoOtherAndLosesPostsBeyondTheBounds)
{
    constexpr std::size_t payloadBytes = std::size_t{256} << 10U;
    m_settings.maxQueuedBytes = 8 * payloadBytes;
    m_settings.userTimeout = std::chrono::seconds(60);
    const former_listener stalledListener;
    echoing_peer other;
    tcp_transport node(m_settings);
    start(node);
    node.post(stalledListener.name(), channel::Submit, "first");
    const former_node stalled = stalledListener.accept(linkSecret);
    for (int count = 0; count < 200; ++count)
        node.post(stalledListener.name(), channel::Submit, std::string(payloadBytes, 'x'));
    EXPECT_GT(node.counters().framesDropped, 0U);
    EXPECT_EQ(call(node, other.name(), "ping"), "ping");
    node.stop();
}

/// Guards against a connection whose peer never reads, which would stay open for ever.
TEST_F(links_failures, aWriteWithoutProgressClosesTheConnection)
{
    m_settings.userTimeout = milliseconds(300);
    const former_listener listener;
    tcp_transport node(m_settings);
    start(node);
    node.post(listener.name(), channel::Submit, "first");
    const former_node stalled = listener.accept(linkSecret);
    ASSERT_TRUE(waitFor([&] { return node.counters().linksOpen == 1; }));
    node.post(listener.name(), channel::Submit, std::string(std::size_t{32} << 20U, 'x'));
    EXPECT_TRUE(waitFor([&] { return node.counters().linksOpen == 0; }));
    EXPECT_GT(node.counters().framesLost, 0U);
}

/// Guards against drops that nobody sees.
TEST_F(links_failures, postsBeyondEitherBoundAreCountedAndReportedOnce)
{
    std::mutex mutex;
    std::vector<drop_report> reports;
    m_settings.maxQueuedFrames = 10;
    m_settings.maxQueuedBytes = 10'000;
    m_settings.onFramesDropped = [&](const drop_report &report) {
        const std::scoped_lock guard(mutex);
        reports.push_back(report);
    };
    const former_listener many; // connections wait for a handshake that does not come
    const former_listener large;
    tcp_transport node(m_settings);
    start(node);
    for (int count = 0; count < 25; ++count)
        node.post(many.name(), channel::Load, "small");
    EXPECT_EQ(node.counters().framesDropped, 15U);
    for (int count = 0; count < 3; ++count)
        node.post(large.name(), channel::Load, std::string(6'000, 'x'));
    EXPECT_EQ(node.counters().framesDropped, 17U);
    const std::scoped_lock guard(mutex);
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports.front().peer, many.name());
    EXPECT_EQ(reports.front().frames, 1U);
}

/// Guards against consensus waiting for the handlers or the bytes of another channel.
TEST_F(links_failures, consensusIsHandledWhileAnotherChannelIsFloodedAndItsHandlerWaits)
{
    constexpr int floodFrames = 20'000;
    constexpr std::uint64_t consensusFrames = 100;
    std::promise<void> release;
    std::atomic<std::uint64_t> consensusHandled{0};
    tcp_transport node(m_settings);
    node.handle(channel::Consensus, [&](std::string_view, std::string_view) {
        ++consensusHandled;
        return std::string();
    });
    node.handle(channel::Load,
                [&, released = release.get_future().share()](std::string_view, std::string_view) {
                    released.wait();
                    return std::string();
                });
    node.handle(channel::Submit,
                [](std::string_view, std::string_view) { return std::string("served"); });
    start(node);
    const former_node flooding = connect("flooding");
    std::thread flood([&] {
        const std::string bytes
                = former_node::encode({loadChannel, 0, false, std::string(1'000, 'x')});
        for (int count = 0; count < floodFrames && flooding.send(bytes); ++count) { }
    });
    const former_node replica = connect("replica");
    for (std::uint64_t count = 0; count < consensusFrames; ++count)
        replica.send(former_node::encode({consensusChannel, 0, false, "heartbeat"}));
    EXPECT_TRUE(waitFor([&] { return consensusHandled == consensusFrames; }));
    const former_node submitting = connect("submitting");
    submitting.send(former_node::encode({submitChannel, 1, false, "command"}));
    const std::optional<former_frame> reply = submitting.read();
    EXPECT_TRUE(reply && reply->payload == "served");
    release.set_value();
    flood.join();
}

/// Guards against calls that wait for the log occupying the threads of all others.
TEST_F(links_failures, manyCallsWaitWithoutThreads)
{
    constexpr std::uint64_t waitingCalls = 500;
    std::mutex mutex;
    std::vector<kernel::transport::reply_function> waiting;
    tcp_transport node(m_settings);
    node.handleLater(channel::Submit,
                     [&](std::string_view, std::string_view payload,
                         kernel::transport::reply_function reply) {
                         if (payload == "at once")
                             return reply("answered");
                         const std::scoped_lock guard(mutex);
                         waiting.push_back(std::move(reply));
                     });
    start(node);
    const former_node caller = connect();
    for (std::uint64_t number = 1; number <= waitingCalls; ++number)
        caller.send(former_node::encode({submitChannel, number, false, "wait"}));
    caller.send(former_node::encode({submitChannel, waitingCalls + 1, false, "at once"}));
    const std::optional<former_frame> first = caller.read();
    ASSERT_TRUE(first);
    EXPECT_EQ(first->correlation, waitingCalls + 1);
    const std::scoped_lock guard(mutex);
    ASSERT_EQ(waiting.size(), waitingCalls);
    for (const auto &reply : waiting)
        reply("late");
    for (std::uint64_t count = 0; count < waitingCalls; ++count)
        EXPECT_TRUE(caller.read());
}

/// Guards against a reply that comes after the node has stopped.
TEST_F(links_failures, aReplyAfterTheEndOfTheTransportIsDropped)
{
    kernel::transport::reply_function late;
    std::promise<void> entered;
    auto node = std::make_unique<tcp_transport>(m_settings);
    node->handleLater(
            channel::Submit,
            [&](std::string_view, std::string_view, kernel::transport::reply_function reply) {
                late = std::move(reply);
                entered.set_value();
            });
    start(*node);
    const former_node caller = connect();
    caller.send(former_node::encode({submitChannel, 1, false, "wait"}));
    entered.get_future().wait();
    node.reset();
    late("too late");
    EXPECT_TRUE(caller.closedByPeer());
}

/// Guards against connections that break before they are of use holding threads, descriptors or the
/// loop.
TEST_F(links_failures, aBurstOfResetsLeavesNothingBehind)
{
    constexpr std::uint64_t resets = 500;
    tcp_transport node(m_settings);
    node.handle(channel::Submit,
                [](std::string_view, std::string_view) { return std::string("served"); });
    start(node);
    for (std::uint64_t count = 0; count < resets; ++count) {
        former_node former = former_node::connectOnly(port());
        former.send(std::string(count % 40, '\1'));
        former.reset();
    }
    const former_node caller = connect();
    caller.send(former_node::encode({submitChannel, 1, false, "command"}));
    const std::optional<former_frame> reply = caller.read();
    EXPECT_TRUE(reply && reply->payload == "served");
    EXPECT_TRUE(waitFor([&] { return node.counters().linksOpen == 1; }));
}

/// Guards against links to nodes that are gone, which used to stay until the process ended.
TEST_F(links_failures, anIdleLinkIsClosedAndReopensForTheNextMessage)
{
    m_settings.idleTimeout = milliseconds(200);
    const former_listener listener;
    tcp_transport node(m_settings);
    start(node);
    std::thread peer([&] {
        for (int connections = 0; connections < 2; ++connections)
            echo(listener.accept(linkSecret));
    });
    EXPECT_EQ(call(node, listener.name(), "one"), "one");
    EXPECT_EQ(node.counters().linksOpen, 1U);
    EXPECT_TRUE(waitFor([&] { return node.counters().linksOpen == 0; }));
    EXPECT_EQ(call(node, listener.name(), "two"), "two");
    EXPECT_EQ(node.counters().linksOpen, 1U);
    EXPECT_TRUE(waitFor([&] { return node.counters().linksOpen == 0; }));
    peer.join();
}

/// Guards against connections of peers that vanished without a word.
TEST_F(links_failures, anInboundConnectionThatCarriesNothingIsClosed)
{
    m_settings.idleTimeout = milliseconds(50);
    tcp_transport node(m_settings);
    start(node);
    const former_node silent = connect();
    EXPECT_TRUE(silent.closedByPeer());
}

/// Guards against threads that grow with the fleet: there were two for each peer and channel, and
/// one for each accepted connection.
TEST_F(links_failures, threeHundredLinksInEachDirectionAddNoThreads)
{
    constexpr int peers = 300;
    const int threadsBefore = threadsOfProcess();
    tcp_transport node(m_settings);
    node.handle(channel::Consensus,
                [](std::string_view, std::string_view) { return std::string(); });
    node.handle(channel::Submit,
                [](std::string_view, std::string_view) { return std::string("served"); });
    start(node);
    std::vector<std::unique_ptr<former_listener>> listeners;
    std::vector<former_node> connections;
    for (int peer = 0; peer < peers; ++peer) {
        listeners.push_back(std::make_unique<former_listener>());
        node.post(listeners.back()->name(), channel::Load, "hello");
        connections.push_back(listeners.back()->accept(linkSecret));
        const std::optional<former_frame> received = connections.back().read();
        ASSERT_TRUE(received && received->payload == "hello") << peer;
        connections.push_back(connect("peer " + std::to_string(peer)));
        connections.back().send(former_node::encode({submitChannel, 1, false, "command"}));
        ASSERT_TRUE(connections.back().read()) << peer;
    }
    EXPECT_EQ(node.counters().linksOpen, 2U * peers);
    EXPECT_LE(threadsOfProcess() - threadsBefore, maxThreadsOfTransport);
}

/// Guards against a thread that waits for each peer that cannot be reached.
TEST_F(links_failures, unreachablePeersHoldNoThread)
{
    const int threadsBefore = threadsOfProcess();
    tcp_transport node(m_settings);
    start(node);
    const former_listener silent; // accepts connections and never answers
    for (int peer = 0; peer < 100; ++peer)
        node.post("127.0.0.1:" + std::to_string(fakes::freePort()), channel::Load, "lost");
    node.post(silent.name(), channel::Load, "waits");
    EXPECT_LE(threadsOfProcess() - threadsBefore, maxThreadsOfTransport);
    EXPECT_TRUE(waitFor([&] { return node.counters().framesLost >= 100; }));
}

} // namespace yuccascale::wire
