#pragma once

#include "yuccascale/kernel/consensus/replica.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Replicas on one test clock, with messages that a test can hold back and a trace.

namespace yuccascale::fakes {

using namespace kernel::consensus;

/// \brief Steps replicas "a", "b", "c" ... by one millisecond at a time; a message takes one step.
class replica_group
{
public:
    /// \param seed of the election timeouts
    /// \param seeds replicas that begin the first log; the others only know them; 0: all
    explicit replica_group(std::size_t size, std::uint64_t seed = 0, std::size_t seeds = 0)
        : m_seed(seed)
        , m_seeds(seeds == 0 ? size : seeds)
    {
        for (std::size_t at = 0; at < size; ++at)
            m_members.push_back({std::string(1, static_cast<char>('a' + at)), at + 1});
        m_disks.resize(size);
        m_replicas.resize(size);
        m_paused.resize(size, false);
        for (std::size_t at = 0; at < size; ++at)
            m_sinks.push_back(std::make_unique<tracing_events>(*this, m_members[at].name));
        for (std::size_t at = 0; at < size; ++at)
            start(at);
    }

    void start(std::size_t at)
    {
        replica_config config;
        config.self = m_members[at];
        for (std::size_t first = 0; first < m_seeds; ++first)
            config.initialMembers.push_back(m_members[first].name);
        config.firstStart = m_firstStart;
        config.seed = m_seed * m_members.size() + at + 1;
        m_replicas[at] = std::make_unique<replica>(config, m_disks[at], *m_sinks[at], now());
        note(m_members[at].name, "start");
    }
    /// \brief The incarnation that a replica draws at its next start.
    void setIncarnation(std::size_t at, std::uint64_t incarnation)
    {
        m_members[at].incarnation = incarnation;
    }

    /// \brief Whether replicas that start from now on may begin an empty log.
    void setFirstStart(bool allowed) noexcept { m_firstStart = allowed; }

    void stop(std::size_t at)
    {
        m_replicas[at].reset();
        note(m_members[at].name, "stop");
    }
    void loseDisk(std::size_t at)
    {
        stop(at);
        m_disks[at] = {};
        m_members[at].incarnation += 100;
        note(m_members[at].name, "lose disk");
    }
    void pause(std::size_t at, bool paused)
    {
        m_paused[at] = paused;
        note(m_members[at].name, paused ? "pause" : "resume");
    }
    void cutOff(std::size_t at, bool cut)
    {
        if (cut)
            m_cutOff.insert(m_members[at].name);
        else
            m_cutOff.erase(m_members[at].name);
        note(m_members[at].name, cut ? "cut off" : "joined again");
    }

    /// \brief Lets that time pass.
    void run(kernel::milliseconds time)
    {
        for (kernel::milliseconds passed{0}; passed < time; ++passed) {
            m_now += kernel::milliseconds(1);
            deliverWaiting();
            for (std::size_t at = 0; at < m_replicas.size(); ++at) {
                if (!m_replicas[at] || m_paused[at])
                    continue;
                if (now() >= m_replicas[at]->nextTick())
                    m_replicas[at]->tick(now());
                work(at);
            }
        }
    }

    /// \brief Runs until a replica other than \a former has authority.
    /// \returns its number, or the number of replicas after 10 s.
    std::size_t runUntilLeader(std::optional<std::size_t> former = std::nullopt)
    {
        for (int step = 0; step < 10'000; ++step) {
            for (std::size_t at = 0; at < m_replicas.size(); ++at) {
                if (at != former && m_replicas[at] && !m_paused[at]
                    && m_replicas[at]->leadershipAt(now()))
                    return at;
            }
            run(kernel::milliseconds(1));
        }
        return m_replicas.size();
    }

    /// \brief Carries out a replica's actions as a driver does.
    void work(std::size_t at)
    {
        replica &one = *m_replicas[at];
        actions todo = one.takeActions(now());
        while (todo.mustSync() || !todo.earlyMessages.empty() || !todo.messages.empty()
               || !todo.committed.empty() || !todo.reads.empty()) {
            save(m_disks[at], todo);
            if (!todo.entries.empty())
                one.persisted(todo.entries.back().index, todo.entries.back().term, now());
            for (const auto *list : {&todo.earlyMessages, &todo.messages})
                m_underWay.insert(m_underWay.end(), list->begin(), list->end());
            for (const log_entry &entry : todo.committed)
                note(m_members[at].name,
                     "apply " + std::to_string(entry.index) + " of term "
                             + std::to_string(entry.term) + " " + textOf(entry));
            m_reads.insert(m_reads.end(), todo.reads.begin(), todo.reads.end());
            todo = one.takeActions(now());
        }
    }

    [[nodiscard]] replica &at(std::size_t number) { return *m_replicas[number]; }
    [[nodiscard]] durable_state &disk(std::size_t number) { return m_disks[number]; }
    [[nodiscard]] const member_id &member(std::size_t number) const { return m_members[number]; }
    [[nodiscard]] kernel::instant now() const noexcept { return m_now; }
    [[nodiscard]] const std::vector<confirmed_read> &reads() const noexcept { return m_reads; }
    [[nodiscard]] kernel::event_sink &sink(std::size_t number) { return *m_sinks[number]; }

    /// \returns time, replica, event and fields, one event a line.
    [[nodiscard]] const std::string &trace() const noexcept { return m_trace; }

    void note(const std::string &who, const std::string &what)
    {
        const auto time
                = std::chrono::duration_cast<kernel::milliseconds>(m_now.time_since_epoch());
        m_trace += std::to_string(time.count()) + " ms " + who + " " + what + "\n";
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
            m_group.note(m_name, line);
        }

    private:
        replica_group &m_group;
        std::string m_name;
    };

    static std::string textOf(const log_entry &entry)
    {
        if (entry.kind == entry_kind::Command)
            return entry.payload;
        return entry.kind == entry_kind::Noop ? "(no-op)" : "(membership)";
    }

    static void save(durable_state &disk, const actions &todo)
    {
        if (todo.hardState)
            disk.hardState = *todo.hardState;
        if (todo.snapshotToInstall) {
            disk.snapshot = todo.snapshotToInstall;
            disk.entries.clear();
        }
        for (const log_entry &entry : todo.entries) {
            while (!disk.entries.empty() && disk.entries.back().index >= entry.index)
                disk.entries.pop_back();
            disk.entries.push_back(entry);
        }
    }

    void deliverWaiting()
    {
        std::deque<message> arriving;
        std::swap(arriving, m_underWay);
        for (const message &each : arriving) {
            const auto to = std::ranges::find(m_members, each.to.name, &member_id::name);
            const auto number = static_cast<std::size_t>(to - m_members.begin());
            if (m_cutOff.contains(each.from.name) || m_cutOff.contains(each.to.name))
                continue;
            if (m_replicas[number] && m_paused[number])
                m_underWay.push_back(each);
            else if (m_replicas[number])
                m_replicas[number]->receive(each, now());
        }
    }

    std::uint64_t m_seed;
    std::size_t m_seeds;
    bool m_firstStart = true;
    std::vector<member_id> m_members;
    std::vector<durable_state> m_disks;
    std::vector<std::unique_ptr<replica>> m_replicas;
    std::vector<bool> m_paused;
    std::vector<std::unique_ptr<tracing_events>> m_sinks;
    std::set<std::string> m_cutOff;
    std::deque<message> m_underWay;
    std::vector<confirmed_read> m_reads;
    kernel::instant m_now{};
    std::string m_trace;
};

} // namespace yuccascale::fakes
