#include "fakes/leader_world.hpp"

#include "yuccascale/kernel/orders/permit.hpp"

#include <algorithm>

namespace yuccascale::fakes {

using namespace kernel::orders;

leader_world::control_node::control_node(kernel::event_sink &events)
{
    restart(events);
    alive = true;
}

void leader_world::control_node::restart(kernel::event_sink &events)
{
    order_times times;
    times.sendTimeout = sendTime;
    times.orderLifetime = orderLifetime;
    times.drainPropagationTime = inForceWithin;
    orders = std::make_unique<order_driver>(times, events);
    kernel::usage::usage_times usageTimes;
    usageTimes.window = usageWindow;
    usageTimes.gracePeriod = milliseconds(100);
    usageTimes.sendTimeout = sendTime;
    usage = std::make_unique<kernel::usage::window_reporter>(usageTimes, events);
    belief.reset();
    pausedUntil = {};
    cutUntil = {};
}

leader_world::leader_world(std::uint64_t seed, int faultySteps)
    : m_random(seed)
    , m_faultySteps(faultySteps)
    , m_electionDelay(draw(2) == 0 ? 50 : 95)
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

void leader_world::run()
{
    for (int number = 0; number < m_faultySteps; ++number)
        step(true);
    m_faulty = false;
    for (control_node &node : m_nodes) {
        node.alive = true;
        node.cutUntil = {};
        node.pausedUntil = {};
    }
    constexpr int healingSteps = 900;
    constexpr int quietSteps = 200; ///< at the end no answers are counted, so that all are reported
    for (int number = 0; number < healingSteps; ++number) {
        m_counting = number < healingSteps - quietSteps;
        step(false);
    }
}

void leader_world::step(bool faulty)
{
    advanceTo(m_now + milliseconds(5 + draw(120)));
    if (chance(faulty, 12))
        injectFault();
    renewOrElect(faulty);
    endpointWork(faulty);
    entryWork(faulty);
    if (chance(faulty, 5))
        operatorEdit();
    if (chance(faulty, 3))
        log.restart();
    for (std::size_t index = 0; index < m_nodes.size(); ++index)
        runNode(index, faulty);
}

void leader_world::advanceTo(instant until)
{
    while (!m_queue.empty() && m_queue.begin()->first <= until) {
        auto next = m_queue.extract(m_queue.begin());
        m_now = std::max(m_now, next.key());
        next.mapped()();
    }
    m_now = until;
}

void leader_world::injectFault()
{
    control_node &node = m_nodes[draw(2) == 0 ? m_leader : draw(m_nodes.size())];
    const milliseconds length(100 + draw(9'000));
    switch (draw(4)) {
    case 0:
        node.pausedUntil = m_now + length;
        return;
    case 1:
        node.cutUntil = m_now + length;
        return;
    case 2:
        node.alive = false;
        ++node.life;
        at(m_now + length, [this, &node] {
            node.alive = true;
            node.restart(m_events);
        });
        return;
    default:
        targets[draw(3)].crash();
    }
}

bool leader_world::leads(std::size_t index) const
{
    const control_node &node = m_nodes[index];
    return index == m_leader && node.alive && node.belief && node.belief->fence == m_fence
            && m_now >= node.pausedUntil && m_now >= node.cutUntil;
}

void leader_world::renewOrElect(bool faulty)
{
    if (leads(m_leader)) {
        m_lastRenewal = m_now;
        m_nodes[m_leader].belief->leaseEnd = m_now + lease;
        m_oldLeasesEnd = m_now + lease;
        return;
    }
    if (m_now < m_lastRenewal + milliseconds(700) || chance(faulty, m_electionDelay))
        return;
    const std::size_t candidate = draw(m_nodes.size());
    control_node &node = m_nodes[candidate];
    if (!node.alive || m_now < node.pausedUntil || m_now < node.cutUntil)
        return;
    m_leader = candidate;
    node.belief
            = kernel::leadership{++m_fence, m_now, m_now + lease, m_oldLeasesEnd + orderLifetime};
    m_oldLeasesEnd = std::max(m_oldLeasesEnd, m_now + lease);
    m_lastRenewal = m_now;
}

/// Entries send work to endpoints until they have had the draining row for a while.
void leader_world::endpointWork(bool faulty)
{
    for (const endpoint &row : log.state().tables()->pools.at("brief").endpoints) {
        if (!row.draining)
            m_drainingSince.erase(row.name);
        else
            m_drainingSince.try_emplace(row.name, m_now);
        const auto draining = m_drainingSince.find(row.name);
        const bool inForce = draining != m_drainingSince.end()
                && m_now >= draining->second + inForceWithin - milliseconds(200);
        fake_target &target = targetOf(row.address);
        if (inForce || !chance(faulty, 20))
            continue;
        ++target.running;
        at(m_now + delay(1'200), [&target] { target.running = std::max(0, target.running - 1); });
    }
}

/// Two entries count answers; their batches are resent, reordered, and outlive a restart.
void leader_world::entryWork(bool faulty)
{
    for (std::size_t entry = 0; entry < m_sequence.size(); ++entry) {
        if (chance(faulty, 1)) {
            ++m_incarnation[entry];
            m_sequence[entry] = 0;
        }
        const std::string name
                = "entry" + std::to_string(entry) + "#" + std::to_string(m_incarnation[entry]);
        const std::uint64_t answers = m_counting ? draw(4) : 0;
        const std::int64_t window = wallMs() - wallMs() % usageWindow.count();
        const record_usage batch = makeUsage(name, ++m_sequence[entry], wallMs(), window, answers);
        const int copies = chance(faulty, 10) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            at(m_now + delay(faulty ? 400 : 5), [this, batch, answers] {
                const command_result counted = log.apply(batch);
                if (counted.accepted && counted.detail.at("state") == "counted")
                    answersCounted[batch.entry] += answers;
            });
        }
    }
}

/// Two operators edit the same revision; at most one may win.
void leader_world::operatorEdit()
{
    const std::uint64_t revision = log.state().tables()->revision;
    for (int number = 0; number < 2; ++number) {
        edit_tables edit;
        edit.fromRevision = revision;
        edit.putOrganisations = {organisation{"o" + std::to_string(number), 1.0 + number}};
        (void)log.apply(edit, "edit-" + std::to_string(++m_operation));
    }
}

void leader_world::runNode(std::size_t index, bool faulty)
{
    control_node &node = m_nodes[index];
    if (!node.alive || m_now < node.pausedUntil)
        return;
    if (leads(index))
        node.view = log.state().leaderView();
    std::optional<kernel::leadership> held = node.belief;
    if (held && m_now >= held->leaseEnd)
        held.reset();
    if (held && node.view.tables) {
        for (order_action &action : node.orders->step(m_now, wallMs(), held, node.view))
            carryOut(index, std::move(action));
        if (auto action = node.usage->step(m_now, wallMs(), held, node.view.usage))
            carryOutUsage(index, std::move(*action));
        for (const std::string &gone : kernel::usage::replacedEntries(node.view.liveEntries))
            submit(index, {{}, retire_entry{gone}}, [](control_node &, bool) {});
        if (chance(faulty, 10))
            proposeOrder(index);
    } else {
        (void)node.orders->step(m_now, wallMs(), std::nullopt, {});
        (void)node.usage->step(m_now, wallMs(), std::nullopt, {});
    }
}

void leader_world::proposeOrder(std::size_t index)
{
    open_order order;
    order.target = "e" + std::to_string(1 + draw(3));
    order.kind = draw(3) == 0 ? order_kind::LoadModel : order_kind::ChangeRole;
    order.argument = "argument-" + std::to_string(draw(100));
    order.fence = m_nodes[index].belief->fence;
    if (draw(4) == 0) {
        order.kind = order_kind::StartEndpoint;
        order.target = startTarget("perth-b", "cheap");
        order.pool = "brief";
    }
    submit(index, {"order-" + std::to_string(++m_operation), order}, [](control_node &, bool) {});
}

/// Runs something on a node unless it was killed meanwhile; a paused one does it on waking.
void leader_world::onNode(std::size_t index, int life, std::function<void(control_node &)> what)
{
    control_node &node = m_nodes[index];
    if (!node.alive || node.life != life)
        return;
    if (m_now >= node.pausedUntil) {
        what(node);
        return;
    }
    at(node.pausedUntil,
       [this, index, life, what = std::move(what)] { onNode(index, life, what); });
}

void leader_world::submit(std::size_t index, command command,
                          const std::function<void(control_node &, bool)> &answered)
{
    const int life = m_nodes[index].life;
    at(m_now + delay(30), [this, index, life, command = std::move(command), answered] {
        const bool arrives = leads(index) && m_nodes[index].life == life;
        const bool accepted = arrives && log.apply(command.body, command.operationId).accepted;
        const bool lost = !arrives || chance(m_faulty, 15);
        at(m_now + (lost ? milliseconds(300) : delay(20)),
           [this, index, life, answered, told = accepted && !lost] {
               onNode(index, life, [answered, told](control_node &node) { answered(node, told); });
           });
    });
}

bool leader_world::permitted(const control_node &node, std::uint64_t fence, instant decidedAt) const
{
    return sendPermitted(node.belief, fence, decidedAt, m_now, sendTime);
}

fake_target &leader_world::targetOf(const std::string &address)
{
    return address.empty() ? targets.back()
                           : targets[static_cast<std::size_t>(address.back() - '1')];
}

std::int64_t leader_world::wallMs() const
{
    return firstWindowMs
            + std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
}

void leader_world::carryOut(std::size_t index, order_action action)
{
    const int life = m_nodes[index].life;
    if (auto *send = std::get_if<send_order>(&action)) {
        sendOrder(index, *send);
    } else if (auto *ask = std::get_if<query_order>(&action)) {
        const bool lost = chance(m_faulty, 20);
        at(m_now + delay(50), [this, index, life, lost, asked = *ask] {
            std::optional<target_reply> reply = targetOf(asked.address).ask(m_now, asked.orderId);
            if (lost)
                reply.reset();
            onNode(index, life, [this, asked, reply](control_node &node) {
                node.orders->onQueryReply(m_now, asked.ticket, reply);
            });
        });
    } else if (auto *inspect = std::get_if<inspect_target>(&action)) {
        at(m_now + delay(50), [this, index, life, inspected = *inspect] {
            const target_report report{{}, targetOf(inspected.address).running, 0, 1};
            onNode(index, life, [this, inspected, report](control_node &node) {
                node.orders->onLoadReport(m_now, inspected.ticket, report);
            });
        });
    } else if (auto *fetch = std::get_if<fetch_weights>(&action)) {
        const bool granted = draw(2) == 0;
        at(m_now + delay(50), [this, index, life, granted, fetched = *fetch] {
            onNode(index, life, [this, fetched, granted](control_node &node) {
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

/// Connect, ask the permit, write; then the bytes arrive soon, late, without an answer, or never.
void leader_world::sendOrder(std::size_t index, const send_order &action)
{
    const int life = m_nodes[index].life;
    at(m_now + delay(60), [this, index, life, action] {
        onNode(index, life, [this, index, life, action](control_node &node) {
            if (!permitted(node, action.fence, action.decidedAt)) {
                node.orders->onSendResult(m_now, action.ticket, send_end::NotSent, std::nullopt);
                return;
            }
            const bool lost = chance(m_faulty, 40);
            const bool arrives = !lost || draw(3) != 0;
            const milliseconds travel = lost ? delay(orderLifetime.count() - 2) : delay(40);
            const auto duration = milliseconds(draw(600));
            if (arrives) {
                at(m_now + travel, [this, index, life, action, lost, duration] {
                    const target_reply reply
                            = targetOf(action.message.address)
                                      .receive(m_now, action.fence, action.message, duration);
                    if (lost)
                        return;
                    onNode(index, life, [this, action, reply](control_node &sender) {
                        sender.orders->onSendResult(m_now, action.ticket, send_end::Answered,
                                                    reply);
                    });
                });
            }
            if (lost) {
                at(m_now + sendTime, [this, index, life, action] {
                    onNode(index, life, [this, action](control_node &sender) {
                        sender.orders->onSendResult(m_now, action.ticket, send_end::Lost,
                                                    std::nullopt);
                    });
                });
            }
        });
    });
}

void leader_world::carryOutUsage(std::size_t index, kernel::usage::usage_action action)
{
    if (auto *submission = std::get_if<submit_command>(&action)) {
        submit(index, submission->command,
               [this, ticket = submission->ticket](control_node &node, bool accepted) {
                   node.usage->onSubmitResult(m_now, ticket, accepted);
               });
        return;
    }
    const auto report = std::get<kernel::usage::report_window>(action);
    const int life = m_nodes[index].life;
    at(m_now + delay(60), [this, index, life, report] {
        onNode(index, life, [this, index, life, report](control_node &node) {
            if (!permitted(node, report.fence, report.decidedAt)) {
                node.usage->onReportResult(m_now, report.ticket, std::nullopt);
                return;
            }
            const bool lost = chance(m_faulty, 40);
            at(m_now + (lost ? delay(orderLifetime.count() - 2) : delay(40)), [this, report] {
                reports.push_back(
                        {report.window.windowStartMs, report.fence, report.window.figures});
            });
            at(m_now + sendTime, [this, index, life, report, lost] {
                onNode(index, life, [this, report, lost](control_node &sender) {
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
