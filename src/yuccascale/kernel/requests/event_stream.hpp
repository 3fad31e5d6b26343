#pragma once

#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Parses and formats server-sent events.

namespace yuccascale::kernel::requests {

/// \brief Extracts the data of the events in a byte stream. Ignores comments and other fields.
class sse_data_parser
{
public:
    /// \param bytes next bytes of the stream, split at any position
    /// \returns the data of the events completed by \a bytes.
    [[nodiscard]] std::vector<std::string> feed(std::string_view bytes);

    /// \returns the number of buffered bytes of an incomplete event.
    [[nodiscard]] std::size_t pending() const noexcept { return m_line.size() + m_data.size(); }

private:
    void endLine(std::vector<std::string> &out);

    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
};

/// \returns \a data as one server-sent event.
[[nodiscard]] std::string formatSseEvent(std::string_view data);

} // namespace yuccascale::kernel::requests
