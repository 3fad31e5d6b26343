#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/consensus/replica.hpp"
#include "yuccascale/kernel/events.hpp"
#include "yuccascale/kernel/leadership.hpp"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief What the thread of the replicated log shows to other threads.

namespace yuccascale::runtime {

/// \brief The state of a replica that is shown to operators.
struct replicated_log_status
{
    std::uint64_t term = 0;
    std::string role;   ///< "joining", "learner", "follower", "candidate", "leader" or "stopped"
    std::string leader; ///< node name; empty when none is known
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::uint64_t entriesInMemory = 0; ///< log entries since the last compaction
    kernel::instant stateSince{};      ///< when the role or the leader last changed
    std::vector<std::string> degraded; ///< each with its remedy; empty when healthy
    std::vector<std::string> voters;
    std::vector<std::string> learners;
};

/// \param appliedIndex the last entry that the consumer has applied
/// \returns the status of \a source; its stateSince is not set.
[[nodiscard]] replicated_log_status statusOf(const kernel::consensus::replica &source,
                                             std::uint64_t appliedIndex, kernel::instant now);

/// \brief The last published status and leadership. The log's thread publishes, any thread reads.
///        Records a leadership that ends as an event.
class published_log_status
{
public:
    explicit published_log_status(kernel::event_sink &events);

    /// \brief Replaces both. stateSince is \a now unless role and leader are the same as before.
    void publish(replicated_log_status status, std::optional<kernel::leadership> held,
                 kernel::instant now);

    /// \brief Publishes that the replica does not run for \a reason, without leadership. Records no
    ///        event: the caller has recorded why it stopped.
    void publishStopped(const std::string &reason, kernel::instant now);

    /// \brief Withdraws the leadership and leaves the status as it is.
    void revokeLeadership();

    [[nodiscard]] replicated_log_status status() const;

    /// \returns the name of the last known leader; may be empty.
    [[nodiscard]] std::string leader() const;

    /// \returns the leadership, or nothing once its lease has ended.
    [[nodiscard]] std::optional<kernel::leadership> leadershipAt(kernel::instant now) const;

private:
    void recordLoss(const std::optional<kernel::leadership> &lost);

    kernel::event_sink &m_events;
    mutable std::mutex m_mutex;
    std::optional<kernel::leadership> m_leadership;
    replicated_log_status m_status;
};

} // namespace yuccascale::runtime
