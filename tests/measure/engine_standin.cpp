#include "engine_standin.hpp"

#include <algorithm>
#include <cmath>

namespace yuccascale::measure {

namespace {

constexpr double prefillTokensPerSecond = 8'000;
constexpr double stepBaseSeconds = 0.006;
constexpr double stepSecondsPerRequest = 0.00025;
constexpr std::size_t maxCachedPrefixes = 16;

/// Timing of a role: prompt tokens per step, a factor on the prefill rate and a factor on the
/// duration of the decode part of a step.
struct role_timing
{
    double chunkTokens;
    double prefillFactor;
    double stepFactor;
};

role_timing timingOf(engine_role role)
{
    switch (role) {
    case engine_role::Prefill:
        return {2'048, 1.15, 1.0};
    case engine_role::Decode:
        return {128, 0.5, 1.0 / 1.15};
    default:
        return {512, 1.0, 1.0};
    }
}

} // namespace

void token_gaps::add(double gapSeconds, std::int64_t count)
{
    const auto bin = static_cast<std::size_t>(std::max(gapSeconds * 1e3, 0.0));
    bins[std::min(bin, bins.size() - 1)] += count;
}

double token_gaps::quantile(double share) const
{
    std::int64_t total = 0;
    for (const std::int64_t count : bins)
        total += count;
    std::int64_t cumulative = 0;
    for (std::size_t bin = 0; bin < bins.size(); ++bin) {
        cumulative += bins[bin];
        if (static_cast<double>(cumulative) >= share * static_cast<double>(total))
            return static_cast<double>(bin) + 0.5;
    }
    return 0;
}

engine_standin::engine_standin(event_loop &loop, kernel::state::endpoint row, double slowdownFactor,
                               token_gaps &gaps, listener onEvent)
    : startedAt(loop.seconds())
    , m_loop(loop)
    , m_row(std::move(row))
    , m_slowdownFactor(slowdownFactor)
    , m_gaps(gaps)
    , m_onEvent(std::move(onEvent))
    , m_roleSince(loop.seconds())
{ }

void engine_standin::accept(simulated_request &request, bool prefillOnly)
{
    if (m_ended) {
        m_onEvent(request, request_event::Lost);
        return;
    }
    const bool filled = request.prefillTokensLeft <= 0; // the KV cache comes from another engine
    m_queue.push_back({&request, prefillOnly, !filled});
    startStep();
}

void engine_standin::startItem(batch_item item)
{
    simulated_request &request = *item.request;
    if (item.prefilling) {
        const auto hit
                = std::ranges::find(m_cache, request.prefix, &std::pair<int, std::int64_t>::first);
        if (request.prefix != 0 && hit != m_cache.end())
            request.cachedTokens = request.prefixTokens;
        request.prefillTokensLeft = static_cast<double>(
                std::max<std::int64_t>(request.promptTokens - request.cachedTokens, 1));
        touchPrefix(request);
    }
    m_active.push_back(item);
    if (!item.prefilling)
        m_onEvent(request, request_event::FirstToken);
}

void engine_standin::touchPrefix(const simulated_request &request)
{
    if (request.prefix == 0)
        return;
    const auto found
            = std::ranges::find(m_cache, request.prefix, &std::pair<int, std::int64_t>::first);
    if (found != m_cache.end()) {
        m_cache.splice(m_cache.begin(), m_cache, found);
        return;
    }
    m_cache.emplace_front(request.prefix, request.prefixTokens);
    if (onCacheChange)
        onCacheChange(request.prefix, request.prefixTokens, true);
    if (m_cache.size() <= maxCachedPrefixes)
        return;
    if (onCacheChange)
        onCacheChange(m_cache.back().first, m_cache.back().second, false);
    m_cache.pop_back();
}

void engine_standin::startStep()
{
    if (m_stepping || m_ended || m_roleChangeInProgress)
        return;
    while (!m_queue.empty() && static_cast<int>(m_active.size()) < m_row.slots) {
        const batch_item next = m_queue.front();
        m_queue.pop_front();
        startItem(next);
    }
    if (m_active.empty()) {
        if (m_draining)
            terminate();
        else if (m_changingRole) {
            m_roleChangeInProgress = true;
            m_loop.scheduleAfter(m_roleChangeSeconds, [this] {
                m_roleChangeInProgress = m_changingRole = false;
                m_row.role = m_nextRole;
                m_roleSince = m_loop.seconds();
                startStep();
            });
        }
        return;
    }
    const role_timing timing = timingOf(m_row.role);
    double waitingPrefillTokens = 0;
    int decoding = 0;
    for (const batch_item &item : m_active) {
        if (item.prefilling)
            waitingPrefillTokens += item.request->prefillTokensLeft;
        else
            ++decoding;
    }
    const double chunkTokens = std::min(waitingPrefillTokens, timing.chunkTokens);
    double duration = chunkTokens / (prefillTokensPerSecond * timing.prefillFactor);
    if (decoding > 0)
        duration += (stepBaseSeconds + stepSecondsPerRequest * decoding) * timing.stepFactor;
    duration *= m_slowdownFactor;
    m_stepping = true;
    m_loop.scheduleAfter(duration,
                         [this, chunkTokens, duration] { finishStep(chunkTokens, duration); });
}

void engine_standin::decodeStep(double duration)
{
    std::int64_t tokens = 0;
    for (auto item = m_active.begin(); item != m_active.end();) {
        const auto current = item++;
        if (current->prefilling)
            continue;
        ++tokens;
        simulated_request &request = *current->request;
        if (++request.generatedTokens < request.outputTokens)
            continue;
        m_active.erase(current);
        m_onEvent(request, request_event::Done);
    }
    m_gaps.add(duration, tokens);
}

void engine_standin::finishStep(double chunkTokens, double duration)
{
    m_stepping = false;
    if (m_ended)
        return;
    decodeStep(duration);
    for (auto item = m_active.begin(); item != m_active.end() && chunkTokens > 0;) {
        const auto current = item++;
        if (!current->prefilling)
            continue;
        simulated_request &request = *current->request;
        const double prefilledTokens = std::min(chunkTokens, request.prefillTokensLeft);
        request.prefillTokensLeft -= prefilledTokens;
        chunkTokens -= prefilledTokens;
        if (request.prefillTokensLeft > 0)
            continue;
        current->prefilling = false;
        if (current->prefillOnly)
            m_active.erase(current);
        m_onEvent(request,
                  current->prefillOnly ? request_event::PromptPrefilled
                                       : request_event::FirstToken);
    }
    startStep();
}

void engine_standin::cancel(const simulated_request &request)
{
    const auto belongsToRequest
            = [&request](const batch_item &item) { return item.request == &request; };
    m_queue.remove_if(belongsToRequest);
    m_active.remove_if(belongsToRequest);
}

void engine_standin::changeRole(engine_role newRole, double roleChangeSeconds)
{
    m_changingRole = true;
    m_nextRole = newRole;
    m_roleChangeSeconds = roleChangeSeconds;
    startStep();
}

void engine_standin::reclaim(double noticeSeconds)
{
    m_leaving = true;
    m_loop.scheduleAfter(noticeSeconds, [this] { terminate(); });
}

void engine_standin::drain()
{
    m_leaving = m_draining = true;
    startStep();
}

void engine_standin::terminate()
{
    if (m_ended)
        return;
    m_ended = true;
    endedAt = m_loop.seconds();
    std::list<batch_item> interrupted = std::move(m_active);
    interrupted.splice(interrupted.end(), m_queue);
    for (const batch_item &item : interrupted)
        m_onEvent(*item.request, request_event::Lost);
}

int engine_standin::load() const noexcept
{
    return static_cast<int>(m_active.size() + m_queue.size());
}

kernel::policy::load_report engine_standin::report() const
{
    kernel::policy::load_report report;
    report.measuredAt = m_loop.now();
    report.running = static_cast<int>(m_active.size());
    report.queued = static_cast<int>(m_queue.size());
    report.role = m_row.role;
    report.leaving = m_leaving;
    for (const batch_item &item : m_active) {
        report.prefillTokensWaiting
                += item.prefilling ? static_cast<std::int64_t>(item.request->prefillTokensLeft) : 0;
        report.decodeTokensWaiting += item.request->expectedOutputTokens;
    }
    for (const batch_item &item : m_queue)
        report.prefillTokensWaiting += item.prefilling ? item.request->promptTokens : 0;
    return report;
}

} // namespace yuccascale::measure
