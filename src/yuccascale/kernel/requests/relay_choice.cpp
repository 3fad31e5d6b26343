#include "yuccascale/kernel/requests/relay_choice.hpp"

#include <functional>
#include <utility>

namespace yuccascale::kernel::requests {

namespace {

/// How long a helper that could not serve is left out; it may have told the other entries by then.
constexpr seconds unavailableTime{1};

} // namespace

void relay_choice::setHelpers(std::vector<helper_entry> helpers)
{
    m_helpers = std::move(helpers);
}

void relay_choice::unavailable(instant now, const std::string &node)
{
    std::erase_if(m_unavailableUntil, [now](const auto &item) { return item.second <= now; });
    m_unavailableUntil[node] = now + unavailableTime;
}

/// Spreads over those that are left; the next in order would get the shares of all before it.
std::optional<helper_entry> relay_choice::choose(instant now, std::string_view requestId) const
{
    std::vector<const helper_entry *> available;
    for (const helper_entry &helper : m_helpers) {
        const auto found = m_unavailableUntil.find(helper.node);
        if (found == m_unavailableUntil.end() || found->second <= now)
            available.push_back(&helper);
    }
    if (available.empty())
        return std::nullopt;
    return *available[std::hash<std::string_view>{}(requestId) % available.size()];
}

} // namespace yuccascale::kernel::requests
