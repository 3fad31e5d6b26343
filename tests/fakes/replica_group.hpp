#pragma once

#include "yuccascale/kernel/consensus/replica.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief Consensus replicas on one test clock, with injected faults and an event trace.

namespace yuccascale::fakes {

using namespace kernel::consensus;

/// \brief Advances replicas "a", "b", "c" ... in steps of 1 ms; a message takes one step.
class replica_group
{
public:
    /// \param seed seed of the random election timeouts
    /// \param initialMemberCount number of replicas, counted from the first, that form the initial
    ///        membership; the others only know their names; 0: all
    /// \param voterCount target number of voters; 0: as many as initial members
    explicit replica_group(std::size_t size, std::uint64_t seed = 0,
                           std::size_t initialMemberCount = 0, std::size_t voterCount = 0)
        : m_seed(seed)
        , m_voterCount(voterCount)
        , m_initialMemberCount(initialMemberCount == 0 ? size : initialMemberCount)
    {
        for (std::size_t index = 0; index < size; ++index)
            m_members.push_back({std::string(1, static_cast<char>('a' + index)), index + 1});
        m_disks.resize(size);
        m_replicas.resize(size);
        m_paused.resize(size, false);
        m_syncs.resize(size);
        for (std::size_t index = 0; index < size; ++index)
            m_sinks.push_back(std::make_unique<tracing_events>(*this, m_members[index].name));
        for (std::size_t index = 0; index < size; ++index)
            start(index);
    }

    void start(std::size_t index)
    {
        replica_config config;
        config.self = m_members[index];
        for (std::size_t first = 0; first < m_initialMemberCount; ++first)
            config.initialMembers.push_back(m_members[first].name);
        config.firstStart = m_firstStart;
        config.formerLog = m_formerLogs.contains(index);
        config.voters = m_voterCount;
        config.seed = m_seed * m_members.size() + index + 1;
        m_replicas[index]
                = std::make_unique<replica>(config, m_disks[index], *m_sinks[index], now());
        appendTrace(m_members[index].name, "start");
    }
    /// \brief Sets the incarnation that a replica uses from its next start.
    void setIncarnation(std::size_t index, std::uint64_t incarnation)
    {
        m_members[index].incarnation = incarnation;
    }

    /// \brief The replica has set its log aside when it starts the next time.
    void setLogAside(std::size_t index)
    {
        loseDisk(index);
        m_formerLogs.insert(index);
    }

    /// \brief Sets whether replicas started from now on may create a new log.
    void setFirstStart(bool allowed) noexcept { m_firstStart = allowed; }

    void stop(std::size_t index)
    {
        m_replicas[index].reset();
        m_syncs[index].reset();
        appendTrace(m_members[index].name, "stop");
    }
    void loseDisk(std::size_t index)
    {
        stop(index);
        m_disks[index] = {};
        m_members[index].incarnation += 100;
        appendTrace(m_members[index].name, "lose disk");
    }
    void pause(std::size_t index, bool paused)
    {
        m_paused[index] = paused;
        appendTrace(m_members[index].name, paused ? "pause" : "resume");
    }
    void setIsolated(std::size_t index, bool isolated)
    {
        if (isolated)
            m_isolated.insert(m_members[index].name);
        else
            m_isolated.erase(m_members[index].name);
        appendTrace(m_members[index].name, isolated ? "cut off" : "joined again");
    }

    /// \brief Messages to and from this replica take \a delay longer.
    void setDelay(std::size_t index, kernel::milliseconds delay)
    {
        m_delays[m_members[index].name] = delay;
    }

    /// \brief Sets how long each sync takes; meanwhile the replica handles no message and no tick.
    void setSyncTime(kernel::milliseconds time) noexcept { m_syncTime = time; }

