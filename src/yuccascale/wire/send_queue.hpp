#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

/// \file
/// \brief Frames that wait to be written.

namespace yuccascale::wire {

/// \brief An encoded frame with its length prefix.
struct queued_frame
{
    std::string bytes;
    std::uint64_t correlation = 0; ///< 0: a post
};

/// \brief A queue that is bounded in frames and bytes. Not thread-safe.
class send_queue
{
public:
    send_queue(std::size_t maxFrames, std::size_t maxBytes)
        : m_maxFrames(maxFrames)
        , m_maxBytes(maxBytes)
    { }

    /// \returns whether a frame of \a bytes may be added; a single frame of any size may.
    [[nodiscard]] bool hasRoomFor(std::size_t bytes) const noexcept
    {
        return m_frames.empty() || (m_frames.size() < m_maxFrames && m_bytes + bytes <= m_maxBytes);
    }

    [[nodiscard]] bool empty() const noexcept { return m_frames.empty(); }
    [[nodiscard]] const queued_frame &front() const noexcept { return m_frames.front(); }

    void add(queued_frame frame);

    /// \brief Returns a frame that was taken and not sent; the bounds do not apply.
    void addFront(queued_frame frame);

    [[nodiscard]] queued_frame takeFront();

    /// \brief Removes the frame of a call.
    void erase(std::uint64_t correlation);

    /// \brief Removes all posts.
    /// \returns how many there were.
    std::size_t erasePosts();

private:
    template<typename Condition>
    std::size_t eraseIf(Condition condition);

    std::size_t m_maxFrames;
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::deque<queued_frame> m_frames;
};

} // namespace yuccascale::wire
