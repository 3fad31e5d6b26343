#include "fakes/free_port.hpp"
#include "yuccascale/wire/framing.hpp"
#include "yuccascale/wire/tcp_transport.hpp"

#include <gtest/gtest.h>

#include <cstring>
#include <future>
#include <random>

namespace yuccascale::wire {

using kernel::channel;
using kernel::error_kind;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds callTimeout{5'000};

transport_settings settingsOf(const std::string &self, std::uint16_t ownPort,
                              const std::string &peer, std::uint16_t peerPort)
{
    transport_settings settings;
    settings.self = self;
    settings.listen = {"127.0.0.1", ownPort};
    settings.peers[peer] = {"127.0.0.1", peerPort};
    settings.secret = "a cluster secret of the test";
    return settings;
}

/// Two nodes on the loopback interface.
class tcp_transport_test : public testing::Test
{
protected:
    std::uint16_t m_onePort = fakes::freePort();
    std::uint16_t m_otherPort = fakes::freePort();
    transport_settings m_oneSettings = settingsOf("one", m_onePort, "other", m_otherPort);
    transport_settings m_otherSettings = settingsOf("other", m_otherPort, "one", m_onePort);

    static kernel::error failureOf(tcp_transport &from, const std::string &peer,
                                   milliseconds timeout)
    {
        kernel::error problem;
        EXPECT_FALSE(kernel::succeeded(
                [&] { return from.call(peer, channel::Submit, "ping", timeout); }, problem));
        return problem;
    }

    static void start(tcp_transport &transport)
    {
        kernel::error problem;
        EXPECT_TRUE(kernel::succeeded([&] { return transport.start(); }, problem))
                << problem.message;
    }
};

} // namespace

TEST_F(tcp_transport_test, aCallReturnsTheReplyAndNamesTheAuthenticatedCaller)
{
    tcp_transport one(m_oneSettings);
    tcp_transport other(m_otherSettings);
    other.handle(channel::Submit, [](std::string_view peer, std::string_view payload) {
        return std::string(peer) + " said " + std::string(payload);
    });
    start(one);
    start(other);
    std::string reply;
    kernel::error problem;
    ASSERT_TRUE(kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_ASSIGN(reply, one.call("other", channel::Submit, "ping", callTimeout));
                return {};
            },
            problem));
    EXPECT_EQ(reply, "one said ping");
}

TEST_F(tcp_transport_test, aPostArrives)
{
    tcp_transport one(m_oneSettings);
    tcp_transport other(m_otherSettings);
    std::promise<std::string> received;
    other.handle(channel::Feed, [&](std::string_view, std::string_view payload) {
        received.set_value(std::string(payload));
        return std::string();
    });
    start(one);
    start(other);
    one.post("other", channel::Feed, "news");
    auto arrived = received.get_future();
    ASSERT_EQ(arrived.wait_for(callTimeout), std::future_status::ready);
    EXPECT_EQ(arrived.get(), "news");
}

TEST_F(tcp_transport_test, aPeerWithAnotherSecretIsRefused)
{
    m_otherSettings.secret = "another secret altogether";
    tcp_transport one(m_oneSettings);
    tcp_transport other(m_otherSettings);
    bool ran = false;
    other.handle(channel::Submit, [&](std::string_view, std::string_view) {
        ran = true;
        return std::string();
    });
    start(one);
    start(other);
    EXPECT_EQ(failureOf(one, "other", milliseconds(500)).kind, error_kind::Unavailable);
    EXPECT_FALSE(ran);
}

TEST_F(tcp_transport_test, aCallToAnUnreachablePeerReturnsUnavailable)
{
    tcp_transport one(m_oneSettings);
    start(one);
    EXPECT_EQ(failureOf(one, "other", milliseconds(300)).kind, error_kind::Unavailable);
    EXPECT_EQ(failureOf(one, "nobody", milliseconds(300)).kind, error_kind::Unavailable);
}

