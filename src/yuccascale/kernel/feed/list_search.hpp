#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/feed/list_times.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief Chooses the control nodes that are asked for a younger list of endpoints.

namespace yuccascale::kernel::feed {

/// \brief Asks each control node once in the bound's time while none has a younger list, so that a
/// platform that is down for long costs few polls. Not thread-safe.
class list_search
{
public:
    explicit list_search(list_times times)
        : m_times(times)
    { }

    /// \param askedAt of the own list; nothing: not known
    /// \param nodes that can be asked, the preferred ones first
    /// \returns those to ask now; empty while the list is young enough.
    [[nodiscard]] std::vector<std::string> next(instant now, std::optional<instant> askedAt,
                                                std::span<const std::string> nodes)
    {
        std::vector<std::string> chosen;
        if (!m_times.bounded() || (askedAt && now - *askedAt <= m_times.longestLag())) {
            m_asked.clear();
            return chosen;
        }
        std::erase_if(m_asked,
                      [&](const auto &one) { return now - one.second >= m_times.drainNotice; });
        for (const std::string &node : nodes) {
            if (chosen.size() < nodesAtOnce && m_asked.try_emplace(node, now).second)
                chosen.push_back(node);
        }
        return chosen;
    }

private:
    static constexpr std::size_t nodesAtOnce = 2; ///< one of them may be cut off

    list_times m_times;
    std::map<std::string, instant> m_asked; ///< by node, since the list was young
};

} // namespace yuccascale::kernel::feed
