#pragma once

#include <atomic>
#include <cstdint>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>

/// \file
/// \brief A stream of lines that outlives failed writes.

namespace yuccascale::runtime {

/// \brief Writes what was put since the last flush at once. What cannot be written is left out and
///        counted; later text is written again, on a line of its own.
class line_buffer final : public std::streambuf
{
public:
    /// \param file descriptor, open for writing; not closed
    /// \param dropped incremented at each flush that failed
    line_buffer(int file, std::atomic<std::uint64_t> &dropped) noexcept
        : m_file(file)
        , m_dropped(dropped)
    { }

protected:
    int_type overflow(int_type character) override;
    std::streamsize xsputn(const char *text, std::streamsize size) override;
    int sync() override;

private:
    [[nodiscard]] bool writeAll(std::string_view text);

    int m_file;
    std::atomic<std::uint64_t> &m_dropped;
    std::string m_pending;
    bool m_insideLine = false; ///< a part of a line was written
};

/// \brief The stream of a line_buffer.
class line_stream final : public std::ostream
{
public:
    /// \param path appended to and created if it is missing; empty: standard error; "-": standard
    ///        output
    /// \param dropped incremented at each flush that failed
    line_stream(const std::string &path, std::atomic<std::uint64_t> &dropped);
    ~line_stream() override;
    line_stream(const line_stream &) = delete;
    line_stream &operator=(const line_stream &) = delete;

private:
    int m_opened; ///< descriptor to close; negative: none
    line_buffer m_buffer;
};

} // namespace yuccascale::runtime