TEST_F(tcp_transport_test, aCallWithoutAReplyInTimeReturnsOutcomeUnknown)
{
    tcp_transport one(m_oneSettings);
    tcp_transport other(m_otherSettings);
    std::promise<void> release;
    std::promise<void> entered;
    other.handle(channel::Submit, [&](std::string_view, std::string_view) {
        entered.set_value();
        release.get_future().wait();
        return std::string("late");
    });
    start(one);
    start(other);
    auto call = std::async(std::launch::async,
                           [&] { return failureOf(one, "other", milliseconds(1'000)).kind; });
    entered.get_future().wait();
    EXPECT_EQ(call.get(), error_kind::OutcomeUnknown);
    release.set_value();
}

/// Guards against waiting for a peer that is frozen as long as for one whose long reply is
/// arriving.
TEST_F(tcp_transport_test, aCallEndsWhenNothingArrivesAndNotWhileALongReplyArrives)
{
    tcp_transport one(m_oneSettings);
    tcp_transport other(m_otherSettings);
    std::string longReply(24U << 20U, 'x');
    std::promise<void> release;
    other.handle(channel::Submit,
                 [&, released = release.get_future().share()](std::string_view,
                                                              std::string_view payload) {
                     if (payload == "ping")
                         released.wait();
                     return longReply;
                 });
    start(one);
    start(other);
    const auto startedAt = std::chrono::steady_clock::now();
    kernel::error problem;
    EXPECT_FALSE(kernel::succeeded(
            [&] {
                return one.call("other", channel::Submit, "ping",
                                kernel::call_timeout{std::chrono::hours(1), milliseconds(200)});
            },
            problem));
    EXPECT_EQ(problem.kind, error_kind::OutcomeUnknown);
    EXPECT_LT(std::chrono::steady_clock::now() - startedAt, callTimeout);
    release.set_value();
    std::string reply;
    ASSERT_TRUE(kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_ASSIGN(reply,
                                  one.call("other", channel::Submit, "long",
                                           kernel::call_timeout{callTimeout, callTimeout}));
                return {};
            },
            problem))
            << problem.message;
    EXPECT_EQ(reply.size(), longReply.size());
}

TEST_F(tcp_transport_test, anOversizedOrMalformedHandshakeClosesOnlyThatConnection)
{
    tcp_transport one(m_oneSettings);
    tcp_transport other(m_otherSettings);
    other.handle(channel::Submit,
                 [](std::string_view, std::string_view) { return std::string("served"); });
    start(one);
    start(other);
    kernel::error problem;
    ASSERT_TRUE(kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_AUTO(rawConnection,
                                socket::connect({"127.0.0.1", m_otherPort}, milliseconds(500),
                                                milliseconds(500)));
                rawConnection.setReadTimeout(callTimeout);
                EXPECT_TRUE(rawConnection.writeAll(std::string(64, '\xff')));
                char byte = 0;
                EXPECT_FALSE(rawConnection.readExactly(&byte, 1));
                BOOST_LEAF_AUTO(reply, one.call("other", channel::Submit, "ping", callTimeout));
                EXPECT_EQ(reply, "served");
                return {};
            },
            problem));
    EXPECT_EQ(other.counters().peersRefused, 1U);
}

TEST(framing_test, corruptedFramesNeverDecodeToMoreBytesThanTheyHold)
{
    std::mt19937 random(20261203);
    const std::string validFrame = encodeFrame({channel::Submit, 7, true, "payload"}).substr(4);
    for (int round = 0; round < 20'000; ++round) {
        std::string bytes = validFrame;
        const std::size_t changes = 1 + random() % 4;
        for (std::size_t change = 0; change < changes; ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        const std::optional<frame> decoded = decodeFrame(bytes);
        EXPECT_TRUE(!decoded || decoded->payload.size() <= bytes.size());
    }
}

} // namespace yuccascale::wire