    /// \brief Advances the clock by \a time and runs the replicas.
    void run(kernel::milliseconds time)
    {
        for (kernel::milliseconds passed{0}; passed < time; ++passed) {
            m_now += kernel::milliseconds(1);
            deliverInFlight();
            for (std::size_t index = 0; index < m_replicas.size(); ++index) {
                if (!m_replicas[index] || m_paused[index] || syncing(index))
                    continue;
                finishSync(index);
                if (now() >= m_replicas[index]->nextTick())
                    m_replicas[index]->tick(now());
                performActions(index);
            }
        }
    }

    /// \brief Runs until a replica other than \a former is a leader with a valid lease.
    /// \returns its index, or the number of replicas when there is none within 10 s.
    std::size_t runUntilLeader(std::optional<std::size_t> former = std::nullopt)
    {
        for (int step = 0; step < 10'000; ++step) {
            for (std::size_t index = 0; index < m_replicas.size(); ++index) {
                if (index != former && m_replicas[index] && !m_paused[index]
                    && m_replicas[index]->leadershipAt(now()))
                    return index;
            }
            run(kernel::milliseconds(1));
        }
        return m_replicas.size();
    }

    /// \brief Executes a replica's pending actions: saves its state, sends its messages and
    ///        applies its committed entries.
    void performActions(std::size_t index)
    {
        replica &current = *m_replicas[index];
        actions pendingActions = current.takeActions(now());
        while (pendingActions.mustSync() || !pendingActions.earlyMessages.empty()
               || !pendingActions.messages.empty() || !pendingActions.committed.empty()
               || !pendingActions.reads.empty()) {
            sendMessages(pendingActions.earlyMessages);
            pendingActions.earlyMessages.clear();
            if (pendingActions.mustSync() && m_syncTime.count() > 0) {
                m_syncs[index] = {std::move(pendingActions), now(), now() + m_syncTime};
                return;
            }
            afterSync(index, pendingActions, now());
            pendingActions = current.takeActions(now());
        }
    }

    [[nodiscard]] replica &at(std::size_t number) { return *m_replicas[number]; }
    [[nodiscard]] durable_state &disk(std::size_t number) { return m_disks[number]; }
    [[nodiscard]] const member_id &member(std::size_t number) const { return m_members[number]; }
    [[nodiscard]] kernel::instant now() const noexcept { return m_now; }
    [[nodiscard]] const std::vector<confirmed_read> &reads() const noexcept { return m_reads; }
    [[nodiscard]] kernel::event_sink &sink(std::size_t number) { return *m_sinks[number]; }

    /// \returns the trace, one event per line: time, replica, event and fields.
    [[nodiscard]] const std::string &trace() const noexcept { return m_trace; }

    void appendTrace(const std::string &source, const std::string &text)
    {
        const auto time
                = std::chrono::duration_cast<kernel::milliseconds>(m_now.time_since_epoch());
        m_trace += std::to_string(time.count()) + " ms " + source + " " + text + "\n";
    }

private:
    struct tracing_events final : kernel::event_sink
    {
        tracing_events(replica_group &group, std::string name)
            : m_group(group)
            , m_name(std::move(name))
        { }
        using kernel::event_sink::record;
        void record(const kernel::event_kind &kind,
                    std::span<const kernel::event_field> fields) override
        {
            std::string line = std::to_string(kind.number()) + " " + std::string(kind.name());
            for (const kernel::event_field &field : fields)
                line += " " + std::string(field.name) + "=" + field.value;
            m_group.appendTrace(m_name, line);
        }

    private:
        replica_group &m_group;
        std::string m_name;
    };

    /// A sync in progress, and what is done after it.
    struct pending_sync
    {
        actions batch;
        kernel::instant startedAt{};
        kernel::instant endsAt{};
    };

    [[nodiscard]] bool syncing(std::size_t index) const noexcept
    {
        return m_syncs[index] && m_now < m_syncs[index]->endsAt;
    }

    void finishSync(std::size_t index)
    {
        if (const auto finished = std::exchange(m_syncs[index], std::nullopt))
            afterSync(index, finished->batch, finished->startedAt);
    }

