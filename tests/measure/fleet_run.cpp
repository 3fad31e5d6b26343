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

constexpr double meanWorkSeconds = 0.25; ///< engine-seconds per request
constexpr double answerDeadlineSeconds = 12;
constexpr double firstTokenDeadlineSeconds = 1.3;
constexpr double tokenLogSigma = 0.7; ///< standard deviation of the logarithm of a request's tokens
constexpr int prefixesPerOrganisation = 6;
constexpr double reportPeriod = 0.25;
constexpr double cacheEventLagSeconds = 1.0;
constexpr double cacheEventLoss = 0.1;
constexpr std::size_t maxUndispatched = 4; ///< popped requests for which no endpoint is usable
constexpr std::int64_t minSplitPromptTokens = 512; ///< from here a baseline uses prefill engines

std::string organisationName(int index)
{
    return "organisation-" + std::to_string(index);
}

template<typename Registry, typename... Arguments>
auto make(const std::string &name, Arguments... arguments)
{
    auto made = Registry::make(name, arguments...);
    if (!made)
        throw std::runtime_error("unknown strategy; use a registered name instead of " + name);
    return std::move(made.value());
}

} // namespace

fleet_run::fleet_run(const load_scenario &scenario, const strategy_set &strategies,
                     std::uint64_t seed)
    : m_scenario(scenario)
    , m_strategies(strategies)
    , m_random(seed)
    , m_entries(entryCount)
    , m_roles(make<role_policy_registry>(strategies.roles))
{
    m_engines.reserve(256);
    const int start = scenario.placement ? 11 : 18;
    const std::vector<endpoint_offer> offers = platformOffers(scenario.weightLoadSeconds);
    for (int index = 0; index < start; ++index) {
        const bool split = strategies.prefillEngines > 0;
        const engine_role role = !split             ? engine_role::Mixed
                : index < strategies.prefillEngines ? engine_role::Prefill
                                                    : engine_role::Decode;
        addEngine(offers[static_cast<std::size_t>(index % 3) * 2], role);
    }
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        entry &node = m_entries[index];
        node.router = make<router_registry>(strategies.routing, seed * 100 + index);
        node.admission = make<admission_registry>(strategies.admission);
        node.queue = make<fair_queue_registry>(strategies.fairness);
    }
    if (!strategies.placement.empty())
        m_placement = make<placement_policy_registry>(strategies.placement);
    m_demand.minEndpoints = 3;
    m_demand.maxEndpoints = 40;
    m_demand.nonIdempotentShare = scenario.nonIdempotentShare;
    m_figures.goodput.resize(static_cast<std::size_t>(scenario.duration / plotStepSeconds) + 1);
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
    // separate generator, so that the engines do not depend on the random draws of the strategies
    std::mt19937 engineRandom(static_cast<unsigned>(index) + 17);
    const double slowdownFactor = std::uniform_real_distribution<double>(0.9, 1.15)(engineRandom);
    m_engines.push_back({std::make_unique<engine_standin>(
                                 m_loop, row, slowdownFactor, m_gaps,
                                 [this](simulated_request &request, request_event event) {
                                     handleEvent(request, event);
                                 }),
                         {},
                         0});
    m_engines.back().reports.push_back(m_engines.back().standin->report());
    m_engines.back().standin->onCacheChange = [this, index](int prefix, std::int64_t tokens,
                                                            bool added) {
        const cache_event event{++m_engines[static_cast<std::size_t>(index)].cacheSequence,
                                static_cast<std::uint64_t>(prefix), tokens, added};
        if (static_cast<double>((event.sequence * 2'654'435'761U) % 1'000) < cacheEventLoss * 1'000)
            return;
        m_loop.scheduleAfter(cacheEventLagSeconds, [this, index, event] {
            for (entry &node : m_entries)
                node.prefixes.apply(m_loop.now(), "engine-" + std::to_string(index), event);
        });
    };
}

void fleet_run::scheduleArrival()
{
    const double rate = std::max(m_scenario.load(m_loop.seconds()) / meanWorkSeconds, 1e-3);
    m_loop.scheduleAfter(std::exponential_distribution<double>(rate)(m_random), [this] {
        if (m_loop.seconds() < m_scenario.duration) {
            handleArrival();
            scheduleArrival();
        }
    });
}

void fleet_run::handleArrival()
{
    const double share = m_scenario.prefillShare(m_loop.seconds());
    std::lognormal_distribution<double> factor(-tokenLogSigma * tokenLogSigma / 2, tokenLogSigma);
    simulated_request &request = m_jobs.emplace_back();
    request.id = m_jobs.size();
    std::discrete_distribution<int> organisationDistribution(
            organisationCount, -0.5, organisationCount - 0.5,
            [this](double index) { return index < 1.75 ? m_scenario.floodFactor : 1.0; });
    request.organisation = organisationDistribution(m_random);
    request.entry = std::uniform_int_distribution<int>(0, entryCount - 1)(m_random);
    request.promptTokens = std::lround(
            std::clamp(share * meanWorkSeconds * 8'000 * factor(m_random), 16.0, 30'000.0));
    request.expectedOutputTokens = std::lround((1 - share) * meanWorkSeconds * 1'600);
    request.outputTokens = std::lround(std::clamp(static_cast<double>(request.expectedOutputTokens)
                                                          * std::min(factor(m_random), 2.5),
                                                  2.0, 1'000.0));
    const int prefix = std::uniform_int_distribution<int>(0, 2 * prefixesPerOrganisation)(m_random);
    if (prefix > 0 && prefix <= prefixesPerOrganisation) {
        request.prefix = request.organisation * prefixesPerOrganisation + prefix;
        request.prefixTokens = std::min<std::int64_t>(request.promptTokens * 2 / 5, 1'024);
    }
    request.idempotent = std::uniform_real_distribution<double>(0, 1)(m_random)
            >= m_scenario.nonIdempotentShare;
    request.arrivedAt = m_loop.seconds();
    request.deadline = request.arrivedAt + answerDeadlineSeconds;
    m_figures.offered += 1;
    m_promptTokensSinceDecision += static_cast<double>(request.promptTokens);
    m_outputTokensSinceDecision += static_cast<double>(request.outputTokens);

    entry &receiver = m_entries[static_cast<std::size_t>(request.entry)];
    const waiting_request waiting = makeWaitingRequest(request);
    m_offeredCost[static_cast<std::size_t>(request.organisation)] += waiting.cost;
    m_loop.scheduleAfter(answerDeadlineSeconds, [this, &request] { endAtDeadline(request); });
    receiver.meter.arrived(m_loop.now(), waiting);
    const queue_view view = receiver.meter.view(m_loop.now(), waiting, *receiver.queue);
    if (receiver.admission->refuse(m_loop.now(), waiting, view)) {
        m_figures.refused += 1;
        request.ended = true;
        return;
    }
    receiver.queue->push(m_loop.now(), waiting);
    dispatchQueued(request.entry);
}

waiting_request fleet_run::makeWaitingRequest(const simulated_request &request) const
{
    waiting_request waiting;
    waiting.ticket = request.id;
    waiting.organisation = organisationName(request.organisation);
    waiting.cost = requestCost(request.promptTokens, 0, request.expectedOutputTokens);
    waiting.receivedAt = event_loop::toInstant(request.arrivedAt);
    waiting.deadline = event_loop::toInstant(request.deadline);
    waiting.firstTokenDeadline
            = event_loop::toInstant(request.arrivedAt + firstTokenDeadlineSeconds);
    const entry &sender = m_entries[static_cast<std::size_t>(request.entry)];
    waiting.predictedService
            = sender.service.predict(request.promptTokens, request.expectedOutputTokens)
                      .value_or(kernel::nanoseconds::zero());
    return waiting;
}

const load_report &fleet_run::visibleReport(engine &source) const
{
    const kernel::instant newest
            = event_loop::toInstant(std::max(m_loop.seconds() - m_scenario.reportLagSeconds, 0.0));
    while (source.reports.size() > 1 && source.reports[1].measuredAt <= newest)
        source.reports.pop_front();
    return source.reports.front();
}

void fleet_run::fillViews(entry &sender, const simulated_request *request)
{
    m_views.clear();
    m_viewEngineIndexes.clear();
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        engine &candidate = m_engines[index];
        if (candidate.standin->hasEnded())
            continue;
        endpoint_view view;
        view.row = &candidate.standin->row();
        view.report = visibleReport(candidate);
        view.report.role = candidate.standin->row().role;
        for (const simulated_request *sent : sender.outstanding[static_cast<int>(index)]) {
            const bool unseen = event_loop::toInstant(sent->dispatchedAt) > view.report.measuredAt;
            const std::int64_t promptTokens
                    = sent->attemptFirstTokenAt < 0 ? sent->promptTokens - sent->cachedTokens : 0;
            ++view.ownOutstandingRequests;
            view.ownPrefillTokens += promptTokens;
            view.ownDecodeTokens += sent->expectedOutputTokens;
            view.sentSinceReport += unseen ? 1 : 0;
            view.prefillTokensSinceReport += unseen ? promptTokens : 0;
        }
        if (request != nullptr && request->prefix != 0)
            view.cachedPromptTokens = std::min(
                    sender.prefixes.tokensAt(m_loop.now(), view.row->name,
                                             static_cast<std::uint64_t>(request->prefix)),
                    request->prefixTokens);
        view.usable = candidate.standin->isServing() && !candidate.standin->leaving()
                && (request == nullptr || request->idempotent
                    || view.row->tenure == endpoint_tenure::Steady);
        m_views.push_back(view);
        m_viewEngineIndexes.push_back(static_cast<int>(index));
    }
    sender.window.markFull(m_loop.now(), m_views, entryCount);
}

/// A router without support for roles chooses among the decode and the prefill engines separately.
std::optional<routing_choice> fleet_run::choose(entry &sender, const simulated_request &request,
                                                std::vector<endpoint_view> &views)
{
    routing_request routingRequest;
    routingRequest.promptTokens = request.promptTokens;
    routingRequest.outputTokens = request.expectedOutputTokens;
    routingRequest.deadline = event_loop::toInstant(request.deadline);
    routingRequest.idempotent = request.idempotent;
    routingRequest.entries = entryCount;
    const auto isPrefill
            = [](const endpoint_view &view) { return view.report.role == engine_role::Prefill; };
    if (m_strategies.routing.starts_with("predicted") || std::ranges::none_of(views, isPrefill))
        return sender.router->choose(m_loop.now(), routingRequest, views);
    std::vector<endpoint_view> candidates = views;
    for (endpoint_view &view : candidates)
        view.usable = view.usable && !isPrefill(view);
    auto choice = sender.router->choose(m_loop.now(), routingRequest, candidates);
    if (!choice || request.promptTokens < minSplitPromptTokens)
        return choice;
    for (std::size_t index = 0; index < views.size(); ++index)
        candidates[index].usable = views[index].usable && isPrefill(views[index]);
    if (const auto prefill = sender.router->choose(m_loop.now(), routingRequest, candidates))
        choice->prefillIndex = prefill->index;
    return choice;
}

void fleet_run::dispatchQueued(int entryIndex)
{
    entry &sender = m_entries[static_cast<std::size_t>(entryIndex)];
    for (const waiting_request &late : sender.queue->takeLate(m_loop.now())) {
        m_figures.refused += 1;
        m_jobs[late.ticket - 1].ended = true;
    }
    std::vector<waiting_request> undispatched = std::move(sender.undispatched);
    sender.undispatched.clear();
    for (const waiting_request &request : undispatched) {
        if (!dispatch(entryIndex, request))
            sender.undispatched.push_back(request);
    }
    while (sender.queue->size() > 0 && sender.undispatched.size() < maxUndispatched) {
        fillViews(sender, nullptr);
        if (std::ranges::none_of(m_views, [](const endpoint_view &view) {
                return view.usable && view.report.role != engine_role::Prefill;
            }))
            return;
        const std::optional<waiting_request> next = sender.queue->pop(m_loop.now());
        if (!dispatch(entryIndex, *next))
            sender.undispatched.push_back(*next);
    }
}

bool fleet_run::dispatch(int entryIndex, const waiting_request &request)
{
    entry &sender = m_entries[static_cast<std::size_t>(entryIndex)];
    simulated_request &dispatchedRequest = m_jobs[request.ticket - 1];
    if (dispatchedRequest.ended)
        return true;
    fillViews(sender, &dispatchedRequest);
    const auto choice = choose(sender, dispatchedRequest, m_views);
    if (!choice)
        return false;
    dispatchedRequest.engine = m_viewEngineIndexes[choice->index];
    dispatchedRequest.prefillEngine
            = choice->prefillIndex ? m_viewEngineIndexes[*choice->prefillIndex] : -1;
    const std::size_t first = choice->prefillIndex.value_or(choice->index);
    dispatchedRequest.dispatchedAt = m_loop.seconds();
    dispatchedRequest.runningAtDispatch = m_views[choice->index].report.running;
    dispatchedRequest.cachedTokens = m_views[first].cachedPromptTokens; // estimate until it starts
    dispatchedRequest.prefillTokensLeft = static_cast<double>(dispatchedRequest.promptTokens);
    dispatchedRequest.generatedTokens = 0;
    dispatchedRequest.attemptFirstTokenAt = -1;
    ++dispatchedRequest.attempts;
    sender.meter.dispatched(m_loop.now(), request);
    sender.pendingCharges[request.organisation] += request.cost;
    sender.outstanding[dispatchedRequest.engine].push_back(&dispatchedRequest);
    const bool cheap
            = m_engines[static_cast<std::size_t>(dispatchedRequest.engine)].standin->row().tenure
            == endpoint_tenure::Cheap;
    m_figures.nonIdempotentOnCheap += cheap && !dispatchedRequest.idempotent ? 1 : 0;
    if (dispatchedRequest.prefillEngine >= 0) {
        sender.outstanding[dispatchedRequest.prefillEngine].push_back(&dispatchedRequest);
        dispatchedRequest.cachedTokens = 0;
        m_engines[static_cast<std::size_t>(dispatchedRequest.prefillEngine)].standin->accept(
                dispatchedRequest, true);
    } else {
        dispatchedRequest.cachedTokens = 0;
        m_engines[static_cast<std::size_t>(dispatchedRequest.engine)].standin->accept(
                dispatchedRequest, false);
    }
    return true;
}

void fleet_run::release(simulated_request &request, int engineIndex)
{
    entry &sender = m_entries[static_cast<std::size_t>(request.entry)];
    std::erase(sender.outstanding[engineIndex], &request);
}

void fleet_run::handleEvent(simulated_request &request, request_event event)
{
    // retries and dispatches are scheduled, so that they run after the engine's own step
    switch (event) {
    case request_event::FirstToken:
        request.attemptFirstTokenAt = m_loop.seconds();
        if (request.firstTokenAt < 0)
            request.firstTokenAt = m_loop.seconds();
        break;
    case request_event::PromptPrefilled:
        forwardToDecode(request);
        break;
    case request_event::Done:
        finish(request);
        break;
    case request_event::Lost:
        m_loop.scheduleAfter(0, [this, &request] { retry(request); });
        return;
    }
    m_loop.scheduleAfter(0.001, [this, index = request.entry] { dispatchQueued(index); });
}

void fleet_run::forwardToDecode(simulated_request &request)
{
    release(request, request.prefillEngine);
    request.prefillEngine = -1;
    request.prefillTokensLeft = 0;
    const double transfer = 0.02 + 5e-6 * static_cast<double>(request.promptTokens);
    m_loop.scheduleAfter(transfer, [this, &request] {
        if (request.ended)
            return;
        m_engines[static_cast<std::size_t>(request.engine)].standin->accept(request, false);
    });
}

void fleet_run::finish(simulated_request &request)
{
    release(request, request.engine);
    entry &sender = m_entries[static_cast<std::size_t>(request.entry)];
    const engine_standin &standin = *m_engines[static_cast<std::size_t>(request.engine)].standin;
    const double now = m_loop.seconds();
    routing_outcome outcome;
    outcome.endpoint = standin.row().name;
    outcome.promptTokens = request.promptTokens;
    outcome.cachedTokens = request.cachedTokens;
    outcome.outputTokens = request.outputTokens;
    const auto sinceDispatch = [&](double at) {
        return event_loop::toInstant(at) - event_loop::toInstant(request.dispatchedAt);
    };
    outcome.timeToFirstToken = sinceDispatch(request.attemptFirstTokenAt);
    outcome.totalTime = sinceDispatch(now);
    outcome.runningAtDispatch = request.runningAtDispatch;
    outcome.answered = true;
    sender.router->observe(m_loop.now(), outcome);
    sender.service.observe(outcome);
    sender.window.observe(outcome);
    const auto organisation = static_cast<std::size_t>(request.organisation);
    const double expected = requestCost(request.promptTokens, 0, request.expectedOutputTokens);
    const double actual
            = requestCost(request.promptTokens, request.cachedTokens, request.outputTokens);
    sender.queue->charge(organisationName(request.organisation), 1.0, actual - expected);
    sender.pendingCharges[organisationName(request.organisation)] += actual - expected;
    m_totalCost += actual;
    m_cheapCost += standin.row().tenure == endpoint_tenure::Cheap ? actual : 0;
    request.ended = true;
    m_figures.inTime += 1;
    m_figures.goodput[std::min(static_cast<std::size_t>(request.arrivedAt / plotStepSeconds),
                               m_figures.goodput.size() - 1)]
            += 1 / plotStepSeconds;
    m_servedCost[organisation] += expected;
    m_firstTokenWaits[organisation].push_back(request.firstTokenAt - request.arrivedAt);
}

void fleet_run::retry(simulated_request &request)
{
    if (request.prefillEngine >= 0)
        release(request, request.prefillEngine);
    release(request, request.engine);
    entry &sender = m_entries[static_cast<std::size_t>(request.entry)];
    if (request.ended)
        return;
    request.engine = request.prefillEngine = -1;
    if (request.idempotent && request.attempts < 3) {
        sender.queue->push(m_loop.now(), makeWaitingRequest(request));
        dispatchQueued(request.entry);
    } else {
        m_figures.lost += 1;
        request.ended = true;
    }
}

/// Ends the request for its caller at the deadline and cancels it on its engines.
void fleet_run::endAtDeadline(simulated_request &request)
{
    if (request.ended)
        return;
    request.ended = true;
    m_figures.late += 1;
    entry &sender = m_entries[static_cast<std::size_t>(request.entry)];
    if (sender.queue->remove(request.id) || request.engine < 0)
        return;
    for (const int index : {request.prefillEngine, request.engine}) {
        if (index < 0)
            continue;
        m_engines[static_cast<std::size_t>(index)].standin->cancel(request);
        release(request, index);
    }
    dispatchQueued(request.entry);
}

void fleet_run::runEvery(double period, void (fleet_run::*action)())
{
    m_loop.scheduleAfter(period, [this, period, action] {
        (this->*action)();
        runEvery(period, action);
    });
}

void fleet_run::sampleReports()
{
    for (engine &candidate : m_engines) {
        if (!candidate.standin->hasEnded())
            candidate.reports.push_back(candidate.standin->report());
    }
    for (int index = 0; index < entryCount; ++index)
        dispatchQueued(index);
}

void fleet_run::exchangeCharges()
{
    for (std::size_t sender = 0; sender < m_entries.size(); ++sender) {
        for (const auto &[organisation, cost] : m_entries[sender].pendingCharges) {
            for (std::size_t to = 0; to < m_entries.size(); ++to) {
                if (to != sender)
                    m_entries[to].queue->applyRemoteCharge(organisation, 1.0, cost);
            }
        }
        m_entries[sender].pendingCharges.clear();
    }
}

figures fleet_run::run()
{
    scheduleArrival();
    runEvery(reportPeriod, &fleet_run::sampleReports);
    runEvery(0.5, &fleet_run::exchangeCharges);
    runEvery(2, &fleet_run::decideRoles);
    runEvery(5, &fleet_run::decidePlacement);
    for (const disturbance &event : m_scenario.disturbances)
        m_loop.scheduleAfter(event.at, [this, event] { applyDisturbance(event); });
    m_loop.run(m_scenario.duration + 30);
    figures result = m_figures;
    completeFigures(result);
    return result;
}

} // namespace yuccascale::measure
