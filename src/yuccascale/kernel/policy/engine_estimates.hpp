#pragma once

#include "yuccascale/kernel/policy/routing.hpp"

#include <functional>
#include <string>
#include <unordered_map>

/// \file
/// \brief Rates of engines, learnt from finished requests.

namespace yuccascale::kernel::policy {

/// \brief What one engine is believed to do.
struct engine_estimate
{
    double prefillTokensPerSecond = 8'000;
    double decodeSlowdown = 1.0; ///< factor on stepSeconds()

    /// \returns seconds between two tokens of a request in a batch of \a running requests.
    [[nodiscard]] double stepSeconds(double running) const noexcept;
};

/// \brief Learns each engine's rates online.
class engine_estimates
{
public:
    /// \returns what is believed of an engine; the defaults for an unknown one.
    [[nodiscard]] const engine_estimate &estimateOf(std::string_view endpoint) const noexcept;

    /// \brief Learns from a finished try; failed ones teach nothing.
    void observe(const routing_outcome &outcome);

private:
    struct name_hash
    {
        using is_transparent = void;
        [[nodiscard]] std::size_t operator()(std::string_view name) const noexcept
        {
            return std::hash<std::string_view>{}(name);
        }
    };

    std::unordered_map<std::string, engine_estimate, name_hash, std::equal_to<>> m_estimates;
};

} // namespace yuccascale::kernel::policy
