#include "yuccascale/kernel/requests/event_stream.hpp"

#include <utility>

namespace yuccascale::kernel::requests {

std::vector<std::string> sse_data_parser::feed(std::string_view bytes)
{
    std::vector<std::string> complete;
    while (!bytes.empty()) {
        const std::size_t lineEnd = bytes.find('\n');
        if (lineEnd == std::string_view::npos) {
            m_line += bytes;
            break;
        }
        m_line += bytes.substr(0, lineEnd);
        bytes.remove_prefix(lineEnd + 1);
        endLine(complete);
    }
    return complete;
}

void sse_data_parser::endLine(std::vector<std::string> &out)
{
    if (!m_line.empty() && m_line.back() == '\r')
        m_line.pop_back();
    if (m_line.empty()) {
        if (m_hasData)
            out.push_back(std::exchange(m_data, {}));
        m_hasData = false;
        return;
    }
    static constexpr std::string_view dataField = "data:";
    if (m_line.starts_with(dataField)) {
        std::string_view value = std::string_view(m_line).substr(dataField.size());
        if (value.starts_with(' '))
            value.remove_prefix(1);
        if (m_hasData)
            m_data += '\n';
        m_data += value;
        m_hasData = true;
    }
    m_line.clear();
}

std::string formatSseEvent(std::string_view data)
{
    std::string event = "data: ";
    event += data;
    event += "\n\n";
    return event;
}

} // namespace yuccascale::kernel::requests