    void afterSync(std::size_t index, const actions &batch, kernel::instant startedAt)
    {
        replica &current = *m_replicas[index];
        save(m_disks[index], batch);
        if (batch.mustSync())
            current.syncFinished(now() - startedAt);
        if (!batch.entries.empty())
            current.persisted(batch.entries.back().index, batch.entries.back().term, now());
        sendMessages(batch.messages);
        for (const log_entry &entry : batch.committed)
            appendTrace(m_members[index].name,
                        "apply " + std::to_string(entry.index) + " of term "
                                + std::to_string(entry.term) + " " + describeEntry(entry));
        m_reads.insert(m_reads.end(), batch.reads.begin(), batch.reads.end());
    }

    void sendMessages(const std::vector<message> &messages)
    {
        for (const message &sent : messages) {
            const kernel::milliseconds delay = delayOf(sent.from.name) + delayOf(sent.to.name);
            if (delay.count() > 0)
                m_delayed.emplace(m_now + delay, sent);
            else
                m_inFlight.push_back(sent);
        }
    }

    [[nodiscard]] kernel::milliseconds delayOf(const std::string &name) const
    {
        const auto found = m_delays.find(name);
        return found == m_delays.end() ? kernel::milliseconds{} : found->second;
    }

    void takeDelayed()
    {
        const auto end = m_delayed.upper_bound(m_now);
        for (auto each = m_delayed.begin(); each != end; ++each)
            m_inFlight.push_back(each->second);
        m_delayed.erase(m_delayed.begin(), end);
    }

    static std::string describeEntry(const log_entry &entry)
    {
        if (entry.kind == entry_kind::Command)
            return entry.payload;
        return entry.kind == entry_kind::Noop ? "(no-op)" : "(membership)";
    }

    static void save(durable_state &disk, const actions &pendingActions)
    {
        if (pendingActions.hardState)
            disk.hardState = *pendingActions.hardState;
        if (pendingActions.snapshotToInstall) {
            disk.snapshot = pendingActions.snapshotToInstall;
            disk.entries.clear();
        }
        for (const log_entry &entry : pendingActions.entries) {
            while (!disk.entries.empty() && disk.entries.back().index >= entry.index)
                disk.entries.pop_back();
            disk.entries.push_back(entry);
        }
    }

    void deliverInFlight()
    {
        takeDelayed();
        std::deque<message> arriving;
        std::swap(arriving, m_inFlight);
        for (const message &delivered : arriving) {
            const auto to = std::ranges::find(m_members, delivered.to.name, &member_id::name);
            const auto number = static_cast<std::size_t>(to - m_members.begin());
            if (m_isolated.contains(delivered.from.name) || m_isolated.contains(delivered.to.name))
                continue;
            if (m_replicas[number] && (m_paused[number] || syncing(number)))
                m_inFlight.push_back(delivered);
            else if (m_replicas[number])
                m_replicas[number]->receive(delivered, now());
        }
    }

    std::uint64_t m_seed;
    std::size_t m_voterCount;
    std::size_t m_initialMemberCount;
    bool m_firstStart = true;
    std::set<std::size_t> m_formerLogs;
    std::vector<member_id> m_members;
    std::vector<durable_state> m_disks;
    std::vector<std::unique_ptr<replica>> m_replicas;
    std::vector<bool> m_paused;
    kernel::milliseconds m_syncTime{};
    std::vector<std::optional<pending_sync>> m_syncs;
    std::vector<std::unique_ptr<tracing_events>> m_sinks;
    std::set<std::string> m_isolated;
    std::deque<message> m_inFlight;
    std::map<std::string, kernel::milliseconds> m_delays;
    std::multimap<kernel::instant, message> m_delayed; ///< by when they go on
    std::vector<confirmed_read> m_reads;
    kernel::instant m_now{};
    std::string m_trace;
};

} // namespace yuccascale::fakes
