#pragma once

#include "yuccascale/kernel/policy/prefix_index.hpp"
#include "yuccascale/kernel/policy/routing.hpp"
#include "yuccascale/kernel/requests/request.hpp"

#include <span>
#include <string>
#include <string_view>

/// \file
/// \brief What the engines of a pool are believed to hold of a prompt, and where to fetch it.

namespace yuccascale::kernel::requests {

/// \brief Combines what this entry saw with where all entries agree to keep a shared part.
///
/// Load: a few long parts make up most of the prompt work. Each has a home, where it is read once
/// and kept; any other engine fetches it from there in a fraction of the time that reading takes.
/// Not thread-safe; its owner serialises calls.
class prompt_caches
{
public:
    /// \brief Fills in the cached and fetchable tokens of each view, and marks the home.
    void estimate(instant now, std::span<const prompt_part> parts,
                  std::span<policy::endpoint_view> views) const;

    /// \brief Notes that an engine generates from the prompt and so holds it. One that filled it
    /// for another engine holds it no longer.
    void confirm(instant now, const std::string &endpoint, std::span<const prompt_part> parts);

    /// \brief Forgets an engine that crashed.
    void forget(std::string_view endpoint);

private:
    policy::prefix_index m_prefixIndex;
};

} // namespace yuccascale::kernel::requests
