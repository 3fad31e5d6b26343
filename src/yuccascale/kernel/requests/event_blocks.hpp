#pragma once

#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Splits a stream of server-sent events that is forwarded byte for byte.

namespace yuccascale::kernel::requests {

/// \brief One unmodified event, including the empty line that ends it.
struct sse_event
{
    std::string bytes;
    std::string id; ///< value of its id field; empty when it has none
};

/// \brief Splits a byte stream into complete events. An incomplete event is never returned.
class sse_event_splitter
{
public:
    /// \param bytes next bytes of the stream, split at any position
    /// \returns the events completed by \a bytes.
    [[nodiscard]] std::vector<sse_event> feed(std::string_view bytes);

    /// \returns the number of buffered bytes of an incomplete event.
    [[nodiscard]] std::size_t pending() const noexcept { return m_pending.size(); }

private:
    std::string m_pending;
    std::size_t m_lineStart = 0; ///< offset of the current line in m_pending
    std::string m_id;
};

} // namespace yuccascale::kernel::requests
