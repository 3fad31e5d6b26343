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
class reading_engines
{
public:
    reading_engines(int prefill, int generating);

    [[nodiscard]] const kernel::state::pool &pool() const noexcept { return m_pool; }

    /// \brief Takes a request as an entry sends it.
    /// \returns when its first token comes.
    [[nodiscard]] kernel::instant send(kernel::instant now,
                                       const kernel::requests::endpoint_assignment &turn,
                                       const kernel::requests::request &subject);

    /// \returns tokens of shared parts that an engine read though some engine had them.
    [[nodiscard]] std::int64_t tokensReadAgain() const noexcept { return m_readAgain; }

private:
    struct engine
    {
        double tokensPerMs = 0;
        bool keeps = true;
        kernel::instant busyUntil{};
        std::map<std::uint64_t, kernel::instant> parts; ///< id, since when
    };

    [[nodiscard]] bool holds(const std::string &name, std::uint64_t part,
                             kernel::instant now) const;
    [[nodiscard]] kernel::instant read(kernel::instant now, const std::string &name,
                                       const std::string &source,
                                       const kernel::requests::request &subject);

    kernel::state::pool m_pool;
    std::map<std::string, engine> m_engines;
    std::set<std::uint64_t> m_readBefore;
    std::int64_t m_readAgain = 0;
};

} // namespace yuccascale::fakes
