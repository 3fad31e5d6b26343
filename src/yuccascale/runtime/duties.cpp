#include "yuccascale/runtime/duties.hpp"

#include "yuccascale/kernel/orders/events.hpp"
#include "yuccascale/kernel/orders/permit.hpp"
#include "yuccascale/kernel/usage/entry_succession.hpp"
#include "yuccascale/kernel/usage/events.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace yuccascale::runtime {

using namespace kernel::orders;
using kernel::error_kind;
using kernel::instant;
using kernel::nanoseconds;
using kernel::result;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t workerThreads = 8;
constexpr milliseconds roundInterval{50};
constexpr milliseconds listInterval{1'000};
constexpr milliseconds submitTimeout{3'000};

order_times orderTimes(const settings &config)
{
    order_times times;
    times.orderLifetime = config.control.orderLife;
    times.drainPropagationTime = config.control.freshness + config.control.feedInterval;
    times.sendTimeout = std::min<nanoseconds>(times.sendTimeout, config.control.lease / 2);
    return times;
}

kernel::usage::usage_times usageTimes(const settings &config)
{
    kernel::usage::usage_times times;
    times.window = config.platform.usageWindow;
    times.sendTimeout = orderTimes(config).sendTimeout;
    return times;
}

driver_settings driverSettings(const settings &config, const std::string &address)
{
    driver_settings made;
    made.address = address;
    made.nodeName = config.node;
    made.sendTimeout = std::chrono::duration_cast<milliseconds>(orderTimes(config).sendTimeout);
    return made;
}

template<typename Policy>
std::function<std::unique_ptr<Policy>()> makerOf(const std::string &name)
{
    return [name]() -> std::unique_ptr<Policy> {
        std::unique_ptr<Policy> made;
        kernel::error problem;
        const auto make = [&]() -> result<void> {
            BOOST_LEAF_ASSIGN(made, kernel::plugin_registry<Policy>::make(name));
            return {};
        };
        return kernel::succeeded(make, problem) ? std::move(made) : nullptr;
    };
}

/// A call's answer, or its failure.
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

template<typename Driver, typename... Arguments>
result<void> makeDriver(std::unique_ptr<Driver> &made, std::string_view name,
                        Arguments... arguments)
{
    using registry = kernel::plugin_registry<Driver, Arguments...>;
    BOOST_LEAF_ASSIGN(made, registry::make(name, arguments...));
    return {};
}

} // namespace

result<duty_drivers> makeDutyDrivers(const settings &config)
{
    duty_drivers made;
    const auto at = [&](const std::string &address) { return driverSettings(config, address); };
    const platform_settings &platform = config.platform;
    result<void> done = makeDriver(made.engines, "http_engine", at({}));
    if (done)
        done = makeDriver(made.loads, "http", at({}));
    if (done && !platform.endpointList.empty())
        done = makeDriver(made.endpoints, platform.drivers, at(platform.endpointList));
    if (done && !platform.endpointCounts.empty())
        done = makeDriver(made.counts, platform.drivers, at(platform.endpointCounts));
    if (done && !platform.endpointOrders.empty())
        done = makeDriver(made.platform, "http_platform", at(platform.endpointOrders));
    if (done && (!platform.endpointOrders.empty() || !platform.vmList.empty()))
        done = makeDriver(made.lists, "http", at(platform.vmList), at(platform.endpointOrders));
    if (done && !platform.weightStore.empty())
        done = makeDriver(made.weights, "http", at(platform.weightStore));
    if (done && !platform.usageReports.empty())
        done = makeDriver(made.usage, platform.drivers, at(platform.usageReports));
    if (!done)
        return done.error();
    return made;
}

duties::duties(duty_surroundings surroundings, duty_drivers drivers)
    : m_around(std::move(surroundings))
    , m_drivers(std::move(drivers))
    , m_orders(orderTimes(m_around.config), m_around.events)
    , m_usage(usageTimes(m_around.config), m_around.events)
    , m_fleet({}, makerOf<kernel::policy::role_policy>(m_around.config.policy.roles),
              makerOf<kernel::policy::placement_policy>(m_around.config.policy.placement),
              m_around.events)
    , m_task(roundInterval, [this] { tick(); })
    , m_workers(workerThreads)
{ }

duties::~duties()
{
    stop();
}

void duties::start()
{
    m_task.start();
}

void duties::stop()
{
    m_task.stop();
}

void duties::tick()
{
    for (const duties_workers::completion &completion : m_workers.takeCompletions())
        completion();
    const instant now = m_around.clock.now();
    const authority held = m_around.authority.current(now);
    const kernel::state::leader_view view = held ? m_around.state() : kernel::state::leader_view{};
    m_tables = view.tables;
    for (order_action &action : m_orders.step(now, wallMs(), held, view))
        std::visit([this](auto &chosen) { carryOut(std::move(chosen)); }, action);
    if (auto action = m_usage.step(now, wallMs(), held, view.usage))
        carryOutUsage(std::move(*action));
    if (held)
        readEndpoints(now, held->fence);
    if (!held || m_submits != 0)
        return;
    retireEntries(now, view);
    scheduleFleet(now, held, view);
    readLists(now);
}

template<typename Call, typename Take>
void duties::call(Call call, Take take)
{
    using answer = std::decay_t<decltype(call().value())>;
    m_workers.run([call = std::move(call), take = std::move(take)]() -> duties_workers::completion {
        call_outcome<answer> outcome = outcomeOf<answer>(call);
        return [take, outcome = std::move(outcome)] { take(outcome); };
    });
}

order_target *duties::targetAt(const std::string &address) const
{
    return address.empty() ? m_drivers.platform.get() : m_drivers.engines.get();
}

send_permit duties::permitFor(std::uint64_t fence, instant decidedAt) const
{
    return [this, fence, decidedAt, sendTime = orderTimes(m_around.config).sendTimeout] {
        const instant now = m_around.clock.now();
        return sendPermitted(m_around.authority.current(now), fence, decidedAt, now, sendTime);
    };
}

std::int64_t duties::wallMs() const
{
    const kernel::wall_time now
            = m_around.trueTime ? m_around.trueTime() : m_around.clock.wallNow();
    return now.time_since_epoch().count();
}

void duties::carryOut(const query_order &action)
{
    order_target *target = targetAt(action.address);
    if (target == nullptr) {
        m_orders.onQueryReply(m_around.clock.now(), action.ticket, std::nullopt);
        return;
    }
    call([target, action] { return target->queryOrder(action.address, action.orderId); },
         [this, ticket = action.ticket](const call_outcome<target_reply> &outcome) {
             m_orders.onQueryReply(m_around.clock.now(), ticket, outcome.answer);
         });
}

void duties::carryOut(const inspect_target &action)
{
    call([source = m_drivers.loads.get(), action] { return source->report(action.address); },
         [this, ticket = action.ticket](const call_outcome<target_report> &outcome) {
             m_orders.onLoadReport(m_around.clock.now(), ticket, outcome.answer);
         });
}

void duties::carryOut(const fetch_weights &action)
{
    if (!m_drivers.weights) {
        m_orders.onFetchReply(m_around.clock.now(), wallMs(), action.ticket, fetch_reply{true, {}});
        return;
    }
    call(
            [store = m_drivers.weights.get(), action,
             permit = permitFor(action.fence, action.decidedAt)] {
                return store->fetch(action.model, action.endpoint, permit);
            },
            [this, ticket = action.ticket](const call_outcome<fetch_reply> &outcome) {
                m_orders.onFetchReply(m_around.clock.now(), wallMs(), ticket, outcome.answer);
            });
}

void duties::carryOut(send_order action)
{
    const std::uint64_t ticket = action.ticket;
    order_target *target = targetAt(action.message.address);
    if (target == nullptr) {
        m_orders.onSendResult(m_around.clock.now(), ticket, send_end::NotSent, std::nullopt);
        return;
    }
    call([target, message = std::move(action.message),
          permit
          = permitFor(action.fence, action.decidedAt)] { return target->send(message, permit); },
         [this, ticket](const call_outcome<target_reply> &outcome) {
             const bool lost = !outcome.answer && outcome.failure.kind != error_kind::Unavailable
                     && outcome.failure.kind != error_kind::Forbidden;
             const send_end end = outcome.answer ? send_end::Answered
                     : lost                      ? send_end::Lost
                                                 : send_end::NotSent;
             m_orders.onSendResult(m_around.clock.now(), ticket, end, outcome.answer);
         });
}

void duties::carryOut(submit_command action)
{
    call(
            [this, command = std::move(action.command)] {
                return m_around.control.submit(command, m_around.clock.now() + submitTimeout);
            },
            [this,
             ticket = action.ticket](const call_outcome<kernel::state::command_result> &outcome) {
                const bool accepted = outcome.answer && outcome.answer->accepted;
                if (!accepted) {
                    m_around.events.record(
                            commandRefused,
                            {{"message",
                              outcome.answer ? outcome.answer->message : outcome.failure.message}});
                }
                m_orders.onSubmitResult(m_around.clock.now(), ticket);
            });
}

void duties::carryOutUsage(kernel::usage::usage_action action)
{
    if (auto *submission = std::get_if<submit_command>(&action)) {
        call(
                [this, command = std::move(submission->command)] {
                    return m_around.control.submit(command, m_around.clock.now() + submitTimeout);
                },
                [this, ticket = submission->ticket](
                        const call_outcome<kernel::state::command_result> &outcome) {
                    const bool accepted = outcome.answer && outcome.answer->accepted;
                    m_usage.onSubmitResult(m_around.clock.now(), ticket, accepted);
                });
        return;
    }
    auto &report = std::get<kernel::usage::report_window>(action);
    if (!m_drivers.usage) {
        m_usage.onReportResult(m_around.clock.now(), report.ticket, usage_reply::Accepted);
        return;
    }
    call([sink = m_drivers.usage.get(), window = std::move(report.window), fence = report.fence,
          permit = permitFor(report.fence,
                             report.decidedAt)] { return sink->report(window, fence, permit); },
         [this, ticket = report.ticket](const call_outcome<usage_reply> &outcome) {
             m_usage.onReportResult(m_around.clock.now(), ticket, outcome.answer);
         });
}

void duties::scheduleFleet(instant now, const authority &held,
                           const kernel::state::leader_view &view)
{
    if (!m_around.facts)
        return;
    const auto facts = m_around.facts(now);
    for (kernel::state::command &order : m_fleet.step(now, held, view, facts, m_offers))
        submit(std::move(order));
}

void duties::retireEntries(instant now, const kernel::state::leader_view &view)
{
    if (m_submits > 0)
        return; // an earlier retirement may be under way
    std::vector<std::string> retired = kernel::usage::replacedEntries(view.liveEntries);
    if (m_around.gone) {
        for (const std::string &entry : m_around.gone(now)) {
            if (std::ranges::find(view.liveEntries, entry) != view.liveEntries.end())
                retired.push_back(entry);
        }
    }
    for (const std::string &entry : retired) {
        m_around.events.record(kernel::usage::entryRetired, {{"entry", entry}});
        submit({"retire/" + entry, kernel::state::retire_entry{entry}});
    }
}

void duties::submit(kernel::state::command command)
{
    ++m_submits;
    call(
            [this, command = std::move(command)] {
                return m_around.control.submit(command, m_around.clock.now() + submitTimeout);
            },
            [this](const call_outcome<kernel::state::command_result> &outcome) {
                --m_submits;
                const bool accepted = outcome.answer && outcome.answer->accepted;
                if (!accepted) {
                    m_around.events.record(
                            commandRefused,
                            {{"message",
                              outcome.answer ? outcome.answer->message : outcome.failure.message}});
                }
            });
}

void duties::readLists(instant now)
{
    if (!m_drivers.lists || m_readingLists || now < m_nextLists)
        return;
    m_nextLists = now + listInterval;
    m_readingLists = true;
    const platform_settings &platform = m_around.config.platform;
    call(
            [lists = m_drivers.lists.get(), wanted = !platform.vmList.empty()] {
                return wanted ? lists->vms() : result<std::vector<vm_row>>(std::vector<vm_row>{});
            },
            [this](const call_outcome<std::vector<vm_row>> &outcome) {
                m_readingLists = false;
                if (outcome.answer)
                    noteLeaving(*outcome.answer);
                else
                    m_around.events.record(platformSilent, {{"where", outcome.failure.where}});
            });
    if (platform.endpointOrders.empty())
        return;
    call([lists = m_drivers.lists.get()] { return lists->offers(); },
         [this](const call_outcome<std::vector<kernel::policy::endpoint_offer>> &outcome) {
             if (outcome.answer)
                 m_offers = *outcome.answer;
         });
}

void duties::readEndpoints(instant now, std::uint64_t fence)
{
    if (!m_drivers.endpoints || !m_around.listed || m_readingEndpoints || now < m_nextEndpoints)
        return;
    m_nextEndpoints = now + m_around.config.platform.listInterval;
    m_readingEndpoints = true;
    using listed = std::vector<kernel::feed::listed_endpoint>;
    call([lister = m_drivers.endpoints.get()] { return lister->endpoints(); },
         [this, fence](const call_outcome<listed> &outcome) {
             m_readingEndpoints = false;
             const bool known = outcome.answer.has_value();
             if (std::exchange(m_listKnown, known) != known) {
                 m_around.events.record(known ? platformHeard : platformSilent,
                                        {{"where", "endpoint list"},
                                         {"problem", known ? "" : outcome.failure.message}});
             }
             if (!outcome.answer)
                 return;
             m_around.listed(fence, *outcome.answer);
             const authority held = m_around.authority.current(m_around.clock.now());
             if (held && held->fence == fence)
                 orderCounts(*held, *outcome.answer);
         });
}

void duties::orderCounts(const kernel::leadership &held,
                         const std::vector<kernel::feed::listed_endpoint> &listed)
{
    const instant now = m_around.clock.now();
    if (!m_drivers.counts || !m_tables || now < held.ordersAllowedFrom)
        return;
    if (std::exchange(m_headroomFence, held.fence) != held.fence)
        m_headroom = {};
    for (const kernel::policy::count_order &order : m_headroom.decide(now, *m_tables, listed)) {
        call([counts = m_drivers.counts.get(), order, fence = held.fence,
              permit = permitFor(held.fence, now)] { return counts->order(order, fence, permit); },
             [this, order, fence = held.fence](const call_outcome<bool> &outcome) {
                 const bool taken = outcome.answer.value_or(false);
                 m_around.events.record(countOrdered,
                                        {{"pool", order.pool},
                                         {"zone", order.zone},
                                         {"cheap", order.count},
                                         {"fence", fence},
                                         {"outcome",
                                          taken                    ? "accepted"
                                                  : outcome.answer ? "none to be had"
                                                                   : outcome.failure.message}});
                 if (!taken)
                     m_headroom.refused(m_around.clock.now(), order);
             });
    }
}

void duties::noteLeaving(const std::vector<vm_row> &vms)
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
        m_around.events.record(endpointLeaving, {{"endpoint", endpoint}});
    submit({"leaving/" + notice.endpoints.front() + "/" + std::to_string(wallMs()),
            std::move(notice)});
}

} // namespace yuccascale::runtime
