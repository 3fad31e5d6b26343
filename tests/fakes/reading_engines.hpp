#pragma once

#include "yuccascale/kernel/requests/pool_scheduler.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Simulated engines that prefill one prompt at a time and cache its parts.

namespace yuccascale::fakes {

/// \brief A pool with fast prefill engines and with mixed engines that prefill more slowly and
///        generate the answers.
class simulated_prefill_pool
{
public:
    /// \param speed of the engines, relative to 50 prompt tokens a ms of a prefill engine
    simulated_prefill_pool(int prefillCount, int mixedCount, double speed = 1.0);

    [[nodiscard]] const kernel::state::pool &pool() const noexcept { return m_pool; }

    /// \brief Accepts a request that an entry assigned to endpoints.
    /// \returns the time of its first output token.
    [[nodiscard]] kernel::instant send(kernel::instant now,
                                       const kernel::requests::endpoint_assignment &assignment,
                                       const kernel::requests::request &subject);

    /// \returns the prompt tokens that an engine prefilled although some engine had prefilled them
    ///          before.
    [[nodiscard]] std::int64_t recomputedTokens() const noexcept { return m_recomputedTokens; }

private:
    struct engine
    {
        double tokensPerMs = 0;
        bool cachesPrompts = true;
        kernel::instant busyUntil{};
        std::map<std::uint64_t, kernel::instant>
                cachedParts; ///< time from which each part is cached, by part id
    };

    [[nodiscard]] bool hasCached(const std::string &name, std::uint64_t part,
                                 kernel::instant now) const;
    [[nodiscard]] kernel::instant prefillPrompt(kernel::instant now, const std::string &name,
                                                const std::string &source,
                                                const kernel::requests::request &subject);

    kernel::state::pool m_pool;
    std::map<std::string, engine> m_engines;
    std::set<std::uint64_t> m_prefilledParts;
    std::int64_t m_recomputedTokens = 0;
};

} // namespace yuccascale::fakes
