#include "unit/links_fixture.hpp"

#include <mutex>
#include <vector>

namespace yuccascale::wire {

using fakes::former_frame;
using fakes::former_listener;
using fakes::former_node;
using kernel::channel;

namespace {

constexpr auto submitChannel = static_cast<std::uint8_t>(channel::Submit);
constexpr auto feedChannel = static_cast<std::uint8_t>(channel::Feed);
constexpr auto consensusChannel = static_cast<std::uint8_t>(channel::Consensus);

class former_build : public links_test
{ };

/// Payloads in the order in which they were handled.
class handled_payloads
{
public:
    [[nodiscard]] kernel::transport::handler handler()
    {
        return [this](std::string_view, std::string_view payload) {
            const std::scoped_lock guard(m_mutex);
            m_payloads.emplace_back(payload);
            return std::string();
        };
    }
    [[nodiscard]] std::vector<std::string> all() const
    {
        const std::scoped_lock guard(m_mutex);
        return m_payloads;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_payloads;
};

std::vector<std::string> numbersUpTo(int count)
{
    std::vector<std::string> numbers;
    numbers.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        numbers.push_back(std::to_string(number));
    return numbers;
}

} // namespace

/// Guards against a change of the handshake or of frames that a previous build could not answer.
TEST_F(former_build, isAnsweredWhenItCalls)
{
    tcp_transport node(m_settings);
    node.handle(channel::Submit, [](std::string_view peer, std::string_view payload) {
        return std::string(peer) + " said " + std::string(payload);
    });
    start(node);
    const former_node former = connect();
    ASSERT_TRUE(former.isOpen());
    ASSERT_TRUE(former.send(former_node::encode({submitChannel, 7, false, "ping"})));
    const std::optional<former_frame> reply = former.read();
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->payload, "former said ping");
    EXPECT_EQ(reply->correlation, 7U);
    EXPECT_EQ(reply->channel, submitChannel);
    EXPECT_TRUE(reply->reply);
}

/// Guards against a change of what this build sends when it connects.
TEST_F(former_build, answersACallOfThisBuild)
{
    const former_listener listener;
    tcp_transport node(m_settings);
    start(node);
    std::thread former([&] {
        const former_node accepted = listener.accept(linkSecret);
        const std::optional<former_frame> request = accepted.read();
        if (!request || request->reply || request->channel != submitChannel)
            return;
        accepted.send(former_node::encode(
                {submitChannel, request->correlation, true, "echo " + request->payload}));
        static_cast<void>(accepted.closedByPeer());
    });
    EXPECT_EQ(call(node, listener.name(), "ping"), "echo ping");
    node.stop();
    former.join();
}

/// Guards against a connection that moves to another loop losing or reordering the frames that were
/// read with its first one.
TEST_F(former_build, consensusFramesSentAtOnceAreHandledInOrder)
{
    constexpr int frames = 2'000;
    handled_payloads handled;
    tcp_transport node(m_settings);
    node.handle(channel::Consensus, handled.handler());
    start(node);
    const former_node former = connect();
    std::string bytes;
    for (int number = 0; number < frames; ++number)
        bytes += former_node::encode({consensusChannel, 0, false, std::to_string(number)});
    ASSERT_TRUE(former.send(bytes));
    ASSERT_TRUE(waitFor([&] { return handled.all().size() == frames; }));
    EXPECT_EQ(handled.all(), numbersUpTo(frames));
}

/// Guards against posts that are handled by several threads at once.
TEST_F(former_build, postsOfAChannelAreHandledInTheOrderSent)
{
    constexpr int frames = 5'000;
    handled_payloads handled;
    tcp_transport node(m_settings);
    node.handle(channel::Feed, handled.handler());
    start(node);
    const former_node former = connect();
    for (int number = 0; number < frames; ++number)
        ASSERT_TRUE(
                former.send(former_node::encode({feedChannel, 0, false, std::to_string(number)})));
    ASSERT_TRUE(waitFor([&] { return handled.all().size() == frames; }));
    EXPECT_EQ(handled.all(), numbersUpTo(frames));
}

/// Guards against taking the bytes that arrive together for whole frames.
TEST_F(former_build, framesInPiecesAreAssembledAndOneThatIsCutShortIsNotHandled)
{
    handled_payloads handled;
    tcp_transport node(m_settings);
    node.handle(channel::Feed, handled.handler());
    start(node);
    former_node former = connect();
    const std::string whole = former_node::encode({feedChannel, 0, false, "whole"});
    for (const char byte : whole) {
        ASSERT_TRUE(former.send(std::string_view(&byte, 1)));
        std::this_thread::sleep_for(milliseconds(1));
    }
    const std::string cut = former_node::encode({feedChannel, 0, false, "cut"});
    ASSERT_TRUE(former.send(whole + cut.substr(0, cut.size() / 2)));
    former.close();
    const former_node next = connect();
    ASSERT_TRUE(next.send(former_node::encode({feedChannel, 0, false, "next"})));
    ASSERT_TRUE(waitFor([&] { return handled.all().size() == 3; }));
    EXPECT_EQ(handled.all(), (std::vector<std::string>{"whole", "whole", "next"}));
}

/// Guards against a peer that announces a frame beyond the limit and is read on.
TEST_F(former_build, aFrameThatIsTooLongClosesTheConnection)
{
    tcp_transport node(m_settings);
    start(node);
    const former_node former = connect();
    ASSERT_TRUE(former.send(std::string(4, '\xff')));
    EXPECT_TRUE(former.closedByPeer());
}

} // namespace yuccascale::wire
