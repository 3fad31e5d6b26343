#include "yuccascale/wire/inbound_connection.hpp"

#include <utility>

namespace yuccascale::wire {

namespace {

constexpr kernel::milliseconds handshakeTimeout{1'000};
/// Posts of a connection that wait for their handler; beyond it the connection is not read.
constexpr std::size_t maxWaitingPosts = 1'024;
constexpr std::size_t maxWaitingPostBytes = std::size_t{4} << 20U;
/// Posts handled before other connections get their turn.
constexpr std::size_t maxPostsInTurn = 64;
/// Replies are joined into one write up to this size; a longer one is written alone.
constexpr std::size_t maxJoinedBytes = std::size_t{64} << 10U;
/// The connecting side closes idle links. This closes those of nodes that disappeared, and of
/// previous builds, which keep their links.
constexpr int idleTimeoutFactor = 5;

} // namespace

inbound_connection::inbound_connection(inbound_connections &owner, link_loop &loop,
                                       tcp::socket stream)
    : framed_connection(owner.m_settings, owner.m_counters, loop, std::move(stream))
    , m_owner(owner)
    , m_handshake(owner.m_settings.self, owner.m_settings.secret)
    , m_stateSince(std::chrono::steady_clock::now())
    , m_replies(owner.m_settings.maxQueuedFrames, owner.m_settings.maxQueuedBytes)
{ }

std::shared_ptr<inbound_connection> inbound_connection::self()
{
    return std::static_pointer_cast<inbound_connection>(shared_from_this());
}

void inbound_connection::start()
{
    begin();
}

void inbound_connection::goOn(const std::string &peer, std::string_view unread)
{
    open(peer);
    begin(unread);
}

void inbound_connection::open(const std::string &peer)
{
    m_peer = peer;
    m_state = state::Open;
    m_movable = &m_loop != &m_owner.m_loops.consensus;
    reader().setLimit(maxFrameBytes);
    ++m_counters.linksOpen;
}

framed_connection::next_step inbound_connection::received(std::string message)
{
    if (m_state == state::Proof)
        return receivedProof(message);
    if (m_state == state::Hello) {
        std::optional<std::string> answer = m_handshake.answer(message);
        if (!answer)
            return next_step::Close;
        m_handshakeOutput = std::move(*answer);
        m_state = state::Proof;
        m_stateSince = std::chrono::steady_clock::now();
        flush();
        return next_step::Read;
    }
    std::optional<frame> decoded = decodeFrame(message);
    return decoded ? receivedFrame(std::move(*decoded)) : next_step::Close;
}

framed_connection::next_step inbound_connection::receivedProof(const std::string &message)
{
    const std::optional<std::string> peer = m_handshake.accept(message);
    if (!peer)
        return next_step::Close;
    open(*peer);
    return next_step::Read;
}

framed_connection::next_step inbound_connection::receivedFrame(frame received)
{
    m_counters.bytesReceived += received.payload.size();
    ++m_counters.framesReceived;
    if (!m_owner.m_handlers.contains(received.channel))
        return next_step::Read;
    const bool first = std::exchange(m_movable, false);
    if (received.channel == kernel::channel::Consensus) {
        handle(received);
        return first && leave() ? next_step::Leave : next_step::Read;
    }
    if (received.correlation == 0)
        return queuePost(std::move(received));
    queueCall(std::move(received));
    return next_step::Read;
}

/// Moves a connection whose first frame is of consensus to its loop. \returns false when it cannot
/// move now.
bool inbound_connection::leave()
{
    const int descriptor = releaseSocket();
    if (descriptor < 0)
        return false;
    --m_counters.linksOpen;
    m_owner.moveToConsensusLoop(descriptor, m_peer, std::string(unread()));
    m_owner.remove(self());
    return true;
}

void inbound_connection::handle(const frame &received)
{
    const auto handler = m_owner.m_handlers.find(received.channel);
    if (received.correlation == 0)
        return handler->second(m_peer, received.payload, [](const std::string &) {});
    handler->second(
            m_peer, received.payload,
            [weak = std::weak_ptr(self()), gate = m_owner.m_gate, channel = received.channel,
             correlation = received.correlation](std::string answer) {
                std::string bytes = encodeFrame({channel, correlation, true, std::move(answer)});
                const std::lock_guard lock(gate->mutex);
                if (!gate->open)
                    return;
                if (const std::shared_ptr<inbound_connection> connection = weak.lock())
                    connection->reply(std::move(bytes));
            });
}

framed_connection::next_step inbound_connection::queuePost(frame received)
{
    const kernel::channel channel = received.channel;
    const std::lock_guard lock(m_mutex);
    m_postBytes += received.payload.size();
    m_posts.push_back(std::move(received));
    if (!m_postsScheduled)
        schedulePosts(channel);
    m_postsPaused = m_posts.size() >= maxWaitingPosts || m_postBytes >= maxWaitingPostBytes;
    return m_postsPaused ? next_step::Pause : next_step::Read;
}

/// Requires m_mutex to be held.
void inbound_connection::schedulePosts(kernel::channel channel)
{
    m_postsScheduled = true;
    m_owner.m_threads.run(channel, [self = self()] { self->handlePosts(); });
}

void inbound_connection::handlePosts()
{
    std::unique_lock lock(m_mutex);
    for (std::size_t count = 0; count < maxPostsInTurn && !m_posts.empty(); ++count) {
        const frame next = std::move(m_posts.front());
        m_posts.pop_front();
        m_postBytes -= next.payload.size();
        lock.unlock();
        handle(next);
        lock.lock();
    }
    m_postsScheduled = false;
    if (!m_posts.empty())
        schedulePosts(m_posts.front().channel);
    const bool roomAgain
            = m_posts.size() <= maxWaitingPosts / 2 && m_postBytes <= maxWaitingPostBytes / 2;
    if (m_postsPaused && roomAgain) {
        m_postsPaused = false;
        m_loop.post([self = self()] { self->resume(); });
    }
}

void inbound_connection::queueCall(frame received)
{
    const kernel::channel channel = received.channel;
    const bool queued = m_owner.m_threads.tryRun(
            channel, [self = self(), call = std::move(received)] { self->handle(call); });
    if (!queued)
        ++m_counters.framesDropped;
}

/// A peer that asks and does not read the answers is not worth the memory.
void inbound_connection::reply(std::string bytes)
{
    const std::lock_guard lock(m_mutex);
    if (!m_replies.hasRoomFor(bytes.size())) {
        ++m_counters.framesDropped;
        m_loop.post([self = self()] { self->close(); });
        return;
    }
    m_replies.add({std::move(bytes), 0});
    if (std::exchange(m_flushRequested, true))
        return;
    m_loop.post([self = self()] { self->flush(); });
}

std::string inbound_connection::nextOutput()
{
    if (!m_handshakeOutput.empty())
        return std::exchange(m_handshakeOutput, {});
    std::string output;
    const std::lock_guard lock(m_mutex);
    m_flushRequested = false;
    while (!m_replies.empty()
           && (output.empty()
               || output.size() + m_replies.front().bytes.size() <= maxJoinedBytes)) {
        output += m_replies.takeFront().bytes;
        ++m_counters.framesSent;
    }
    return output;
}

void inbound_connection::closed()
{
    if (m_state == state::Open)
        --m_counters.linksOpen;
    else
        ++m_counters.peersRefused;
    m_owner.remove(self());
}

loop_time inbound_connection::closeAt() const
{
    if (m_state != state::Open)
        return m_stateSince + handshakeTimeout;
    return lastActivity() + idleTimeoutFactor * m_settings.idleTimeout;
}

} // namespace yuccascale::wire
