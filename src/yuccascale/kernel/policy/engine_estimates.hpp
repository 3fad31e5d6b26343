#pragma once

#include "yuccascale/kernel/policy/routing.hpp"

#include <functional>
#include <span>
#include <string>
#include <unordered_map>

/// \file
/// \brief Rates of engines, learnt from finished requests, and their work outstanding.

namespace yuccascale::kernel::policy {

/// \brief What one engine is believed to do.
struct engine_estimate
{
    double prefillTokensPerSecond = 8'000;
    double decodeSlowdown = 1.0; ///< factor on stepSeconds()

    /// \returns seconds between two tokens of a request in a batch of \a running requests.
    [[nodiscard]] double stepSeconds(double running) const noexcept;
};

/// \brief Work that an engine is believed to have before it now.
struct engine_backlog
{
    double prefillTokens = 0;
    double running = 0; ///< requests in the batch or waiting for a slot
};

/// \brief What other entries are believed to have sent to each engine since its report.
struct unseen_work
{
    double requests = 0;
    double prefillTokens = 0;
};

/// \brief Estimates what the other entries sent, taking them for as busy as this one.
[[nodiscard]] unseen_work unseenWork(std::span<const endpoint_view> views, int entries) noexcept;

/// \brief Corrects a lagging report: takes off what was done since, adds what was sent since.
[[nodiscard]] engine_backlog backlogOf(instant now, const endpoint_view &view,
                                       const unseen_work &unseen,
                                       const engine_estimate &estimate) noexcept;

/// \brief Learns each engine's rates online.
class engine_estimates
{
public:
    /// \returns what is believed of an engine; the defaults for an unknown one.
    [[nodiscard]] const engine_estimate &of(std::string_view endpoint) const noexcept;

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
