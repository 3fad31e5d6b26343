#pragma once

#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Server-sent events that are passed on byte for byte.

namespace yuccascale::kernel::requests {

/// \brief One event as it came, with the empty line that ends it.
struct sse_event
{
    std::string bytes;
    std::string id; ///< value of its id field; empty when it has none
};

/// \brief Cuts a byte stream into whole events. An event that is broken off is never given out.
class sse_event_splitter
{
public:
    /// \param bytes the next bytes, cut anywhere
    /// \returns the events that they complete.
    [[nodiscard]] std::vector<sse_event> feed(std::string_view bytes);

    /// \returns bytes of an event that is not complete.
    [[nodiscard]] std::size_t pending() const noexcept { return m_pending.size(); }

private:
    std::string m_pending;
    std::size_t m_lineStart = 0; ///< of the line under way
    std::string m_id;
};

} // namespace yuccascale::kernel::requests
