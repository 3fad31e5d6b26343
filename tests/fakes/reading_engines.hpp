#pragma once

#include "yuccascale/kernel/requests/pool_scheduler.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Engines that read prompts one after another and keep what they read.

namespace yuccascale::fakes {

/// \brief A pool of engines: some only fill prompts, fast; the others fill slowly and generate.
class simulated_prefill_pool
{
public:
    simulated_prefill_pool(int prefillCount, int mixedCount);

    [[nodiscard]] const kernel::state::pool &pool() const noexcept { return m_pool; }

    /// \brief Takes a request as an entry sends it.
    /// \returns when its first token comes.
    [[nodiscard]] kernel::instant send(kernel::instant now,
                                       const kernel::requests::endpoint_assignment &assignment,
                                       const kernel::requests::request &subject);

    /// \returns tokens of shared parts that an engine read though some engine had them.
    [[nodiscard]] std::int64_t recomputedTokens() const noexcept { return m_recomputedTokens; }

private:
    struct engine
    {
        double tokensPerMs = 0;
        bool cachesPrompts = true;
        kernel::instant busyUntil{};
        std::map<std::uint64_t, kernel::instant> cachedParts; ///< id, since when
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
