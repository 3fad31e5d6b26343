#include "fakes/former_node.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <utility>

namespace yuccascale::fakes {

namespace {

constexpr int waitMs = 5'000;
constexpr std::size_t nonceBytes = 16;

struct hello
{
    std::string node;
    std::string nonce;
    std::string proof;
};

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// A FlatBuffer that is written from front to back; offsets point forward, the table's back to its
/// layout.
class table_bytes
{
public:
    void number(std::uint64_t value, std::size_t size)
    {
        for (std::size_t index = 0; index < size; ++index)
            m_bytes.push_back(static_cast<char>(value >> (8 * index)));
    }
    void pad(std::size_t alignment)
    {
        while (m_bytes.size() % alignment != 0)
            m_bytes.push_back('\0');
    }
    void setOffset(std::size_t at)
    {
        const auto value = static_cast<std::uint32_t>(m_bytes.size() - at);
        std::memcpy(m_bytes.data() + at, &value, sizeof value);
    }
    void vector(std::string_view content, bool terminated)
    {
        number(content.size(), 4);
        m_bytes += content;
        if (terminated)
            m_bytes.push_back('\0');
    }
    [[nodiscard]] std::size_t size() const noexcept { return m_bytes.size(); }
    [[nodiscard]] std::string withPrefix() const
    {
        const auto size = static_cast<std::uint32_t>(m_bytes.size());
        return std::string(reinterpret_cast<const char *>(&size), sizeof size) + m_bytes;
    }

private:
    std::string m_bytes;
};

std::string encodeHello(const hello &message)
{
    table_bytes out;
    out.number(16, 4); // the table
    out.number(10, 2); // its layout: own size, the table's size, three fields
    out.number(16, 2);
    out.number(4, 2);
    out.number(8, 2);
    out.number(12, 2);
    out.pad(4);
    out.number(12, 4); // back to the layout
    for (int field = 0; field < 3; ++field)
        out.number(0, 4);
    const std::array<std::string_view, 3> contents{message.node, message.nonce, message.proof};
    for (std::size_t field = 0; field < contents.size(); ++field) {
        out.pad(4);
        out.setOffset(20 + 4 * field);
        out.vector(contents.at(field), field == 0);
    }
    out.pad(4);
    return out.withPrefix();
}

template<typename Number>
Number numberAt(std::string_view bytes, std::size_t at)
{
    Number value{};
    if (at + sizeof value <= bytes.size())
        std::memcpy(&value, bytes.data() + at, sizeof value);
    return value;
}

/// \returns where a field of the root table lies; 0 when it is absent.
std::size_t fieldAt(std::string_view bytes, std::size_t field)
{
    const std::size_t table = numberAt<std::uint32_t>(bytes, 0);
    const std::size_t layout = table - numberAt<std::int32_t>(bytes, table);
    const std::size_t entry = 4 + 2 * field;
    if (entry >= numberAt<std::uint16_t>(bytes, layout))
        return 0;
    const std::size_t offset = numberAt<std::uint16_t>(bytes, layout + entry);
    return offset == 0 ? 0 : table + offset;
}

std::string vectorField(std::string_view bytes, std::size_t field)
{
    const std::size_t at = fieldAt(bytes, field);
    if (at == 0)
        return {};
    const std::size_t vector = at + numberAt<std::uint32_t>(bytes, at);
    return std::string(bytes.substr(vector + 4, numberAt<std::uint32_t>(bytes, vector)));
}

hello decodeHello(std::string_view bytes)
{
    return {vectorField(bytes, 0), vectorField(bytes, 1), vectorField(bytes, 2)};
}

std::string proofOf(std::string_view secret, std::string_view prover, std::string_view verifier,
                    std::string_view firstNonce, std::string_view secondNonce)
{
    std::string text;
    for (const std::string_view part : {prover, verifier, firstNonce, secondNonce})
        text += std::to_string(part.size()) + ":" + std::string(part);
    std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), out.data(), &size);
    return {reinterpret_cast<const char *>(out.data()), size};
}

} // namespace

