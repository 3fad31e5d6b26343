#include "yuccascale/kernel/requests/event_blocks.hpp"

#include <utility>

namespace yuccascale::kernel::requests {

namespace {

[[nodiscard]] std::string_view withoutReturn(std::string_view line) noexcept
{
    return line.ends_with('\r') ? line.substr(0, line.size() - 1) : line;
}

} // namespace

std::vector<sse_event> sse_event_splitter::feed(std::string_view bytes)
{
    constexpr std::string_view idField = "id:";
    std::vector<sse_event> out;
    for (const char character : bytes) {
        m_pending.push_back(character);
        if (character != '\n')
            continue;
        const std::string_view all = m_pending;
        const std::string_view line
                = withoutReturn(all.substr(m_lineStart, all.size() - m_lineStart - 1));
        if (line.starts_with(idField)) {
            const std::string_view value = line.substr(idField.size());
            m_id = std::string(value.starts_with(' ') ? value.substr(1) : value);
        }
        m_lineStart = m_pending.size();
        if (!line.empty())
            continue;
        out.push_back({std::exchange(m_pending, {}), std::exchange(m_id, {})});
        m_lineStart = 0;
    }
    return out;
}

} // namespace yuccascale::kernel::requests
