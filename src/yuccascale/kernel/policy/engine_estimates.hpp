#pragma once

#include "yuccascale/kernel/policy/routing.hpp"

#include <functional>
#include <string>
#include <unordered_map>

/// \file
/// \brief Estimates the rates of engines from finished requests.

namespace yuccascale::kernel::policy {

/// \brief Estimated rates of one engine.
struct engine_estimate
{
    double prefillTokensPerSecond = 8'000;
    double decodeSlowdown = 1.0; ///< factor on stepSeconds()

    /// \returns the seconds between two tokens of a request in a batch of \a running requests.
    [[nodiscard]] double stepSeconds(double running) const noexcept;
};

/// \brief Keeps the estimated rates of each engine.
class engine_estimates
{
public:
    /// \returns the estimate of an engine, or the defaults for an unknown one.
    [[nodiscard]] const engine_estimate &estimateOf(std::string_view endpoint) const noexcept;

    /// \brief Updates the estimates from a finished attempt; ignores failed ones.
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
