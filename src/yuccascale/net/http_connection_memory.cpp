#include "yuccascale/net/http_connection_memory.hpp"

#include "yuccascale/net/http_connection.hpp"

#include <algorithm>
#include <chrono>

namespace yuccascale::net {

namespace {

/// Larger allocations are mapped on their own (runtime::returnFreedMemory()), so that what is not
/// written of them takes no memory.
constexpr std::size_t mappedBytes = 64U << 10U;
/// Held for a field of a head, beside its text.
constexpr std::size_t fieldOverheadBytes = 96;
/// Held for a request that runs, beside its body and headers.
constexpr std::size_t requestOverheadBytes = 4U << 10U;

} // namespace

kernel::instant accountTime() noexcept
{
    return kernel::instant(std::chrono::steady_clock::now().time_since_epoch());
}

std::size_t memoryOf(const std::string &text) noexcept
{
    return std::min(text.capacity(), text.size() + mappedBytes);
}

std::size_t memoryOf(const boost::beast::http::request_header<> &head)
{
    std::size_t bytes = 0;
    for (const auto &field : head)
        bytes += fieldOverheadBytes + field.name_string().size() + field.value().size();
    return bytes;
}

std::size_t memoryOf(const http_request &request, std::size_t copiesOfBody)
{
    std::size_t bytes = requestOverheadBytes + request.target.size();
    for (const header_field &field : request.headers)
        bytes += field.name.size() + field.value.size();
    return bytes + copiesOfBody * request.body.size();
}

std::size_t http_server::connection::heldBytes() const
{
    std::size_t bytes = m_buffer.size() > 0 ? m_buffer.capacity() : 0;
    if (m_parser && m_phase == phase::Reading)
        bytes += m_headBytes + memoryOf(m_parser->get().body());
    if (m_writing)
        bytes += memoryOf(m_sending);
    return bytes + m_answerBytes + (m_unsent.empty() ? 0 : memoryOf(m_unsent));
}

/// What was parsed leaves room in the buffer, which would be held until the request has ended.
void http_server::connection::shrinkBuffer()
{
    if (m_buffer.capacity() > maxRetainedBufferBytes && m_buffer.size() < m_buffer.capacity() / 2)
        m_buffer.shrink_to_fit();
}

/// \returns false when the connection has to be shed.
bool http_server::connection::charge()
{
    if (m_phase == phase::Closed)
        return true;
    shrinkBuffer();
    const held_for purpose = m_phase == phase::Reading ? held_for::Body : held_for::Answer;
    return m_account->hold(heldBytes(), accountTime(), purpose);
}

/// What a caller has not sent to its end is refused, since it has not run. An answer that has begun
/// can only be broken off.
void http_server::connection::shed()
{
    const std::size_t held = heldBytes();
    if (m_phase == phase::Closed || held == 0) // freed since it was chosen
        return static_cast<void>(m_account->hold(held, accountTime()));
    if (m_phase == phase::Reading) {
        m_shared->memory->countRefused();
        return refuse(503, "overloaded", memoryMessage);
    }
    m_shared->memory->countClosed();
    handleCallerLeft();
}

} // namespace yuccascale::net
