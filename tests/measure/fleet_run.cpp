#include "fleet_run.hpp"

#include "yuccascale/kernel/policy/dispatch_window.hpp"
#include "yuccascale/kernel/policy/request_cost.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace yuccascale::measure {

using namespace kernel::policy;
using kernel::nanoseconds;

namespace {

constexpr double meanWork = 0.25; ///< engine-seconds a request
constexpr double answerWithin = 12;
constexpr double firstTokenWithin = 1.3;
constexpr double spread = 0.7; ///< of the logarithm of a request's tokens
constexpr int prefixesPerOrganisation = 6;
constexpr double reportPeriod = 0.25;
constexpr double cacheEventLag = 1.0;
constexpr double cacheEventLoss = 0.1;
constexpr std::size_t mostStuck = 4;    ///< requests that wait for an endpoint of their own kind
constexpr std::int64_t apartFrom = 512; ///< prompt tokens that a baseline sends to prefill engines
std::string organisationName(int index)
{
    return "organisation-" + std::to_string(index);
}

template<typename Registry, typename... Arguments>
auto make(const std::string &name, Arguments... arguments)
{
    auto made = Registry::make(name, arguments...);
    if (!made)
        throw std::runtime_error("no strategy " + name);
    return std::move(made.value());
}

} // namespace

void figures::add(const figures &other)
{
    for (double figures::*each :
         {&figures::offered, &figures::inTime, &figures::refused, &figures::late, &figures::lost,
          &figures::worstShare, &figures::worstWait, &figures::roleChanges, &figures::cost,
          &figures::cheapShare, &figures::firstToken, &figures::tokenGap, &figures::broken})
        this->*each += other.*each;
    goodput.resize(std::max(goodput.size(), other.goodput.size()));
    for (std::size_t at = 0; at < other.goodput.size(); ++at)
        goodput[at] += other.goodput[at];
}

void figures::scale(double factor)
{
    figures none;
    std::swap(*this, none);
    for (double figures::*each :
         {&figures::offered, &figures::inTime, &figures::refused, &figures::late, &figures::lost,
          &figures::worstShare, &figures::worstWait, &figures::roleChanges, &figures::cost,
          &figures::cheapShare, &figures::firstToken, &figures::tokenGap, &figures::broken})
        this->*each = none.*each * factor;
    for (const double value : none.goodput)
        goodput.push_back(value * factor);
}

fleet_run::fleet_run(const script &what, const strategy_set &strategies, std::uint64_t seed)
    : m_script(what)
    , m_strategies(strategies)
    , m_random(seed)
    , m_entries(entryCount)
    , m_roles(make<role_policy_registry>(strategies.roles))
{
    m_engines.reserve(256);
    const int start = what.placement ? 11 : 18;
    const std::vector<endpoint_offer> known = platformOffers(what.weightLoadSeconds);
    for (int index = 0; index < start; ++index) {
        const bool apart = strategies.prefillEngines > 0;
        const engine_role role = !apart             ? engine_role::Mixed
                : index < strategies.prefillEngines ? engine_role::Prefill
                                                    : engine_role::Decode;
        addEngine(known[static_cast<std::size_t>(index % 3) * 2], role);
    }
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        entry &each = m_entries[index];
        each.router = make<router_registry>(strategies.routing, seed * 100 + index);
        each.admission = make<admission_registry>(strategies.admission);
        each.queue = make<fair_queue_registry>(strategies.fairness);
    }
    if (!strategies.placement.empty())
        m_placement = make<placement_policy_registry>(strategies.placement);
    m_demand.minEndpoints = 3;
    m_demand.maxEndpoints = 40;
    m_demand.nonIdempotentShare = what.nonIdempotentShare;
    m_figures.goodput.resize(static_cast<std::size_t>(what.duration / plotStep) + 1);
}

