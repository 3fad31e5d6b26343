#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/kernel/feed/endpoint_list_copy.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"
#include "yuccascale/kernel/feed/node_directory.hpp"
#include "yuccascale/kernel/feed/node_list_copy.hpp"
#include "yuccascale/kernel/feed/origin_history.hpp"
#include "yuccascale/kernel/feed/table_history.hpp"
#include "yuccascale/kernel/feed/table_leases.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief State of the feed on one node: installs replies, extends freshness and answers requests.

namespace yuccascale::kernel::feed {

/// \brief State that the leader reads from its own state machine after a quorum confirmed its
/// leadership.
struct confirmed_state
{
    std::shared_ptr<const state::table_set> tables;
    std::uint64_t bansVersion = 0;
    std::vector<std::string> bans;
};

/// \brief Holds the confirmed revision of one node and never returns to an older one.
///
/// Not thread-safe.
class feed_state
{
public:
    /// \param freshness how long tables may be used, counted from when they were requested
    /// \param propagation until an acknowledged edit is in force everywhere; 0: no bound
    explicit feed_state(nanoseconds freshness, nanoseconds propagation = {});

    /// \returns what is in force on this node.
    [[nodiscard]] control_view view() const;

    /// \returns the nodes that are known to run and are not leaving.
    [[nodiscard]] const std::vector<node_report> &nodes() const noexcept { return m_nodes.nodes(); }

    /// \returns the median of the reported wall clocks, correct while fewer than half of them are
    /// wrong; nullopt before the first reply.
    [[nodiscard]] std::optional<wall_time> agreedTime(instant now) const;

    /// \returns the newest endpoint list; version 0 before the first.
    [[nodiscard]] const std::shared_ptr<const endpoint_list> &endpoints() const noexcept
    {
        return m_endpoints.list();
    }

    /// \returns since when that list is known to be no older; nothing when that is not known.
    [[nodiscard]] std::optional<instant> endpointsAskedAt() const noexcept
    {
        return m_endpoints.askedAt();
    }

    /// \brief Installs a list of endpoints whose age is not known.
    /// \returns true when it is newer than the current one.
    bool installEndpoints(endpoint_list list);

    /// \brief Installs what this node has read at the platform.
    /// \returns true when another list is in force now.
    bool readEndpoints(endpoint_reading reading) { return m_endpoints.read(std::move(reading)); }

    /// \brief Installs only the list of endpoints of a reply.
    /// \returns true when another list is in force now.
    bool installEndpoints(instant requestedAt, instant arrivedAt, const feed_reply &reply)
    {
        return m_endpoints.install(requestedAt, arrivedAt, reply);
    }

    [[nodiscard]] const node_directory &directory() const noexcept { return m_directory; }

    /// \param includeRelayed whether to add the reports of the nodes that poll this one
    /// \returns the request to send next.
    [[nodiscard]] feed_request request(instant now, const node_report &self,
                                       bool includeRelayed) const;

    /// \returns the revision of the tables in force; 0 before the first.
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return m_history.newest() ? m_history.newest()->revision : 0;
    }

    /// \brief Installs a reply to a request sent at \a requestedAt. Replies may overtake each
    /// other.
    /// \param arrivedAt nothing: when it was sent
    /// \returns true when a newer revision or endpoint list was installed.
    bool install(instant requestedAt, const feed_reply &reply,
                 std::optional<instant> arrivedAt = std::nullopt);

    /// \brief Installs the leader's own state, confirmed by a quorum after \a requestedAt.
    /// \returns true when a newer revision was installed.
    bool installConfirmedState(instant requestedAt, instant now, const confirmed_state &confirmed,
                               const node_report &self);

    /// \brief Records the link address of the last known leader.
    void setLeader(const std::string &leader) { m_leader = leader; }

    /// \brief Answers a request of another node from what is in force on this one.
    /// \param leadingSince since when this node leads, while it does
    [[nodiscard]] feed_reply answer(instant now, std::string_view peer, const feed_request &request,
                                    std::optional<instant> leadingSince = {});

    /// \returns the leases on tables, with what is in force on this node at \a now.
    [[nodiscard]] table_leases &leases(instant now);

    /// \returns whether a node has reported a higher revision since the last call.
    [[nodiscard]] bool takeHigherReports() noexcept
    {
        return std::exchange(m_higherReports, false);
    }

    /// \returns whether changes since the last call did not fit to what is held, so that the next
    ///          poll should not wait.
    [[nodiscard]] bool takeMissedChanges() noexcept
    {
        const bool nodes = m_nodes.takeMissed();
        return m_endpoints.takeMissed() || nodes;
    }

private:
    void updateAgreedTime(instant now, const node_report &self);
    void updateOrigins(instant requestedAt, nanoseconds freshFor, const origin_report &earlier);
    void extendFreshness(instant requestedAt, nanoseconds freshFor);
    void installBans(std::uint64_t version, const std::vector<std::string> &bans);
    [[nodiscard]] bool installTables(const feed_reply &reply);

    nanoseconds m_freshness;
    table_history m_history;
    node_directory m_directory;
    table_leases m_leases;
    bool m_higherReports = false;
    instant m_freshUntil{};
    instant m_requestedAt{}; ///< of the newest request whose answer was installed
    std::uint64_t m_bansVersion = 0;
    std::shared_ptr<const std::set<std::string>> m_bans;
    node_list_copy m_nodes;
    endpoint_list_copy m_endpoints;
    std::shared_ptr<const origin_history> m_origins; ///< replaced when it changes
    std::uint64_t m_originsRevision = 0;             ///< of the tables in it
    std::uint64_t m_originsEndpoints = 0;            ///< version of the list in it
    std::optional<milliseconds> m_wallOffset;        ///< agreed time minus this VM's boot clock
    std::string m_leader;
};

} // namespace yuccascale::kernel::feed