former_node former_node::connectOnly(int port)
{
    former_node out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int enabled = 1;
    ::setsockopt(out.m_descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    const sockaddr_in address = loopback(port);
    if (::connect(out.m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address)
        != 0)
        out.close();
    return out;
}

former_node former_node::connect(int port, std::string_view self, std::string_view peer,
                                 std::string_view secret)
{
    former_node out = connectOnly(port);
    const std::string nonce(nonceBytes, 'c');
    out.send(encodeHello({std::string(self), nonce, {}}));
    const std::optional<std::string> answer = out.readMessage();
    const hello received = answer ? decodeHello(*answer) : hello{};
    if (received.node != peer
        || received.proof != proofOf(secret, peer, self, nonce, received.nonce)) {
        out.close();
        return out;
    }
    out.send(encodeHello(
            {std::string(self), {}, proofOf(secret, self, peer, received.nonce, nonce)}));
    return out;
}

former_node former_node::accept(int descriptor, std::string_view self, std::string_view secret)
{
    former_node out(descriptor);
    const std::optional<std::string> first = out.readMessage();
    const hello client = first ? decodeHello(*first) : hello{};
    const std::string nonce(nonceBytes, 's');
    out.send(encodeHello(
            {std::string(self), nonce, proofOf(secret, self, client.node, client.nonce, nonce)}));
    const std::optional<std::string> second = out.readMessage();
    const hello proof = second ? decodeHello(*second) : hello{};
    if (proof.proof != proofOf(secret, client.node, self, nonce, client.nonce))
        out.close();
    return out;
}

former_node::former_node(former_node &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{ }

former_node &former_node::operator=(former_node &&other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

std::string former_node::encode(const former_frame &frame)
{
    table_bytes out;
    out.number(20, 4); // the table
    out.number(12, 2); // its layout: own size, the table's size, four fields
    out.number(18, 2);
    out.number(16, 2);
    out.number(4, 2);
    out.number(17, 2);
    out.number(12, 2);
    out.number(0, 4);  // keeps the correlation aligned
    out.number(16, 4); // back to the layout
    out.number(frame.correlation, 8);
    out.number(0, 4); // payload
    out.number(frame.channel, 1);
    out.number(frame.reply ? 1 : 0, 1);
    out.pad(4);
    out.setOffset(32);
    out.vector(frame.payload, false);
    out.pad(4);
    return out.withPrefix();
}

bool former_node::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool former_node::readExactly(char *out, std::size_t size) const
{
    while (size > 0) {
        pollfd request{m_descriptor, POLLIN, 0};
        if (::poll(&request, 1, waitMs) <= 0)
            return false;
        const ssize_t count = ::recv(m_descriptor, out, size, 0);
        if (count <= 0)
            return false;
        out += count;
        size -= static_cast<std::size_t>(count);
    }
    return true;
}

std::optional<std::string> former_node::readMessage() const
{
    std::uint32_t size = 0;
    if (!readExactly(reinterpret_cast<char *>(&size), sizeof size))
        return std::nullopt;
    std::string bytes(size, '\0');
    if (!readExactly(bytes.data(), size))
        return std::nullopt;
    return bytes;
}

std::optional<former_frame> former_node::read() const
{
    const std::optional<std::string> bytes = readMessage();
    if (!bytes)
        return std::nullopt;
    former_frame out;
    if (const std::size_t at = fieldAt(*bytes, 0); at != 0)
        out.channel = numberAt<std::uint8_t>(*bytes, at);
    if (const std::size_t at = fieldAt(*bytes, 1); at != 0)
        out.correlation = numberAt<std::uint64_t>(*bytes, at);
    if (const std::size_t at = fieldAt(*bytes, 2); at != 0)
        out.reply = numberAt<std::uint8_t>(*bytes, at) != 0;
    out.payload = vectorField(*bytes, 3);
    return out;
}

bool former_node::closedByPeer() const
{
    std::array<char, 4'096> buffer{};
    while (true) {
        pollfd request{m_descriptor, POLLIN, 0};
        if (::poll(&request, 1, waitMs) <= 0)
            return false;
        if (::recv(m_descriptor, buffer.data(), buffer.size(), 0) <= 0)
            return true;
    }
}

void former_node::close() noexcept
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

void former_node::reset() noexcept
{
    const linger abortive{1, 0};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
    close();
}

former_listener::former_listener()
    : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    constexpr int backlog = 64;
    sockaddr_in address = loopback(0);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    socklen_t size = sizeof address;
    (void)::bind(m_descriptor, generic, size);
    (void)::listen(m_descriptor, backlog);
    (void)::getsockname(m_descriptor, generic, &size);
    m_port = ntohs(address.sin_port);
}

former_listener::~former_listener()
{
    ::close(m_descriptor);
}

int former_listener::acceptDescriptor() const
{
    pollfd request{m_descriptor, POLLIN, 0};
    if (::poll(&request, 1, waitMs) <= 0)
        return -1;
    return ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
}

former_node former_listener::accept(std::string_view secret) const
{
    return former_node::accept(acceptDescriptor(), name(), secret);
}

} // namespace yuccascale::fakes
