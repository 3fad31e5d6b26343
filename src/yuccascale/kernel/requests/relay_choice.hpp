#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Chooses the entry that serves a request for one that reaches no endpoint.

namespace yuccascale::kernel::requests {

/// \brief An entry that can serve for another one.
struct helper_entry
{
    std::string node;
    std::string callers; ///< IP:port for callers

    [[nodiscard]] bool operator==(const helper_entry &) const = default;
};

/// \brief Spreads requests evenly over the entries that reach endpoints. Not thread-safe.
class relay_choice
{
public:
    /// \param helpers entries that run, are not leaving and have not said that they reach none
    void setHelpers(std::vector<helper_entry> helpers);

    /// \brief Records that a helper could not be reached, or reaches no endpoint itself.
    void unavailable(instant now, const std::string &node);

    /// \returns the helper of a request; nothing when there is none.
    [[nodiscard]] std::optional<helper_entry> choose(instant now, std::string_view requestId) const;

private:
    std::vector<helper_entry> m_helpers;
    std::map<std::string, instant> m_unavailableUntil; ///< by node
};

} // namespace yuccascale::kernel::requests
