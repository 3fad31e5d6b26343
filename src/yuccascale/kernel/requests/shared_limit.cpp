#include "yuccascale/kernel/requests/shared_limit.hpp"

#include <algorithm>
#include <cmath>

namespace yuccascale::kernel::requests {

namespace {

/// Without word of the endpoint for this time, its limit may have been lifted unnoticed.
constexpr seconds staleTime{10};
/// Share of the rate at which the entries that may not send ask a silent endpoint again.
constexpr double staleRateShare = 0.25;

[[nodiscard]] double inSeconds(nanoseconds time) noexcept
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

shared_limit::shared_limit(instant now, double requestsPerSecond, limit_position position,
                           limit_tolerance tolerance) noexcept
    : m_requestsPerSecond(requestsPerSecond)
    , m_position(position)
    , m_tolerance(tolerance)
    , m_namedAt(now)
{
    if (isSender()) {
        m_settledAt = now;
        m_tokens = firstTokens(senders());
    } else {
        waitForSilence(now);
    }
}

/// Spreads the first requests of several entries evenly.
double shared_limit::firstTokens(int entries) const noexcept
{
    return 1.0 - (m_position.rank + 1.0) / entries;
}

void shared_limit::waitForSilence(instant now) noexcept
{
    m_settledAt = std::max(now, m_namedAt + staleTime);
    m_tokens = firstTokens(m_position.entries);
}

void shared_limit::named(instant now, double requestsPerSecond) noexcept
{
    const bool wasSender = isSender();
    settle(now);
    m_namedAt = now;
    m_requestsPerSecond = requestsPerSecond;
    roleChanged(now, wasSender);
}

void shared_limit::setPosition(instant now, limit_position position) noexcept
{
    if (position == m_position)
        return;
    const bool wasSender = isSender();
    settle(now);
    m_position = position;
    roleChanged(now, wasSender);
}

/// The entry that may send from now on has nothing saved up, since another one may just have sent.
void shared_limit::roleChanged(instant now, bool wasSender) noexcept
{
    if (!isSender())
        return waitForSilence(now);
    m_tokens = wasSender ? std::min(m_tokens, capacity()) : 0;
    m_settledAt = now;
}

void shared_limit::sent(instant now) noexcept
{
    settle(now);
    m_tokens -= 1;
}

double shared_limit::ownRate() const noexcept
{
    return isSender() ? rateOfAll() / senders() : 0;
}

std::optional<nanoseconds> shared_limit::timeUntilAllowed(instant now) const noexcept
{
    if (!isSender())
        return std::nullopt;
    const double wait = std::max(1.0 - tokensAt(now), 0.0) / ownRate();
    return std::chrono::ceil<nanoseconds>(std::chrono::duration<double>(wait));
}

/// An endpoint that accepts nothing is still asked once a window whether that has changed.
double shared_limit::rateOfAll() const noexcept
{
    return std::max(m_requestsPerSecond, 1.0 / inSeconds(m_tolerance.window));
}

/// \returns the requests that the entries may save up together.
double shared_limit::savedByAll() const noexcept
{
    const double tolerated
            = (m_tolerance.factor - 1.0) * m_requestsPerSecond * inSeconds(m_tolerance.window)
            + m_tolerance.requests;
    return tolerated / 2.0;
}

int shared_limit::senders() const noexcept
{
    const double saving = std::min<double>(std::floor(savedByAll()), m_position.entries);
    return std::max(static_cast<int>(saving), 1);
}

double shared_limit::capacity() const noexcept
{
    return isSender() ? std::max(savedByAll() / senders(), 1.0) : 1.0;
}

double shared_limit::tokensAt(instant now) const noexcept
{
    const double rate = isSender() ? ownRate() : staleRateShare * rateOfAll() / m_position.entries;
    const double added = rate * inSeconds(std::max(now - m_settledAt, nanoseconds::zero()));
    return std::min(m_tokens + added, capacity());
}

void shared_limit::settle(instant now) noexcept
{
    m_tokens = tokensAt(now);
    m_settledAt = std::max(now, m_settledAt);
}

} // namespace yuccascale::kernel::requests
