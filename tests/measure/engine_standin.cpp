#include "engine_standin.hpp"

#include <algorithm>
#include <cmath>

namespace yuccascale::measure {

namespace {

constexpr double prefillTokensPerSecond = 8'000;
constexpr double stepBase = 0.006;         ///< seconds
constexpr double stepPerRequest = 0.00025; ///< seconds
constexpr std::size_t cachedPrefixes = 16;

/// How a role runs: tokens of prompt in one step, and factors on both rates.
struct role_timing
{
    double chunk;
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
    std::int64_t all = 0;
    for (const std::int64_t count : bins)
        all += count;
    std::int64_t seen = 0;
    for (std::size_t bin = 0; bin < bins.size(); ++bin) {
        seen += bins[bin];
        if (static_cast<double>(seen) >= share * static_cast<double>(all))
            return static_cast<double>(bin) + 0.5;
    }
    return 0;
}

engine_standin::engine_standin(event_loop &loop, kernel::state::endpoint row, double slowness,
                               token_gaps &gaps, listener tell)
    : startedAt(loop.seconds())
    , m_loop(loop)
    , m_row(std::move(row))
    , m_slowness(slowness)
    , m_gaps(gaps)
    , m_tell(std::move(tell))
    , m_roleSince(loop.seconds())
{ }

void engine_standin::accept(job &request, bool promptOnly)
{
    if (m_gone) {
        m_tell(request, job_event::Lost);
        return;
    }
    const bool filled = request.prefillLeft <= 0; // its KV cache came from another engine
    m_queue.push_back({&request, promptOnly, !filled});
    step();
}

void engine_standin::begin(work item)
{
    job &request = *item.request;
    if (item.prefilling) {
        const auto hit
                = std::ranges::find(m_cache, request.prefix, &std::pair<int, std::int64_t>::first);
        if (request.prefix != 0 && hit != m_cache.end())
            request.cached = request.prefixTokens;
        request.prefillLeft
                = static_cast<double>(std::max<std::int64_t>(request.prompt - request.cached, 1));
        touchPrefix(request);
    }
    m_active.push_back(item);
    if (!item.prefilling)
        m_tell(request, job_event::FirstToken);
}

void engine_standin::touchPrefix(const job &request)
{
    if (request.prefix == 0)
        return;
    const auto known
            = std::ranges::find(m_cache, request.prefix, &std::pair<int, std::int64_t>::first);
    if (known != m_cache.end()) {
        m_cache.splice(m_cache.begin(), m_cache, known);
        return;
    }
    m_cache.emplace_front(request.prefix, request.prefixTokens);
    if (cacheChanged)
        cacheChanged(request.prefix, request.prefixTokens, true);
    if (m_cache.size() <= cachedPrefixes)
        return;
    if (cacheChanged)
        cacheChanged(m_cache.back().first, m_cache.back().second, false);
    m_cache.pop_back();
}

void engine_standin::step()
{
    if (m_stepping || m_gone || m_away)
        return;
    while (!m_queue.empty() && static_cast<int>(m_active.size()) < m_row.slots) {
        const work next = m_queue.front();
        m_queue.pop_front();
        begin(next);
    }
    if (m_active.empty()) {
        if (m_draining)
            end();
        else if (m_changing) {
            m_away = true;
            m_loop.after(m_awaySeconds, [this] {
                m_away = m_changing = false;
                m_row.role = m_next;
                m_roleSince = m_loop.seconds();
                step();
            });
        }
        return;
    }
    const role_timing timing = timingOf(m_row.role);
    double waiting = 0;
    int decoding = 0;
    for (const work &item : m_active) {
        if (item.prefilling)
            waiting += item.request->prefillLeft;
        else
            ++decoding;
    }
    const double chunk = std::min(waiting, timing.chunk);
    double duration = chunk / (prefillTokensPerSecond * timing.prefillFactor);
    if (decoding > 0)
        duration += (stepBase + stepPerRequest * decoding) * timing.stepFactor;
    duration *= m_slowness;
    m_stepping = true;
    m_loop.after(duration, [this, chunk, duration] { finishStep(chunk, duration); });
}

void engine_standin::decodeStep(double duration)
{
    std::int64_t tokens = 0;
    for (auto item = m_active.begin(); item != m_active.end();) {
        const auto current = item++;
        if (current->prefilling)
            continue;
        ++tokens;
        job &request = *current->request;
        if (++request.generated < request.output)
            continue;
        m_active.erase(current);
        m_tell(request, job_event::Done);
    }
    m_gaps.add(duration, tokens);
}

void engine_standin::finishStep(double chunk, double duration)
{
    m_stepping = false;
    if (m_gone)
        return;
    decodeStep(duration);
    for (auto item = m_active.begin(); item != m_active.end() && chunk > 0;) {
        const auto current = item++;
        if (!current->prefilling)
            continue;
        job &request = *current->request;
        const double done = std::min(chunk, request.prefillLeft);
        request.prefillLeft -= done;
        chunk -= done;
        if (request.prefillLeft > 0)
            continue;
        current->prefilling = false;
        if (current->promptOnly)
            m_active.erase(current);
        m_tell(request, current->promptOnly ? job_event::PromptFilled : job_event::FirstToken);
    }
    step();
}

void engine_standin::cancel(const job &request)
{
    const auto isIts = [&request](const work &item) { return item.request == &request; };
    m_queue.remove_if(isIts);
    m_active.remove_if(isIts);
}

void engine_standin::changeRole(engine_role to, double nonHomePenaltySeconds)
{
    m_changing = true;
    m_next = to;
    m_awaySeconds = nonHomePenaltySeconds;
    step();
}

void engine_standin::leave(double noticeSeconds)
{
    m_leaving = true;
    m_loop.after(noticeSeconds, [this] { end(); });
}

void engine_standin::drain()
{
    m_leaving = m_draining = true;
    step();
}

void engine_standin::end()
{
    if (m_gone)
        return;
    m_gone = true;
    endedAt = m_loop.seconds();
    std::list<work> lost = std::move(m_active);
    lost.splice(lost.end(), m_queue);
    for (const work &item : lost)
        m_tell(*item.request, job_event::Lost);
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
    for (const work &item : m_active) {
        report.prefillTokensWaiting
                += item.prefilling ? static_cast<std::int64_t>(item.request->prefillLeft) : 0;
        report.decodeTokensWaiting += item.request->expectedOutput;
    }
    for (const work &item : m_queue)
        report.prefillTokensWaiting += item.prefilling ? item.request->prompt : 0;
    return report;
}

} // namespace yuccascale::measure
