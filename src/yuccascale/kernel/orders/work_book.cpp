#include "yuccascale/kernel/orders/work_book.hpp"

#include <algorithm>
#include <vector>

namespace yuccascale::kernel::orders {

namespace {

using requests::work_span;
using requests::workSpanLength;

/// Capacity is kept for the peak of this time, which is some waves long.
constexpr seconds peakWindow{20};
/// Entries report each second; a report that is lost may not make an entry count as silent.
constexpr seconds reportValidity{3};
/// Long enough for some reports of each entry, and short enough to show the effect of a step.
constexpr seconds strainWindow{4};
/// Spans younger than this may lack reports that are still to come.
constexpr seconds reportDelay{2};
/// With fewer requests than this, a share says little.
constexpr double minRequests = 50;
constexpr int spansPerSecond = static_cast<int>(seconds(1) / workSpanLength);

std::int64_t indexOf(instant time) noexcept
{
    return time.time_since_epoch() / workSpanLength;
}

double shareOf(double part, double whole) noexcept
{
    return whole >= minRequests ? std::min(part / whole, 1.0) : 0;
}

void raise(policy::work_rate &rate, double tokens, double slots) noexcept
{
    rate.tokensPerSecond = std::max(rate.tokensPerSecond, tokens);
    rate.busySlots = std::max(rate.busySlots, slots);
}

void scale(policy::work_rate &rate, double factor) noexcept
{
    rate.tokensPerSecond *= factor;
    rate.busySlots *= factor;
}

} // namespace

void work_book::update(instant now, std::string_view entry,
                       std::span<const requests::demand_report> reports)
{
    for (const requests::demand_report &report : reports) {
        if (!report.work)
            continue;
        pool_state &pool = m_pools[report.pool];
        pool.entries[std::string(entry)] = {now, report.work->prefillTokensPerSecond};
        add(now, pool, *report.work);
    }
}

void work_book::add(instant now, pool_state &pool, const requests::work_report &report)
{
    const instant startedAt = now - std::min<nanoseconds>(report.interval, peakWindow);
    for (std::size_t number = 0; number < report.spans.size(); ++number) {
        const instant middle
                = startedAt + static_cast<int>(number) * workSpanLength + workSpanLength / 2;
        pool.spans[indexOf(std::min(middle, now))].work += report.spans[number];
    }
    pool.spans[indexOf(now)].counts += report.counts;
    const std::int64_t oldest = indexOf(now - peakWindow);
    pool.spans.erase(pool.spans.begin(), pool.spans.lower_bound(oldest));
    std::erase_if(pool.entries,
                  [now](const auto &entry) { return now - entry.second.reportedAt > peakWindow; });
}

policy::measured_work work_book::work(instant now, std::string_view pool, int entriesRunning) const
{
    policy::measured_work out;
    out.entriesRunning = entriesRunning;
    const auto found = m_pools.find(pool);
    if (found == m_pools.end())
        return out;
    addEntries(now, found->second, out);
    addRates(now, found->second, out);
    addStrain(now, found->second, out);
    if (out.entriesReporting > 0 && out.entriesReporting < entriesRunning) {
        const double factor = static_cast<double>(entriesRunning) / out.entriesReporting;
        scale(out.peak, factor);
        scale(out.steadyPeak, factor);
        scale(out.mean, factor);
    }
    return out;
}

/// The rate is the median of the entries', so that one with a wrong rate changes little.
void work_book::addEntries(instant now, const pool_state &pool, policy::measured_work &work)
{
    std::vector<double> rates;
    for (const auto &[name, entry] : pool.entries) {
        if (now - entry.reportedAt > reportValidity)
            continue;
        ++work.entriesReporting;
        if (entry.prefillTokensPerSecond > 0)
            rates.push_back(entry.prefillTokensPerSecond);
    }
    if (rates.empty())
        return;
    const auto middle = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
    std::ranges::nth_element(rates, middle);
    work.prefillTokensPerSecond = *middle;
}

void work_book::addRates(instant now, const pool_state &pool, policy::measured_work &work)
{
    if (pool.spans.empty())
        return;
    const std::int64_t first = pool.spans.begin()->first;
    const std::int64_t last = pool.spans.rbegin()->first;
    const std::int64_t complete = indexOf(now - reportDelay);
    std::vector<work_span> spans(static_cast<std::size_t>(last - first + 1));
    for (const auto &[index, sum] : pool.spans)
        spans[static_cast<std::size_t>(index - first)] = sum.work;
    work_span total;
    double totalSeconds = 0;
    for (std::int64_t end = first; end <= last; ++end) {
        work_span second;
        for (std::int64_t index = std::max(first, end - spansPerSecond + 1); index <= end; ++index)
            second += spans[static_cast<std::size_t>(index - first)];
        raise(work.peak, second.uncachedTokens, second.busySeconds);
        raise(work.steadyPeak, second.steadyTokens, second.steadySeconds);
        if (end <= complete) {
            total += spans[static_cast<std::size_t>(end - first)];
            totalSeconds += std::chrono::duration<double>(workSpanLength).count();
        }
    }
    if (totalSeconds > 0)
        work.mean = {total.uncachedTokens / totalSeconds, total.busySeconds / totalSeconds};
}

void work_book::addStrain(instant now, const pool_state &pool, policy::measured_work &work)
{
    requests::request_counts counts;
    for (auto span = pool.spans.lower_bound(indexOf(now - strainWindow)); span != pool.spans.end();
         ++span)
        counts += span->second.counts;
    work.strain = {shareOf(counts.late, counts.offered), shareOf(counts.rejected, counts.sent),
                   shareOf(counts.waiting, counts.waiting + counts.running)};
}

} // namespace yuccascale::kernel::orders
