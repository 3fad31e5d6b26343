#include "yuccascale/wire/send_queue.hpp"

#include <utility>

namespace yuccascale::wire {

void send_queue::add(queued_frame frame)
{
    m_bytes += frame.bytes.size();
    m_frames.push_back(std::move(frame));
}

void send_queue::addFront(queued_frame frame)
{
    m_bytes += frame.bytes.size();
    m_frames.push_front(std::move(frame));
}

queued_frame send_queue::takeFront()
{
    queued_frame frame = std::move(m_frames.front());
    m_frames.pop_front();
    m_bytes -= frame.bytes.size();
    return frame;
}

template<typename Condition>
std::size_t send_queue::eraseIf(Condition condition)
{
    return std::erase_if(m_frames, [&](const queued_frame &frame) {
        if (!condition(frame))
            return false;
        m_bytes -= frame.bytes.size();
        return true;
    });
}

void send_queue::erase(std::uint64_t correlation)
{
    eraseIf([&](const queued_frame &frame) { return frame.correlation == correlation; });
}

std::size_t send_queue::erasePosts()
{
    return eraseIf([](const queued_frame &frame) { return frame.correlation == 0; });
}

} // namespace yuccascale::wire
