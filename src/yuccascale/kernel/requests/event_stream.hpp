#pragma once

#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Server-sent events.

namespace yuccascale::kernel::requests {

/// \brief Cuts a byte stream into the data of its events. Comments and other fields are dropped.
class sse_data_parser
{
public:
    /// \param bytes the next bytes, cut anywhere
    /// \returns the data of the events that they complete.
    [[nodiscard]] std::vector<std::string> feed(std::string_view bytes);

    /// \returns bytes of an event that is not complete.
    [[nodiscard]] std::size_t pending() const noexcept { return m_line.size() + m_data.size(); }

private:
    void endLine(std::vector<std::string> &out);

    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
};

/// \returns one event in its form on the wire.
[[nodiscard]] std::string formatSseEvent(std::string_view data);

} // namespace yuccascale::kernel::requests
