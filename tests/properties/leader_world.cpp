#include "fakes/leader_world.hpp"

#include "yuccascale/kernel/orders/permit.hpp"

#include <algorithm>

namespace yuccascale::fakes {

using namespace kernel::orders;

leader_simulation::control_node::control_node(kernel::event_sink &events)
{
    restart(events);
    alive = true;
}

void leader_simulation::control_node::restart(kernel::event_sink &events)
{
    order_times times;
    times.sendTimeout = sendTimeout;
    times.orderLifetime = orderLifetime;
    times.drainPropagationTime = drainPropagationTime;
    orders = std::make_unique<order_driver>(times, events);
    kernel::usage::usage_times usageTimes;
    usageTimes.window = usageWindow;
    usageTimes.gracePeriod = milliseconds(100);
    usageTimes.sendTimeout = sendTimeout;
    usage = std::make_unique<kernel::usage::window_reporter>(usageTimes, events);
    leadership.reset();
    pausedUntil = {};
    disconnectedUntil = {};
}

leader_simulation::leader_simulation(std::uint64_t seed, int faultySteps)
    : m_random(seed)
    , m_faultySteps(faultySteps)
    , m_electionFailurePercent(draw(2) == 0 ? 50 : 95)
{
    targets.emplace_back("e1", true, false);
    targets.emplace_back("e2", false, false);
    targets.emplace_back("e3", true, false);
    targets.emplace_back("platform", false, true);
    for (int node = 0; node < 3; ++node)
        m_nodes.emplace_back(m_events);
    edit_tables edit = firstEdit();
    edit.putPools[0].endpoints = {makeEndpoint("e1"), makeEndpoint("e2"), makeEndpoint("e3")};
    for (endpoint &row : edit.putPools[0].endpoints)
        row.address = "127.0.0.1:800" + row.name.substr(1);
    edit.putPools[0].endpoints[1].fencesOrders = false;
    edit.wallMs = wallMs();
    (void)log.apply(edit, "first");
}

void leader_simulation::run()
{
    for (int number = 0; number < m_faultySteps; ++number)
        step(true);
    m_faulty = false;
    for (control_node &node : m_nodes) {
        node.alive = true;
        node.disconnectedUntil = {};
        node.pausedUntil = {};
    }
    constexpr int healingSteps = 900;
    constexpr int quietSteps
            = 200; ///< no answers are counted in these last steps, so that all get reported
    for (int number = 0; number < healingSteps; ++number) {
        m_countAnswers = number < healingSteps - quietSteps;
        step(false);
    }
}

void leader_simulation::step(bool faulty)
{
    advanceTo(m_now + milliseconds(5 + draw(120)));
    if (chance(faulty, 12))
        injectFault();
    renewOrElect(faulty);
    simulateEndpoints(faulty);
    simulateEntries(faulty);
    if (chance(faulty, 5))
        operatorEdit();
    if (chance(faulty, 3))
        log.restart();
    for (std::size_t index = 0; index < m_nodes.size(); ++index)
        runNode(index, faulty);
}

void leader_simulation::advanceTo(instant until)
{
    while (!m_queue.empty() && m_queue.begin()->first <= until) {
        auto next = m_queue.extract(m_queue.begin());
        m_now = std::max(m_now, next.key());
        next.mapped()();
    }
    m_now = until;
}

void leader_simulation::injectFault()
{
    control_node &node = m_nodes[draw(2) == 0 ? m_leader : draw(m_nodes.size())];
    const milliseconds length(100 + draw(9'000));
    switch (draw(4)) {
    case 0:
        node.pausedUntil = m_now + length;
        return;
    case 1:
        node.disconnectedUntil = m_now + length;
        return;
    case 2:
        node.alive = false;
        ++node.restartCount;
        schedule(m_now + length, [this, &node] {
            node.alive = true;
            node.restart(m_events);
        });
        return;
    default:
        targets[draw(3)].crash();
    }
}

bool leader_simulation::isLeader(std::size_t index) const
{
    const control_node &node = m_nodes[index];
    return index == m_leader && node.alive && node.leadership && node.leadership->fence == m_fence
            && m_now >= node.pausedUntil && m_now >= node.disconnectedUntil;
}

void leader_simulation::renewOrElect(bool faulty)
{
    if (isLeader(m_leader)) {
        m_lastRenewal = m_now;
        m_nodes[m_leader].leadership->leaseEnd = m_now + lease;
        m_previousLeasesEnd = m_now + lease;
        return;
    }
    if (m_now < m_lastRenewal + milliseconds(700) || chance(faulty, m_electionFailurePercent))
        return;
    const std::size_t candidate = draw(m_nodes.size());
    control_node &node = m_nodes[candidate];
    if (!node.alive || m_now < node.pausedUntil || m_now < node.disconnectedUntil)
        return;
    m_leader = candidate;
    node.leadership = kernel::leadership{++m_fence, m_now, m_now + lease,
                                         m_previousLeasesEnd + orderLifetime};
    m_previousLeasesEnd = std::max(m_previousLeasesEnd, m_now + lease);
    m_lastRenewal = m_now;
}

/// Entries send requests to an endpoint until its draining row is about to be in force everywhere.
void leader_simulation::simulateEndpoints(bool faulty)
{
    for (const endpoint &row : log.state().tables()->pools.at("brief").endpoints) {
        if (!row.draining)
            m_drainingSince.erase(row.name);
        else
            m_drainingSince.try_emplace(row.name, m_now);
        const auto draining = m_drainingSince.find(row.name);
        const bool inForce = draining != m_drainingSince.end()
                && m_now >= draining->second + drainPropagationTime - milliseconds(200);
        fake_target &target = targetOf(row.address);
        if (inForce || !chance(faulty, 20))
            continue;
        ++target.runningRequests;
        schedule(m_now + delay(1'200),
                 [&target] { target.runningRequests = std::max(0, target.runningRequests - 1); });
    }
}

/// Two entries count answers. Their batches may be sent twice, arrive out of order, or arrive after
/// the entry restarted.
void leader_simulation::simulateEntries(bool faulty)
{
    for (std::size_t entry = 0; entry < m_sequence.size(); ++entry) {
        if (chance(faulty, 1)) {
            ++m_incarnation[entry];
            m_sequence[entry] = 0;
        }
        const std::string name
                = "entry" + std::to_string(entry) + "#" + std::to_string(m_incarnation[entry]);
        const std::uint64_t answers = m_countAnswers ? draw(4) : 0;
        const std::int64_t window = wallMs() - wallMs() % usageWindow.count();
        const record_usage batch = makeUsage(name, ++m_sequence[entry], wallMs(), window, answers);
        const int copies = chance(faulty, 10) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            schedule(m_now + delay(faulty ? 400 : 5), [this, batch, answers] {
                const command_result counted = log.apply(batch);
                if (counted.accepted && counted.detail.at("state") == "counted")
                    countedAnswers[batch.entry] += answers;
            });
        }
    }
}

/// Two operators edit the same revision; at most one edit may be accepted.
void leader_simulation::operatorEdit()
{
    const std::uint64_t revision = log.state().tables()->revision;
    for (int number = 0; number < 2; ++number) {
        edit_tables edit;
        edit.fromRevision = revision;
        edit.putOrganisations = {organisation{"o" + std::to_string(number), 1.0 + number}};
        (void)log.apply(edit, "edit-" + std::to_string(++m_operationCount));
    }
}

void leader_simulation::runNode(std::size_t index, bool faulty)
{
    control_node &node = m_nodes[index];
    if (!node.alive || m_now < node.pausedUntil)
        return;
    if (isLeader(index))
        node.view = log.state().leaderView();
    std::optional<kernel::leadership> held = node.leadership;
    if (held && m_now >= held->leaseEnd)
        held.reset();
    if (held && node.view.tables) {
        for (order_action &action : node.orders->step(m_now, wallMs(), held, node.view))
            execute(index, std::move(action));
        if (auto action = node.usage->step(m_now, wallMs(), held, node.view.usage))
            executeUsage(index, std::move(*action));
        for (const std::string &gone : kernel::usage::replacedEntries(node.view.liveEntries))
            submit(index, {{}, retire_entry{gone}}, [](control_node &, bool) {});
        if (chance(faulty, 10))
            proposeOrder(index);
    } else {
        (void)node.orders->step(m_now, wallMs(), std::nullopt, {});
        (void)node.usage->step(m_now, wallMs(), std::nullopt, {});
    }
}

void leader_simulation::proposeOrder(std::size_t index)
{
    open_order order;
    order.target = "e" + std::to_string(1 + draw(3));
    order.kind = draw(3) == 0 ? order_kind::LoadModel : order_kind::ChangeRole;
    order.argument = "argument-" + std::to_string(draw(100));
    order.fence = m_nodes[index].leadership->fence;
    if (draw(4) == 0) {
        order.kind = order_kind::StartEndpoint;
        order.target = startTarget("perth-b", "cheap");
        order.pool = "brief";
    }
    submit(index, {"order-" + std::to_string(++m_operationCount), order},
           [](control_node &, bool) {});
}

/// Runs \a callback on a node unless it was killed since; on a paused node, when it resumes.
void leader_simulation::deliverToNode(std::size_t index, int restartCount,
                                      std::function<void(control_node &)> callback)
{
    control_node &node = m_nodes[index];
    if (!node.alive || node.restartCount != restartCount)
        return;
    if (m_now >= node.pausedUntil) {
        callback(node);
        return;
    }
    schedule(node.pausedUntil, [this, index, restartCount, callback = std::move(callback)] {
        deliverToNode(index, restartCount, callback);
    });
}

void leader_simulation::submit(std::size_t index, command command,
                               const std::function<void(control_node &, bool)> &answered)
{
    const int restartCount = m_nodes[index].restartCount;
    schedule(
            m_now + delay(30), [this, index, restartCount, command = std::move(command), answered] {
                const bool arrives = isLeader(index) && m_nodes[index].restartCount == restartCount;
                const bool accepted
                        = arrives && log.apply(command.body, command.operationId).accepted;
                const bool lost = !arrives || chance(m_faulty, 15);
                schedule(m_now + (lost ? milliseconds(300) : delay(20)),
                         [this, index, restartCount, answered, told = accepted && !lost] {
                             deliverToNode(index, restartCount,
                                           [answered, told](control_node &node) {
                                               answered(node, told);
                                           });
                         });
            });
}

bool leader_simulation::canSend(const control_node &node, std::uint64_t fence,
                                instant decidedAt) const
{
    return sendPermitted(node.leadership, fence, decidedAt, m_now, sendTimeout);
}

fake_target &leader_simulation::targetOf(const std::string &address)
{
    return address.empty() ? targets.back()
                           : targets[static_cast<std::size_t>(address.back() - '1')];
}

std::int64_t leader_simulation::wallMs() const
{
    return firstWindowMs
            + std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
}

void leader_simulation::execute(std::size_t index, order_action action)
{
    const int restartCount = m_nodes[index].restartCount;
    if (auto *send = std::get_if<send_order>(&action)) {
        sendOrder(index, *send);
    } else if (auto *queryOrder = std::get_if<query_order>(&action)) {
        const bool lost = chance(m_faulty, 20);
        schedule(m_now + delay(50), [this, index, restartCount, lost, asked = *queryOrder] {
            std::optional<target_reply> reply
                    = targetOf(asked.address).queryOrder(m_now, asked.orderId);
            if (lost)
                reply.reset();
            deliverToNode(index, restartCount, [this, asked, reply](control_node &node) {
                node.orders->onQueryReply(m_now, asked.ticket, reply);
            });
        });
    } else if (auto *inspect = std::get_if<inspect_target>(&action)) {
        schedule(m_now + delay(50), [this, index, restartCount, inspected = *inspect] {
            const target_report report{{}, targetOf(inspected.address).runningRequests, 0, 1};
            deliverToNode(index, restartCount, [this, inspected, report](control_node &node) {
                node.orders->onLoadReport(m_now, inspected.ticket, report);
            });
        });
    } else if (auto *fetch = std::get_if<fetch_weights>(&action)) {
        const bool granted = draw(2) == 0;
        schedule(m_now + delay(50), [this, index, restartCount, granted, fetched = *fetch] {
            deliverToNode(index, restartCount, [this, fetched, granted](control_node &node) {
                node.orders->onFetchReply(m_now, wallMs(), fetched.ticket,
                                          fetch_reply{granted, milliseconds(granted ? 0 : 300)});
            });
        });
    } else if (auto *submission = std::get_if<submit_command>(&action)) {
        submit(index, submission->command,
               [this, ticket = submission->ticket](control_node &node, bool) {
                   node.orders->onSubmitResult(m_now, ticket);
               });
    }
}

/// Connects, checks the permit, then writes. The bytes arrive soon, late, with their answer lost,
/// or never.
void leader_simulation::sendOrder(std::size_t index, const send_order &action)
{
    const int restartCount = m_nodes[index].restartCount;
    schedule(m_now + delay(60), [this, index, restartCount, action] {
        deliverToNode(index, restartCount, [this, index, restartCount, action](control_node &node) {
            if (!canSend(node, action.fence, action.decidedAt)) {
                node.orders->onSendResult(m_now, action.ticket, send_end::NotSent, std::nullopt);
                return;
            }
            const bool lost = chance(m_faulty, 40);
            const bool arrives = !lost || draw(3) != 0;
            const milliseconds travel = lost ? delay(orderLifetime.count() - 2) : delay(40);
            const auto duration = milliseconds(draw(600));
            if (arrives) {
                schedule(m_now + travel, [this, index, restartCount, action, lost, duration] {
                    const target_reply reply
                            = targetOf(action.message.address)
                                      .receive(m_now, action.fence, action.message, duration);
                    if (lost)
                        return;
                    deliverToNode(index, restartCount, [this, action, reply](control_node &sender) {
                        sender.orders->onSendResult(m_now, action.ticket, send_end::Answered,
                                                    reply);
                    });
                });
            }
            if (lost) {
                schedule(m_now + sendTimeout, [this, index, restartCount, action] {
                    deliverToNode(index, restartCount, [this, action](control_node &sender) {
                        sender.orders->onSendResult(m_now, action.ticket, send_end::Lost,
                                                    std::nullopt);
                    });
                });
            }
        });
    });
}

void leader_simulation::executeUsage(std::size_t index, kernel::usage::usage_action action)
{
    if (auto *submission = std::get_if<submit_command>(&action)) {
        submit(index, submission->command,
               [this, ticket = submission->ticket](control_node &node, bool accepted) {
                   node.usage->onSubmitResult(m_now, ticket, accepted);
               });
        return;
    }
    const auto report = std::get<kernel::usage::report_window>(action);
    const int restartCount = m_nodes[index].restartCount;
    schedule(m_now + delay(60), [this, index, restartCount, report] {
        deliverToNode(index, restartCount, [this, index, restartCount, report](control_node &node) {
            if (!canSend(node, report.fence, report.decidedAt)) {
                node.usage->onReportResult(m_now, report.ticket, std::nullopt);
                return;
            }
            const bool lost = chance(m_faulty, 40);
            schedule(m_now + (lost ? delay(orderLifetime.count() - 2) : delay(40)), [this, report] {
                reports.push_back(
                        {report.window.windowStartMs, report.fence, report.window.figures});
            });
            schedule(m_now + sendTimeout, [this, index, restartCount, report, lost] {
                deliverToNode(index, restartCount, [this, report, lost](control_node &sender) {
                    std::optional<usage_reply> reply = usage_reply::Accepted;
                    if (lost)
                        reply.reset();
                    sender.usage->onReportResult(m_now, report.ticket, reply);
                });
            });
        });
    });
}

} // namespace yuccascale::fakes