void fleet_run::addEngine(const endpoint_offer &offer, engine_role role)
{
    const auto index = static_cast<int>(m_engines.size());
    kernel::state::endpoint row;
    row.name = "engine-" + std::to_string(index);
    row.zone = offer.zone;
    row.role = role;
    row.tenure = offer.tenure;
    row.pricePerHour = offer.pricePerHour;
    // a generator of its own: the engines are the same whatever the strategies drew
    std::mt19937 own(static_cast<unsigned>(index) + 17);
    const double slowness = std::uniform_real_distribution<double>(0.9, 1.15)(own);
    m_engines.push_back({std::make_unique<engine_standin>(
                                 m_loop, row, slowness, m_gaps,
                                 [this](job &request, job_event what) { listen(request, what); }),
                         {},
                         0});
    m_engines.back().reports.push_back(m_engines.back().itself->report());
    m_engines.back().itself->cacheChanged = [this, index](int prefix, std::int64_t tokens,
                                                          bool added) {
        const cache_event event{++m_engines[static_cast<std::size_t>(index)].cacheSequence,
                                static_cast<std::uint64_t>(prefix), tokens, added};
        if (static_cast<double>((event.sequence * 2'654'435'761U) % 1'000) < cacheEventLoss * 1'000)
            return;
        m_loop.after(cacheEventLag, [this, index, event] {
            for (entry &each : m_entries)
                each.prefixes.apply(m_loop.now(), "engine-" + std::to_string(index), event);
        });
    };
}

void fleet_run::scheduleArrival()
{
    const double rate = std::max(m_script.load(m_loop.seconds()) / meanWork, 1e-3);
    m_loop.after(std::exponential_distribution<double>(rate)(m_random), [this] {
        if (m_loop.seconds() < m_script.duration) {
            arrive();
            scheduleArrival();
        }
    });
}

void fleet_run::arrive()
{
    const double share = m_script.prefillShare(m_loop.seconds());
    std::lognormal_distribution<double> factor(-spread * spread / 2, spread);
    job &request = m_jobs.emplace_back();
    request.id = m_jobs.size();
    std::discrete_distribution<int> which(
            organisationCount, -0.5, organisationCount - 0.5,
            [this](double index) { return index < 1.75 ? m_script.floodFactor : 1.0; });
    request.organisation = which(m_random);
    request.entry = std::uniform_int_distribution<int>(0, entryCount - 1)(m_random);
    request.prompt
            = std::lround(std::clamp(share * meanWork * 8'000 * factor(m_random), 16.0, 30'000.0));
    request.expectedOutput = std::lround((1 - share) * meanWork * 1'600);
    request.output = std::lround(std::clamp(static_cast<double>(request.expectedOutput)
                                                    * std::min(factor(m_random), 2.5),
                                            2.0, 1'000.0));
    const int prefix = std::uniform_int_distribution<int>(0, 2 * prefixesPerOrganisation)(m_random);
    if (prefix > 0 && prefix <= prefixesPerOrganisation) {
        request.prefix = request.organisation * prefixesPerOrganisation + prefix;
        request.prefixTokens = std::min<std::int64_t>(request.prompt * 2 / 5, 1'024);
    }
    request.idempotent
            = std::uniform_real_distribution<double>(0, 1)(m_random) >= m_script.nonIdempotentShare;
    request.arrived = m_loop.seconds();
    request.deadline = request.arrived + answerWithin;
    m_figures.offered += 1;
    m_promptSince += static_cast<double>(request.prompt);
    m_outputSince += static_cast<double>(request.output);

    entry &at = m_entries[static_cast<std::size_t>(request.entry)];
    const waiting_request waiting = waitingOf(request);
    m_wanted[static_cast<std::size_t>(request.organisation)] += waiting.cost;
    m_loop.after(answerWithin, [this, &request] { endAtDeadline(request); });
    at.meter.arrived(m_loop.now(), waiting);
    const queue_view view = at.meter.view(m_loop.now(), waiting, *at.queue);
    if (at.admission->refuse(m_loop.now(), waiting, view)) {
        m_figures.refused += 1;
        request.ended = true;
        return;
    }
    at.queue->push(m_loop.now(), waiting);
    pump(request.entry);
}

waiting_request fleet_run::waitingOf(const job &request) const
{
    waiting_request waiting;
    waiting.ticket = request.id;
    waiting.organisation = organisationName(request.organisation);
    waiting.cost = requestCost(request.prompt, 0, request.expectedOutput);
    waiting.receivedAt = event_loop::toInstant(request.arrived);
    waiting.deadline = event_loop::toInstant(request.deadline);
    waiting.firstTokenDeadline = event_loop::toInstant(request.arrived + firstTokenWithin);
    waiting.predictedService = m_entries[static_cast<std::size_t>(request.entry)].service.predict(
            request.prompt, request.expectedOutput);
    return waiting;
}

const load_report &fleet_run::visibleReport(engine &of) const
{
    const kernel::instant newest
            = event_loop::toInstant(std::max(m_loop.seconds() - m_script.reportLag, 0.0));
    while (of.reports.size() > 1 && of.reports[1].measuredAt <= newest)
        of.reports.pop_front();
    return of.reports.front();
}

void fleet_run::fillViews(entry &from, const job *request)
{
    m_views.clear();
    m_viewEngines.clear();
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        engine &each = m_engines[index];
        if (each.itself->gone())
            continue;
        endpoint_view view;
        view.row = &each.itself->row();
        view.report = visibleReport(each);
        view.report.role = each.itself->row().role;
        for (const job *sent : from.outstanding[static_cast<int>(index)]) {
            const bool unseen = event_loop::toInstant(sent->dispatched) > view.report.measuredAt;
            const std::int64_t prompt = sent->firstTokenOfTry < 0 ? sent->prompt - sent->cached : 0;
            ++view.ownOutstandingRequests;
            view.ownPrefillTokens += prompt;
            view.ownDecodeTokens += sent->expectedOutput;
            view.sentSinceReport += unseen ? 1 : 0;
            view.prefillTokensSinceReport += unseen ? prompt : 0;
        }
        if (request != nullptr && request->prefix != 0)
            view.cachedPromptTokens
                    = std::min(from.prefixes.tokensAt(m_loop.now(), view.row->name,
                                                      static_cast<std::uint64_t>(request->prefix)),
                               request->prefixTokens);
        view.usable = each.itself->serves() && !each.itself->leaving()
                && (request == nullptr || request->idempotent
                    || view.row->tenure == endpoint_tenure::Steady);
        m_views.push_back(view);
        m_viewEngines.push_back(static_cast<int>(index));
    }
    from.window.markFull(m_loop.now(), m_views, entryCount);
}

/// A router that knows nothing of roles is asked for each side of a divided pool.
std::optional<routing_choice> fleet_run::choose(entry &from, const job &request,
                                                std::vector<endpoint_view> &views)
{
    routing_request asked;
    asked.promptTokens = request.prompt;
    asked.outputTokens = request.expectedOutput;
    asked.deadline = event_loop::toInstant(request.deadline);
    asked.idempotent = request.idempotent;
    asked.entries = entryCount;
    const auto isPrefill
            = [](const endpoint_view &view) { return view.report.role == engine_role::Prefill; };
    if (m_strategies.routing.starts_with("predicted") || std::ranges::none_of(views, isPrefill))
        return from.router->choose(m_loop.now(), asked, views);
    std::vector<endpoint_view> side = views;
    for (endpoint_view &view : side)
        view.usable = view.usable && !isPrefill(view);
    auto choice = from.router->choose(m_loop.now(), asked, side);
    if (!choice || request.prompt < apartFrom)
        return choice;
    for (std::size_t index = 0; index < views.size(); ++index)
        side[index].usable = views[index].usable && isPrefill(views[index]);
    if (const auto prefill = from.router->choose(m_loop.now(), asked, side))
        choice->prefillIndex = prefill->index;
    return choice;
}

void fleet_run::pump(int entryIndex)
{
    entry &from = m_entries[static_cast<std::size_t>(entryIndex)];
    for (const waiting_request &late : from.queue->takeLate(m_loop.now())) {
        m_figures.refused += 1;
        m_jobs[late.ticket - 1].ended = true;
    }
    std::vector<waiting_request> stuck = std::move(from.stuck);
    from.stuck.clear();
    for (const waiting_request &request : stuck) {
        if (!dispatch(entryIndex, request))
            from.stuck.push_back(request);
    }
    while (from.queue->size() > 0 && from.stuck.size() < mostStuck) {
        fillViews(from, nullptr);
        if (std::ranges::none_of(m_views, [](const endpoint_view &view) {
                return view.usable && view.report.role != engine_role::Prefill;
            }))
            return;
        const std::optional<waiting_request> next = from.queue->pop(m_loop.now());
        if (!dispatch(entryIndex, *next))
            from.stuck.push_back(*next);
    }
}

bool fleet_run::dispatch(int entryIndex, const waiting_request &request)
{
    entry &from = m_entries[static_cast<std::size_t>(entryIndex)];
    job &its = m_jobs[request.ticket - 1];
    if (its.ended)
        return true;
    fillViews(from, &its);
    const auto choice = choose(from, its, m_views);
    if (!choice)
        return false;
    its.engine = m_viewEngines[choice->index];
    its.prefillEngine = choice->prefillIndex ? m_viewEngines[*choice->prefillIndex] : -1;
    const std::size_t first = choice->prefillIndex.value_or(choice->index);
    its.dispatched = m_loop.seconds();
    its.runningAtDispatch = m_views[choice->index].report.running;
    its.cached = m_views[first].cachedPromptTokens; // what the entry believes, until it began
    its.prefillLeft = static_cast<double>(its.prompt);
    its.generated = 0;
    its.firstTokenOfTry = -1;
    ++its.tries;
    from.meter.dispatched(m_loop.now(), request);
    from.charged[request.organisation] += request.cost;
    from.outstanding[its.engine].push_back(&its);
    const bool cheap = m_engines[static_cast<std::size_t>(its.engine)].itself->row().tenure
            == endpoint_tenure::Cheap;
    m_figures.broken += cheap && !its.idempotent ? 1 : 0;
    if (its.prefillEngine >= 0) {
        from.outstanding[its.prefillEngine].push_back(&its);
        its.cached = 0;
        m_engines[static_cast<std::size_t>(its.prefillEngine)].itself->accept(its, true);
    } else {
        its.cached = 0;
        m_engines[static_cast<std::size_t>(its.engine)].itself->accept(its, false);
    }
    return true;
}

void fleet_run::release(job &request, int engineIndex)
{
    entry &from = m_entries[static_cast<std::size_t>(request.entry)];
    std::erase(from.outstanding[engineIndex], &request);
}

void fleet_run::listen(job &request, job_event what)
{
    // handled after the engine's own step, as a message would be
    switch (what) {
    case job_event::FirstToken:
        request.firstTokenOfTry = m_loop.seconds();
        if (request.firstToken < 0)
            request.firstToken = m_loop.seconds();
        break;
    case job_event::PromptFilled:
        sendOn(request);
        break;
    case job_event::Done:
        finish(request);
        break;
    case job_event::Lost:
        m_loop.after(0, [this, &request] { retry(request); });
        return;
    }
    m_loop.after(0.001, [this, index = request.entry] { pump(index); });
}

void fleet_run::sendOn(job &request)
{
    release(request, request.prefillEngine);
    request.prefillEngine = -1;
    request.prefillLeft = 0;
    const double transfer = 0.02 + 5e-6 * static_cast<double>(request.prompt);
    m_loop.after(transfer, [this, &request] {
        if (request.ended)
            return;
        m_engines[static_cast<std::size_t>(request.engine)].itself->accept(request, false);
    });
}

void fleet_run::finish(job &request)
{
    release(request, request.engine);
    entry &from = m_entries[static_cast<std::size_t>(request.entry)];
    const engine_standin &by = *m_engines[static_cast<std::size_t>(request.engine)].itself;
    const double now = m_loop.seconds();
    routing_outcome outcome;
    outcome.endpoint = by.row().name;
    outcome.promptTokens = request.prompt;
    outcome.cachedTokens = request.cached;
    outcome.outputTokens = request.output;
    const auto since = [&](double at) {
        return event_loop::toInstant(at) - event_loop::toInstant(request.dispatched);
    };
    outcome.timeToFirstToken = since(request.firstTokenOfTry);
    outcome.totalTime = since(now);
    outcome.runningAtDispatch = request.runningAtDispatch;
    outcome.answered = true;
    from.router->observe(m_loop.now(), outcome);
    from.service.observe(outcome);
    from.window.observe(outcome);
    const auto organisation = static_cast<std::size_t>(request.organisation);
    const double expected = requestCost(request.prompt, 0, request.expectedOutput);
    const double actual = requestCost(request.prompt, request.cached, request.output);
    from.queue->charge(organisationName(request.organisation), 1.0, actual - expected);
    from.charged[organisationName(request.organisation)] += actual - expected;
    m_allWork += actual;
    m_cheapWork += by.row().tenure == endpoint_tenure::Cheap ? actual : 0;
    request.ended = true;
    m_figures.inTime += 1;
    m_figures.goodput[std::min(static_cast<std::size_t>(request.arrived / plotStep),
                               m_figures.goodput.size() - 1)]
            += 1 / plotStep;
    m_served[organisation] += expected;
    m_waits[organisation].push_back(request.firstToken - request.arrived);
}

void fleet_run::retry(job &request)
{
    if (request.prefillEngine >= 0)
        release(request, request.prefillEngine);
    release(request, request.engine);
    entry &from = m_entries[static_cast<std::size_t>(request.entry)];
    if (request.ended)
        return;
    request.engine = request.prefillEngine = -1;
    if (request.idempotent && request.tries < 3) {
        from.queue->push(m_loop.now(), waitingOf(request));
        pump(request.entry);
    } else {
        m_figures.lost += 1;
        request.ended = true;
    }
}

/// The caller gets its final answer at the deadline; the engine is told to stop.
void fleet_run::endAtDeadline(job &request)
{
    if (request.ended)
        return;
    request.ended = true;
    m_figures.late += 1;
    entry &from = m_entries[static_cast<std::size_t>(request.entry)];
    if (from.queue->remove(request.id) || request.engine < 0)
        return;
    for (const int index : {request.prefillEngine, request.engine}) {
        if (index < 0)
            continue;
        m_engines[static_cast<std::size_t>(index)].itself->cancel(request);
        release(request, index);
    }
    pump(request.entry);
}

void fleet_run::every(double period, void (fleet_run::*action)())
{
    m_loop.after(period, [this, period, action] {
        (this->*action)();
        every(period, action);
    });
}

void fleet_run::sampleReports()
{
    for (engine &each : m_engines) {
        if (!each.itself->gone())
            each.reports.push_back(each.itself->report());
    }
    for (int index = 0; index < entryCount; ++index)
        pump(index);
}

void fleet_run::exchangeCharges()
{
    for (std::size_t from = 0; from < m_entries.size(); ++from) {
        for (const auto &[organisation, cost] : m_entries[from].charged) {
            for (std::size_t to = 0; to < m_entries.size(); ++to) {
                if (to != from)
                    m_entries[to].queue->applyRemoteCharge(organisation, 1.0, cost);
            }
        }
        m_entries[from].charged.clear();
    }
}

figures fleet_run::run()
{
    scheduleArrival();
    every(reportPeriod, &fleet_run::sampleReports);
    every(0.5, &fleet_run::exchangeCharges);
    every(2, &fleet_run::decideRoles);
    every(5, &fleet_run::decidePlacement);
    for (const disturbance &each : m_script.disturbances)
        m_loop.after(each.at, [this, each] { disturb(each); });
    m_loop.run(m_script.duration + 30);
    figures result = m_figures;
    settle(result);
    return result;
}

} // namespace yuccascale::measure
