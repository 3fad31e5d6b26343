#pragma once

#include "yuccascale/kernel/policy/prefix_index.hpp"
#include "yuccascale/kernel/policy/routing.hpp"
#include "yuccascale/kernel/requests/request.hpp"

#include <span>
#include <string>
#include <string_view>

/// \file
/// \brief Estimates which parts of a prompt the engines of a pool have cached.

namespace yuccascale::kernel::requests {

/// \brief Combines this entry's observations with the home engines of shared prompt parts.
///
/// A few long shared parts make up most of the prefill work. Each part has a home engine, chosen
/// alike by all entries, that prefills it once and keeps it cached. Other engines fetch it from
/// there, which takes a fraction of the prefill time. Not thread-safe; its owner serialises calls.
class prompt_caches
{
public:
    /// \brief Sets the cached and fetchable tokens of each view and marks the home engine.
    void estimate(instant now, std::span<const prompt_part> parts,
                  std::span<policy::endpoint_view> views) const;

    /// \brief Records that an engine decodes from the prompt and has it cached. An engine that
    /// prefilled it for another one does not keep it.
    void confirm(instant now, const std::string &endpoint, std::span<const prompt_part> parts);

    /// \brief Removes all records of an engine that crashed or was replaced.
    void removeEngine(std::string_view endpoint);

private:
    policy::prefix_index m_prefixIndex;
};

} // namespace yuccascale::kernel::requests
