#include "yuccascale/kernel/requests/endpoint_table.hpp"

#include <algorithm>
#include <utility>

/// \file
/// \brief Learnt rates and paces of endpoint_table.

namespace yuccascale::kernel::requests {

namespace {

/// Weight of a request in the mean prompt.
constexpr double promptLearningRate = 0.02;
/// Prompt tokens a second of an engine before any is learnt.
constexpr double unknownPrefillRate = 16'000;
/// Longest prefill of a prompt at the engine's rate. Callers state the tokens of their prompts, and
/// an engine rejects what exceeds its context.
constexpr double maxPrefillSeconds = 20;

[[nodiscard]] double toSeconds(nanoseconds duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

/// Reported slots are used from the first reported pace on.
int endpoint_table::slotsOf(const endpoint_state &endpoint) const noexcept
{
    const int reported = endpoint.report.load.slots;
    return paced() && reported > 0 ? reported : endpoint.row.slots;
}

void endpoint_table::recordPace(endpoint_state &endpoint)
{
    const policy::load_report &load = endpoint.report.load;
    if (load.pace <= 0 || !m_paceUsed)
        return;
    m_paced = true;
    endpoint.pace.observe(load.measuredAt, load.pace);
}

void endpoint_table::queuePrompt(instant now, endpoint_state &endpoint, std::int64_t tokens,
                                 nanoseconds lifetime, std::optional<std::uint64_t> ticket) const
{
    if (!paced() || tokens <= 0)
        return;
    const double rate = prefillRate(now, endpoint);
    endpoint.queue.advance(now, rate);
    endpoint.queue.add(now, std::min(static_cast<double>(tokens), rate * maxPrefillSeconds),
                       lifetime, ticket);
}

void endpoint_table::recordPrefilled(instant now, endpoint_state &endpoint,
                                     const running_request &prefilled)
{
    endpoint.queue.prefilled(prefilled.sentAt, now);
    endpoint.untoldPrompt = prefilled_times{prefilled.sentAt, now};
}

double endpoint_table::prefillRate(instant now, const endpoint_state &endpoint) const
{
    const bool prefillOnly = endpoint.row.role == state::engine_role::Prefill;
    const double usual = endpoint.rates.prefillTokensPerSecond(now, prefillOnly, m_poolRates);
    return (usual > 0 ? usual : unknownPrefillRate) / endpoint.pace.expected(now, 0);
}

policy::endpoint_speed endpoint_table::speedOf(instant now, const endpoint_state &endpoint) const
{
    const bool prefillOnly = endpoint.row.role == state::engine_role::Prefill;
    policy::endpoint_speed speed;
    speed.pace = endpoint.pace;
    speed.slots = std::max(slotsOf(endpoint), 1);
    speed.plainService = m_plainService;
    speed.prefillTokensPerSecond
            = endpoint.rates.prefillTokensPerSecond(now, prefillOnly, m_poolRates);
    speed.slowdown = endpoint.rates.slowdown(now, m_poolRates);
    speed.tokenSeconds = m_plainService ? 0.0 : m_poolRates.workSeconds(now);
    speed.answerSeconds = m_answerSeconds.estimate(now, 0);
    speed.promptTokens = m_promptTokens;
    speed.queuedTokens = endpoint.queue.tokens(now, prefillRate(now, endpoint));
    return speed;
}

void endpoint_table::observe(instant now, instant sentAt, const policy::routing_outcome &outcome)
{
    endpoint_state *known = find(std::string(outcome.endpoint));
    if (!known || !paced() || !outcome.answered)
        return;
    const policy::load_report &load = known->report.load;
    const bool withAnswer = load.pace > 0 && load.measuredAt >= sentAt;
    const double pace = withAnswer ? load.pace : known->pace.average(sentAt);
    const policy::rate_observation seen = policy::observationOf(outcome, pace);
    m_poolRates.observe(now, seen, nullptr);
    known->rates.observe(now, seen, &m_poolRates);
    if (!seen.empty())
        known->untold = seen;
    if (outcome.prefillOnly)
        return;
    m_answerSeconds.observe(now, toSeconds(outcome.totalTime) / pace, 0);
    const std::int64_t tokens
            = std::max<std::int64_t>(outcome.promptTokens - outcome.cachedTokens, 0);
    if (tokens >= minAnnouncedTokens) // counted where it is placed
        return;
    m_promptTokens += (m_promptTokens > 0 ? promptLearningRate : 1.0)
            * (static_cast<double>(tokens) - m_promptTokens);
}

void endpoint_table::applyRemoteRate(instant now, const endpoint_rate &rate)
{
    endpoint_state *known = find(rate.endpoint);
    if (!known || !m_paceUsed || known->row.startedMs != rate.startedMs)
        return;
    if (rate.incarnation < known->report.incarnation)
        return;
    if (rate.incarnation > known->report.incarnation) {
        known->rates = {};
        known->untold = {};
        known->report.incarnation = rate.incarnation;
    }
    if (!rate.seen.empty()) {
        m_poolRates.observe(now, rate.seen, nullptr);
        known->rates.observe(now, rate.seen, &m_poolRates);
    }
    if (rate.promptSentAge > nanoseconds::zero())
        known->queue.prefilled(now - rate.promptSentAge, now - rate.firstTokenAge);
    policy::load_report &load = known->report.load;
    const instant measuredAt = now - rate.age;
    if (rate.pace <= 0 || measuredAt <= load.measuredAt)
        return;
    load.measuredAt = measuredAt;
    load.running = rate.running;
    load.queued = rate.queued;
    load.slots = rate.slots;
    load.pace = rate.pace;
    known->reportUntold = false; // the other entries were told as well
    recordPace(*known);
}

std::vector<endpoint_rate> endpoint_table::takeRates(instant now, const std::string &pool)
{
    std::vector<endpoint_rate> out;
    for (endpoint_state &one : m_rows) {
        const bool told = !one.reportUntold && one.untold.empty() && !one.untoldPrompt;
        if (!paced() || told)
            continue;
        const policy::load_report &load = one.report.load;
        endpoint_rate rate{pool, one.row.name, one.row.startedMs, one.report.incarnation,
                           std::exchange(one.untold, {})};
        if (std::exchange(one.reportUntold, false) && load.pace > 0) {
            rate.pace = load.pace;
            rate.age = now - load.measuredAt;
            rate.running = load.running;
            rate.queued = load.queued;
            rate.slots = load.slots;
        }
        if (const auto prompt = std::exchange(one.untoldPrompt, std::nullopt)) {
            rate.promptSentAge = now - prompt->sentAt;
            rate.firstTokenAge = now - prompt->firstTokenAt;
        }
        const bool prefilled = rate.promptSentAge > nanoseconds::zero();
        if (rate.pace > 0 || prefilled || !rate.seen.empty())
            out.push_back(std::move(rate));
    }
    return out;
}

std::vector<learnt_endpoint> endpoint_table::learnt(instant now) const
{
    std::vector<learnt_endpoint> out;
    for (const endpoint_state &one : m_rows) {
        if (!paced())
            break;
        const policy::endpoint_speed speed = speedOf(now, one);
        out.push_back({one.row.name, speed.prefillTokensPerSecond, speed.slowdown,
                       speed.pace.expected(now, 0), speed.pace.average(now)});
    }
    return out;
}

} // namespace yuccascale::kernel::requests
