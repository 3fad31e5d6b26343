#include "yuccascale/runtime/duties.hpp"

#include "yuccascale/kernel/orders/events.hpp"
#include "yuccascale/kernel/orders/permit.hpp"
#include "yuccascale/kernel/usage/entry_succession.hpp"
#include "yuccascale/kernel/usage/events.hpp"
#include "yuccascale/runtime/capacity_report.hpp"
#include "yuccascale/runtime/duty_times.hpp"
#include "yuccascale/runtime/events.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace yuccascale::runtime {

using namespace kernel::orders;
using kernel::error_kind;
using kernel::instant;
using kernel::result;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t workerThreads = 8;
constexpr milliseconds roundInterval{50};
constexpr milliseconds listInterval{1'000};
constexpr milliseconds submitTimeout{3'000};
constexpr std::chrono::seconds capacityLineInterval{5};

template<typename Policy>
std::function<std::unique_ptr<Policy>()> policyFactory(const std::string &name)
{
    return [name]() -> std::unique_ptr<Policy> {
        std::unique_ptr<Policy> policy;
        kernel::error problem;
        const auto make = [&]() -> result<void> {
            BOOST_LEAF_ASSIGN(policy, kernel::plugin_registry<Policy>::make(name));
            return {};
        };
        return kernel::succeeded(make, problem) ? std::move(policy) : nullptr;
    };
}

/// The answer of a call, or its error.
template<typename T>
struct call_outcome
{
    std::optional<T> answer;
    kernel::error failure;
};

template<typename T, typename Call>
call_outcome<T> outcomeOf(Call &&call)
{
    call_outcome<T> outcome;
    const auto attempt = [&]() -> result<void> {
        BOOST_LEAF_AUTO(answer, call());
        outcome.answer = std::move(answer);
        return {};
    };
    if (!kernel::succeeded(attempt, outcome.failure))
        outcome.answer.reset();
    return outcome;
}

using submit_outcome = call_outcome<kernel::state::command_result>;

bool isAccepted(const submit_outcome &outcome)
{
    return outcome.answer && outcome.answer->accepted;
}

/// \returns the milliseconds since then; -1 when that is not known.
std::int64_t ageOf(instant now, std::optional<instant> time)
{
    return time ? std::chrono::duration_cast<milliseconds>(now - *time).count() : -1;
}

void recordRefusal(kernel::event_sink &events, const submit_outcome &outcome)
{
    if (isAccepted(outcome))
        return;
    const std::string &message = outcome.answer ? outcome.answer->message : outcome.failure.message;
    events.record(commandRefused, {{"message", message}});
}

} // namespace

leader_duties::leader_duties(duty_context context, duty_drivers drivers)
    : m_context(std::move(context))
    , m_drivers(std::move(drivers))
    , m_orderDriver(orderTimes(m_context.config), m_context.events)
    , m_usageReporter(usageTimes(m_context.config), m_context.events)
    , m_fleetScheduler(
              {}, policyFactory<kernel::policy::role_policy>(m_context.config.policy.roles),
              policyFactory<kernel::policy::placement_policy>(m_context.config.policy.placement),
              m_context.events)
    , m_listReads({m_context.config.control.feedInterval, m_context.config.platform.listInterval,
                   m_context.config.promises.drainNotice},
                  m_context.clock.now())
    , m_task(
              roundInterval, [this] { tick(); }, m_context.thread)
    , m_workers(workerThreads, m_context.workers)
{ }

leader_duties::~leader_duties()
{
    stop();
}

void leader_duties::start()
{
    m_task.start();
}

void leader_duties::stop()
{
    m_task.stop();
}

void leader_duties::tick()
{
    for (const duties_workers::completion &completion : m_workers.takeCompletions())
        completion();
    const instant now = m_context.clock.now();
    const held_leadership leadership = m_context.leadershipSource.current(now);
    const kernel::state::leader_view view
            = leadership ? m_context.readState() : kernel::state::leader_view{};
    m_tables = view.tables;
    for (order_action &action : m_orderDriver.step(now, wallMs(), leadership, view))
        std::visit([this](auto &chosen) { execute(std::move(chosen)); }, action);
    if (!leadership)
        forgetCapacity();
    if (auto action = m_usageReporter.step(now, wallMs(), leadership, view.usage))
        executeUsage(std::move(*action));
    readEndpointList(now, leadership);
    if (!leadership || m_pendingSubmits != 0)
        return;
    retireEntries(now, view);
    scheduleFleet(now, leadership, view);
    readVmsAndOffers(now);
}

template<typename Call, typename Handler>
void leader_duties::runOnWorker(Call call, Handler onDone)
{
    using answer = std::decay_t<decltype(call().value())>;
    m_workers.run(
            [call = std::move(call), onDone = std::move(onDone)]() -> duties_workers::completion {
                call_outcome<answer> outcome = outcomeOf<answer>(call);
                return [onDone, outcome = std::move(outcome)] { onDone(outcome); };
            });
}

template<typename Handler>
void leader_duties::propose(kernel::state::command command, Handler onDone)
{
    runOnWorker(
            [this, command = std::move(command)] {
                return m_context.control.submit(command, m_context.clock.now() + submitTimeout);
            },
            std::move(onDone));
}

order_target *leader_duties::targetAt(const std::string &address) const
{
    return address.empty() ? m_drivers.platform.get() : m_drivers.engines.get();
}

send_permit leader_duties::permitFor(std::uint64_t fence, instant decidedAt) const
{
    return [this, fence, decidedAt, sendTimeout = orderTimes(m_context.config).sendTimeout] {
        const instant now = m_context.clock.now();
        return sendPermitted(m_context.leadershipSource.current(now), fence, decidedAt, now,
                             sendTimeout);
    };
}

std::int64_t leader_duties::wallMs() const
{
    const kernel::wall_time now
            = m_context.agreedTime ? m_context.agreedTime() : m_context.clock.wallNow();
    return now.time_since_epoch().count();
}

void leader_duties::execute(const query_order &action)
{
    order_target *target = targetAt(action.address);
    if (target == nullptr) {
        m_orderDriver.onQueryReply(m_context.clock.now(), action.ticket, std::nullopt);
        return;
    }
    runOnWorker([target, action] { return target->queryOrder(action.address, action.orderId); },
                [this, ticket = action.ticket](const call_outcome<target_reply> &outcome) {
                    m_orderDriver.onQueryReply(m_context.clock.now(), ticket, outcome.answer);
                });
}

void leader_duties::execute(const inspect_target &action)
{
    runOnWorker([source = m_drivers.loads.get(), action] { return source->report(action.address); },
                [this, ticket = action.ticket](const call_outcome<target_report> &outcome) {
                    m_orderDriver.onLoadReport(m_context.clock.now(), ticket, outcome.answer);
                });
}

void leader_duties::execute(const fetch_weights &action)
{
    if (!m_drivers.weights) {
        m_orderDriver.onFetchReply(m_context.clock.now(), wallMs(), action.ticket,
                                   fetch_reply{true, {}});
        return;
    }
    runOnWorker(
            [store = m_drivers.weights.get(), action,
             permit = permitFor(action.fence, action.decidedAt)] {
                return store->fetch(action.model, action.endpoint, permit);
            },
            [this, ticket = action.ticket](const call_outcome<fetch_reply> &outcome) {
                m_orderDriver.onFetchReply(m_context.clock.now(), wallMs(), ticket, outcome.answer);
            });
}

void leader_duties::execute(send_order action)
{
    const std::uint64_t ticket = action.ticket;
    order_target *target = targetAt(action.message.address);
    if (target == nullptr) {
        m_orderDriver.onSendResult(m_context.clock.now(), ticket, send_end::NotSent, std::nullopt);
        return;
    }
    runOnWorker([target, message = std::move(action.message),
                 permit = permitFor(action.fence,
                                    action.decidedAt)] { return target->send(message, permit); },
                [this, ticket](const call_outcome<target_reply> &outcome) {
                    const bool lost = !outcome.answer
                            && outcome.failure.kind != error_kind::Unavailable
                            && outcome.failure.kind != error_kind::Forbidden;
                    const send_end end = outcome.answer ? send_end::Answered
                            : lost                      ? send_end::Lost
                                                        : send_end::NotSent;
                    m_orderDriver.onSendResult(m_context.clock.now(), ticket, end, outcome.answer);
                });
}

void leader_duties::execute(submit_command action)
{
    propose(std::move(action.command),
            [this, ticket = action.ticket](const submit_outcome &outcome) {
                recordRefusal(m_context.events, outcome);
                m_orderDriver.onSubmitResult(m_context.clock.now(), ticket);
            });
}

void leader_duties::executeUsage(kernel::usage::usage_action action)
{
    if (auto *submission = std::get_if<submit_command>(&action)) {
        propose(std::move(submission->command),
                [this, ticket = submission->ticket](const submit_outcome &outcome) {
                    m_usageReporter.onSubmitResult(m_context.clock.now(), ticket,
                                                   isAccepted(outcome));
                });
        return;
    }
    auto &report = std::get<kernel::usage::report_window>(action);
    if (!m_drivers.usage) {
        m_usageReporter.onReportResult(m_context.clock.now(), report.ticket, usage_reply::Accepted);
        return;
    }
    runOnWorker(
            [sink = m_drivers.usage.get(), window = std::move(report.window), fence = report.fence,
             permit = permitFor(report.fence, report.decidedAt)] {
                return sink->report(window, fence, permit);
            },
            [this, ticket = report.ticket](const call_outcome<usage_reply> &outcome) {
                m_usageReporter.onReportResult(m_context.clock.now(), ticket, outcome.answer);
            });
}

void leader_duties::scheduleFleet(instant now, const held_leadership &leadership,
                                  const kernel::state::leader_view &view)
{
    if (!m_context.poolStates)
        return;
    const auto poolStates = m_context.poolStates(now);
    for (kernel::state::command &order :
         m_fleetScheduler.step(now, leadership, view, poolStates, m_offers))
        submit(std::move(order));
}

void leader_duties::retireEntries(instant now, const kernel::state::leader_view &view)
{
    if (m_pendingSubmits > 0)
        return; // an earlier retirement may still be in flight
    std::vector<std::string> retired = kernel::usage::replacedEntries(view.liveEntries);
    if (m_context.deadEntries) {
        for (const std::string &entry : m_context.deadEntries(now)) {
            if (std::ranges::find(view.liveEntries, entry) != view.liveEntries.end())
                retired.push_back(entry);
        }
    }
    for (const std::string &entry : retired) {
        m_context.events.record(kernel::usage::entryRetired, {{"entry", entry}});
        submit({"retire/" + entry, kernel::state::retire_entry{entry}});
    }
}

void leader_duties::submit(kernel::state::command command)
{
    ++m_pendingSubmits;
    propose(std::move(command), [this](const submit_outcome &outcome) {
        --m_pendingSubmits;
        recordRefusal(m_context.events, outcome);
    });
}

void leader_duties::readVmsAndOffers(instant now)
{
    if (!m_drivers.platformReader || m_readingLists || now < m_nextListRead)
        return;
    m_nextListRead = now + listInterval;
    m_readingLists = true;
    const platform_settings &platform = m_context.config.platform;
    runOnWorker(
            [platformReader = m_drivers.platformReader.get(),
             vmListEnabled = !platform.vmList.empty()] {
                return vmListEnabled ? platformReader->vms()
                                     : result<std::vector<vm_row>>(std::vector<vm_row>{});
            },
            [this](const call_outcome<std::vector<vm_row>> &outcome) {
                m_readingLists = false;
                if (outcome.answer)
                    markLeavingEndpoints(*outcome.answer);
                else
                    m_context.events.record(platformSilent, {{"where", outcome.failure.where}});
            });
    if (platform.endpointOrders.empty())
        return;
    runOnWorker(
            [platformReader = m_drivers.platformReader.get()] { return platformReader->offers(); },
            [this](const call_outcome<std::vector<kernel::policy::endpoint_offer>> &outcome) {
                if (outcome.answer)
                    m_offers = *outcome.answer;
            });
}

void leader_duties::readEndpointList(instant now, const held_leadership &leadership)
{
    if (!m_drivers.endpoints || !m_context.onEndpointList || m_readingEndpoints)
        return;
    if (!leadership && !m_context.endpointsAskedAt)
        return;
    const auto askedAt = leadership ? std::nullopt : m_context.endpointsAskedAt();
    if (!m_listReads.due(now, leadership.has_value(), askedAt))
        return;
    if (!leadership)
        m_context.events.record(endpointListReadByFollower, {{"age_ms", ageOf(now, askedAt)}});
    m_listReads.asked(now);
    m_readingEndpoints = true;
    using kernel::orders::endpoint_listing;
    const std::uint64_t fence = leadership ? leadership->fence : 0;
    runOnWorker([lister = m_drivers.endpoints.get()] { return lister->read(); },
                [this, askedAt = now, fence](const call_outcome<endpoint_listing> &outcome) {
                    m_readingEndpoints = false;
                    const bool known = outcome.answer.has_value();
                    if (std::exchange(m_endpointListAvailable, known) != known) {
                        m_context.events.record(
                                known ? platformHeard : platformSilent,
                                {{"where", "endpoint list"},
                                 {"problem", known ? "" : outcome.failure.message}});
                    }
                    if (outcome.answer)
                        handleEndpointList(askedAt, fence, *outcome.answer);
                });
}

void leader_duties::handleEndpointList(instant askedAt, std::uint64_t fence,
                                       const endpoint_listing &listing)
{
    recordIgnored(listing.ignored);
    m_context.onEndpointList({askedAt, fence, listing.endpoints});
    const held_leadership leadership = m_context.leadershipSource.current(m_context.clock.now());
    if (leadership && leadership->fence == fence)
        orderEndpointCounts(*leadership, listing.endpoints);
}

/// An entry that stays in the list is named once.
void leader_duties::recordIgnored(const std::vector<kernel::orders::ignored_entry> &entries)
{
    std::set<kernel::orders::ignored_entry> now(entries.begin(), entries.end());
    for (const kernel::orders::ignored_entry &entry : now) {
        if (!m_ignoredEntries.contains(entry))
            m_context.events.record(listEntryIgnored,
                                    {{"entry", entry.name}, {"problem", entry.problem}});
    }
    m_ignoredEntries = std::move(now);
}

void leader_duties::orderEndpointCounts(
        const kernel::leadership &leadership,
        const std::vector<kernel::feed::listed_endpoint> &endpointList)
{
    const instant now = m_context.clock.now();
    if (!m_drivers.counts || !m_tables || now < leadership.ordersAllowedFrom)
        return;
    if (std::exchange(m_countsFence, leadership.fence) != leadership.fence) {
        m_headroom = {};
        m_demandCapacity = {};
    }
    for (const kernel::policy::reasoned_order &chosen : decideCounts(now, endpointList))
        sendCount(leadership, now, chosen);
}

std::vector<kernel::policy::reasoned_order>
leader_duties::decideCounts(instant now,
                            const std::vector<kernel::feed::listed_endpoint> &endpointList)
{
    using kernel::policy::measured_work;
    if (m_context.config.policy.capacity == capacity_policy::FollowDemand) {
        const auto unknown = [](const std::string &) { return measured_work{}; };
        auto orders = m_context.workOf
                ? m_demandCapacity.decide(now, *m_tables, endpointList, m_context.workOf)
                : m_demandCapacity.decide(now, *m_tables, endpointList, unknown);
        publishCapacity(now);
        return orders;
    }
    std::vector<kernel::policy::reasoned_order> orders;
    for (auto &order : m_headroom.decide(now, *m_tables, endpointList))
        orders.push_back({std::move(order), "up to the zone's bound"});
    return orders;
}

void leader_duties::sendCount(const kernel::leadership &leadership, instant now,
                              const kernel::policy::reasoned_order &chosen)
{
    using kernel::state::endpoint_tenure;
    const kernel::policy::count_order &order = chosen.order;
    runOnWorker([counts = m_drivers.counts.get(), order, fence = leadership.fence,
                 permit = permitFor(leadership.fence,
                                    now)] { return counts->order(order, fence, permit); },
                [this, order, reason = chosen.reason,
                 fence = leadership.fence](const call_outcome<bool> &outcome) {
                    const bool accepted = outcome.answer.value_or(false);
                    const bool cheap = order.tenure == endpoint_tenure::Cheap;
                    m_context.events.record(countOrdered,
                                            {{"pool", order.pool},
                                             {"zone", order.zone},
                                             {cheap ? "cheap" : "steady", order.count},
                                             {"reason", reason},
                                             {"fence", fence},
                                             {"outcome",
                                              accepted                 ? "accepted"
                                                      : outcome.answer ? "refused: none available"
                                                                       : outcome.failure.message}});
                    handleCountAnswer(order, fence, accepted);
                });
}

/// An answer to an order of an earlier term says nothing to this one.
void leader_duties::handleCountAnswer(const kernel::policy::count_order &order, std::uint64_t fence,
                                      bool accepted)
{
    if (fence != m_countsFence)
        return;
    if (m_context.config.policy.capacity == capacity_policy::FollowDemand)
        m_demandCapacity.answered(m_context.clock.now(), order, accepted);
    else if (!accepted)
        m_headroom.refused(m_context.clock.now(), order);
}

std::vector<kernel::policy::capacity_status> leader_duties::capacity() const
{
    const std::lock_guard lock(m_capacityMutex);
    return m_capacity;
}

/// The figures of a former term are not those of the present leader.
void leader_duties::forgetCapacity()
{
    const std::lock_guard lock(m_capacityMutex);
    m_capacity.clear();
}

/// Orders rest on these figures; each pool gets a line once in a while.
void leader_duties::publishCapacity(instant now)
{
    std::vector<kernel::policy::capacity_status> all = m_demandCapacity.status();
    if (now >= m_nextCapacityLine) {
        m_nextCapacityLine = now + capacityLineInterval;
        for (const kernel::policy::capacity_status &status : all)
            m_context.events.record(capacityPlanned, capacityFields(status));
    }
    const std::lock_guard lock(m_capacityMutex);
    m_capacity = std::move(all);
}

void leader_duties::markLeavingEndpoints(const std::vector<vm_row> &vms)
{
    if (!m_tables)
        return;
    std::set<std::string> leaving;
    for (const vm_row &vm : vms) {
        if (vm.leaving)
            leaving.insert(vm.name);
    }
    kernel::state::mark_leaving notice;
    for (const auto &[name, pool] : m_tables->pools) {
        for (const kernel::state::endpoint &row : pool.endpoints) {
            const bool marked = row.draining && row.drainingForOrder == 0;
            if (!marked && leaving.contains(row.name))
                notice.endpoints.push_back(row.name);
        }
    }
    if (notice.endpoints.empty())
        return;
    for (const std::string &endpoint : notice.endpoints)
        m_context.events.record(endpointLeaving, {{"endpoint", endpoint}});
    submit({"leaving/" + notice.endpoints.front() + "/" + std::to_string(wallMs()),
            std::move(notice)});
}

} // namespace yuccascale::runtime
