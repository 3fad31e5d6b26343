#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

/// \file
/// \brief Prompt tokens that an engine has to prefill before the next prompt.

namespace yuccascale::kernel::policy {

/// \brief The prompts that entries placed on an engine, which prefills one after the other.
///
/// Addresses queues that grow unseen: a placement that is announced with too early a first token
/// would be forgotten before it is prefilled, and the next prediction would be too early as well.
/// Here tokens are removed at the engine's rate, and each first token tells how far it really is.
/// A prompt that never has a first token is removed when its request ends, or else expires.
class prefill_queue
{
public:
    /// No prompt is counted for longer.
    static constexpr seconds maxLifetime{60};

    /// \param lifetime the prompt is not counted any more after it
    /// \param ticket of a request of this entry, for remove()
    void add(instant now, double tokens, nanoseconds lifetime = maxLifetime,
             std::optional<std::uint64_t> ticket = std::nullopt);

    /// \brief Removes the prompt of a request that ended without a first token.
    void remove(std::uint64_t ticket) noexcept;

    /// \brief Removes what the engine prefilled since the last call.
    void advance(instant now, double tokensPerSecond) noexcept;

    /// \brief A prompt that was placed at \a placedAt had its first token at \a firstTokenAt: the
    /// ones before it are prefilled, the ones after it not yet begun.
    void prefilled(instant placedAt, instant firstTokenAt) noexcept;

    /// \returns the tokens that are left.
    [[nodiscard]] double tokens(instant now, double tokensPerSecond) const noexcept;

private:
    struct placed_prompt
    {
        instant at{};
        double tokens = 0;
        instant expiresAt{};
        std::optional<std::uint64_t> ticket; ///< nothing: of another entry
    };

    void removeExpired(instant now) noexcept;
    void erase(std::size_t index) noexcept;

    std::deque<placed_prompt> m_prompts; ///< also some that are done
    std::size_t m_next = 0;              ///< index of the one that is prefilled
    double m_doneOfNext = 0;             ///< tokens of it
    instant m_advancedAt{};
};

} // namespace yuccascale::kernel::policy
