#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"
#include "yuccascale/kernel/feed/node_directory.hpp"
#include "yuccascale/kernel/state/tables.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief Decides when an edit may be acknowledged: once no node uses older tables for longer than
/// was promised.

namespace yuccascale::kernel::feed {

/// \brief What a node knows of the leases on tables, its own and those of the nodes that asked it.
///
/// A revision is settled when each lease on older tables ends within the promised time. A lease
/// ends one freshness time after its node asked, at the latest. So a node stops mattering when it
/// has reported the revision, or longestWait() after it asked last; and each revision is settled
/// longestWait() after it was in force anywhere. What is settled stays so. Not thread-safe.
///
/// \example
///     table_leases leases(leaseWait(seconds(5), seconds(2)));
///     leases.installed(now, *tables);
///     if (leases.settled(now, leadingSince) >= tables->revision) ...
class table_leases
{
public:
    /// \brief A node that may use older tables.
    struct holder
    {
        node_report report; ///< with the highest revision that it reported
        instant askedAt{};  ///< not before it asked last
    };

    /// \param longestWait from when a revision is in force somewhere until it is settled; 0: at
    /// once
    explicit table_leases(nanoseconds longestWait)
        : m_longestWait(longestWait)
    { }

    [[nodiscard]] nanoseconds longestWait() const noexcept { return m_longestWait; }

    /// \brief Records what a node reported when it asked this one or a relay.
    /// \returns true when it holds a higher revision than it last reported.
    bool reported(const node_report &report, instant askedAt);

    /// \brief Records that this node has \a tables in force at \a now.
    void installed(instant now, const state::table_set &tables);

    /// \brief Takes over that a revision is settled, as another node knows.
    void learn(std::uint64_t settled);

    /// \param leadingSince since when this node leads, while it does: leases that an earlier leader
    ///        gave began before, and all later ones are known here
    /// \returns the highest revision that is known to be settled.
    [[nodiscard]] std::uint64_t settled(instant now, std::optional<instant> leadingSince);

    /// \returns the first revision with the operator's document of this version or a newer one, as
    ///          this node had it in force; nullopt when it has not.
    [[nodiscard]] std::optional<std::uint64_t> revisionOf(std::uint64_t documentVersion) const;

    /// \returns the node with the oldest revision that keeps a revision from being settled; nullptr
    ///          when there is none.
    [[nodiscard]] const holder *slowest() const;

    /// \returns the last reports, with ages, of the processes that may use older tables and are not
    ///          those that \a directory has by their names: later ones have replaced them.
    [[nodiscard]] std::vector<node_report> replaced(instant now,
                                                    const node_directory &directory) const;

private:
    /// When a revision was in force on this node.
    struct in_force
    {
        std::uint64_t revision = 0;
        std::uint64_t documentVersion = 0;
        instant since{};
    };

    void forgetEnded(instant now);

    nanoseconds m_longestWait;
    std::map<std::pair<std::string, std::uint64_t>, holder> m_holders; ///< by node and incarnation
    std::deque<in_force>
            m_revisions; ///< oldest first; the first is the only one that may be settled
    std::uint64_t m_settled = 0;
};

/// \param freshness how long tables may be used, counted from when they were confirmed
/// \param propagation until an acknowledged edit is in force everywhere; 0: no bound
/// \returns how long after its last request a node's older tables break what an acknowledgement
///          promises.
[[nodiscard]] nanoseconds leaseWait(nanoseconds freshness, nanoseconds propagation) noexcept;

} // namespace yuccascale::kernel::feed
