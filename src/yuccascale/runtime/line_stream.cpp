#include "yuccascale/runtime/line_stream.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace yuccascale::runtime {

namespace {

constexpr int usualMode = 0666;

[[nodiscard]] int openLog(const std::string &path)
{
    if (path.empty() || path == "-")
        return -1;
    return ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, usualMode);
}

[[nodiscard]] int descriptorOf(const std::string &path, int opened) noexcept
{
    if (path.empty())
        return STDERR_FILENO;
    return path == "-" ? STDOUT_FILENO : opened;
}

} // namespace

line_buffer::int_type line_buffer::overflow(int_type character)
{
    if (!traits_type::eq_int_type(character, traits_type::eof()))
        m_pending += traits_type::to_char_type(character);
    return traits_type::not_eof(character);
}

std::streamsize line_buffer::xsputn(const char *text, std::streamsize size)
{
    m_pending.append(text, static_cast<std::size_t>(size));
    return size;
}

int line_buffer::sync()
{
    if (m_pending.empty())
        return 0;
    if (m_insideLine)
        m_pending.insert(0, 1, '\n');
    if (!writeAll(std::exchange(m_pending, {})))
        ++m_dropped;
    return 0;
}

bool line_buffer::writeAll(std::string_view text)
{
    while (!text.empty()) {
        const ssize_t written = ::write(m_file, text.data(), text.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0)
            return false;
        m_insideLine = static_cast<std::size_t>(written) < text.size();
        text.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

line_stream::line_stream(const std::string &path, std::atomic<std::uint64_t> &dropped)
    : std::ostream(nullptr)
    , m_opened(openLog(path))
    , m_buffer(descriptorOf(path, m_opened), dropped)
{
    rdbuf(&m_buffer);
}

line_stream::~line_stream()
{
    flush();
    if (m_opened >= 0)
        ::close(m_opened);
}

} // namespace yuccascale::runtime
