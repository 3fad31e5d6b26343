#include "yuccascale/kernel/requests/work_meter.hpp"

#include <algorithm>
#include <utility>

namespace yuccascale::kernel::requests {

namespace {

/// Spans kept when no report is taken; later work is counted in the last one.
constexpr std::size_t maxSpans = 40;
constexpr std::int64_t minObservedTokens = 1'024;

double toSeconds(nanoseconds duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

work_span &work_span::operator+=(const work_span &other) noexcept
{
    uncachedTokens += other.uncachedTokens;
    steadyTokens += other.steadyTokens;
    busySeconds += other.busySeconds;
    steadySeconds += other.steadySeconds;
    return *this;
}

request_counts &request_counts::operator+=(const request_counts &other) noexcept
{
    offered += other.offered;
    late += other.late;
    sent += other.sent;
    rejected += other.rejected;
    waiting += other.waiting;
    running += other.running;
    return *this;
}

void work_meter::offered(bool refused) noexcept
{
    ++m_counts.offered;
    m_counts.late += refused ? 1 : 0;
}

void work_meter::refusedLater(std::size_t count) noexcept
{
    m_counts.late += static_cast<double>(count);
}

void work_meter::sent(instant now, std::int64_t uncachedTokens, int slots, bool steadyOnly)
{
    advance(now);
    addTokens(now, uncachedTokens, steadyOnly);
    ++m_counts.sent;
    m_busySlots += slots;
    m_steadySlots += steadyOnly ? slots : 0;
}

void work_meter::ended(instant now, int slots, bool steadyOnly)
{
    advance(now);
    m_busySlots -= slots;
    m_steadySlots -= steadyOnly ? slots : 0;
}

void work_meter::rejected() noexcept
{
    ++m_counts.rejected;
}

void work_meter::answered(instant now, std::int64_t moreTokens, bool steadyOnly, bool late)
{
    advance(now);
    addTokens(now, std::max<std::int64_t>(moreTokens, 0), steadyOnly);
    m_counts.late += late ? 1 : 0;
}

void work_meter::prefilled(std::int64_t tokens, std::int64_t tokensAhead, nanoseconds time) noexcept
{
    if (tokens >= minObservedTokens && time > nanoseconds::zero())
        m_prefillRate.observe(static_cast<double>(tokens + tokensAhead) / toSeconds(time));
}

work_report work_meter::takeReport(instant now, std::size_t waiting)
{
    advance(now);
    work_report out;
    out.interval = std::chrono::duration_cast<milliseconds>(now - m_startedAt);
    out.spans = std::exchange(m_spans, {});
    out.prefillTokensPerSecond = m_prefillRate.estimate();
    out.counts = std::exchange(m_counts, {});
    out.counts.waiting = static_cast<double>(waiting);
    out.counts.running = m_busySlots;
    m_startedAt = now;
    return out;
}

/// Counts the busy time since the last event, in each span that it covers.
void work_meter::advance(instant now)
{
    if (m_startedAt == instant{})
        m_startedAt = m_countedTo = now;
    while (m_countedTo < now) {
        const auto spansBefore = (m_countedTo - m_startedAt) / workSpanLength;
        const instant end = std::min(now, m_startedAt + (spansBefore + 1) * workSpanLength);
        const double elapsed = toSeconds(end - m_countedTo);
        work_span &span = spanAt(m_countedTo);
        span.busySeconds += elapsed * m_busySlots;
        span.steadySeconds += elapsed * m_steadySlots;
        m_countedTo = end;
    }
}

work_span &work_meter::spanAt(instant now)
{
    const auto index = static_cast<std::size_t>((now - m_startedAt) / workSpanLength);
    const std::size_t kept = std::min(index, maxSpans - 1);
    if (m_spans.size() <= kept)
        m_spans.resize(kept + 1);
    return m_spans[kept];
}

void work_meter::addTokens(instant now, std::int64_t tokens, bool steadyOnly)
{
    work_span &span = spanAt(now);
    span.uncachedTokens += static_cast<double>(tokens);
    span.steadyTokens += steadyOnly ? static_cast<double>(tokens) : 0;
}

} // namespace yuccascale::kernel::requests
