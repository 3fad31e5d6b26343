#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"
#include "yuccascale/kernel/feed/node_directory.hpp"
#include "yuccascale/kernel/feed/table_history.hpp"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief What a node holds of the feed, and the decisions on it: install, renew, answer.

namespace yuccascale::kernel::feed {

/// \brief What the leader reads from its own state machine after it confirmed its quorum.
struct leader_reading
{
    std::shared_ptr<const state::table_set> tables;
    std::uint64_t bansVersion = 0;
    std::vector<std::string> bans;
};

/// \brief Holds the confirmed revision of one node. Never goes back to an older one.
///
/// Not thread-safe.
class feed_state
{
public:
    /// \param freshness how long tables may be acted on after they were asked for
    /// \param entries names of all nodes that serve callers
    feed_state(nanoseconds freshness, std::vector<std::string> entries);

    /// \returns what is in force here.
    [[nodiscard]] control_view view() const;

    /// \returns the entries that callers should not be sent to.
    [[nodiscard]] const std::vector<std::string> &unavailable() const noexcept
    {
        return m_unavailable;
    }

    [[nodiscard]] const node_directory &directory() const noexcept { return m_directory; }

    /// \param relayed whether to add the reports of the nodes that ask here
    /// \returns the request to send next.
    [[nodiscard]] feed_request request(instant now, const node_report &self, bool relayed) const;

    /// \brief Installs a reply to a request sent at \a askedAt.
    /// \returns true when a newer revision came in force.
    bool install(instant askedAt, const feed_reply &reply);

    /// \brief Installs the leader's own reading, confirmed by a quorum after \a askedAt.
    /// \returns true when a newer revision came in force.
    bool installOwn(instant askedAt, instant now, const leader_reading &reading,
                    const std::string &self);

    /// \brief Notes who is leader, as far as known.
    void noteLeader(const std::string &leader) { m_leader = leader; }

    /// \brief Answers another node from what is in force here.
    [[nodiscard]] feed_reply answer(instant now, std::string_view peer,
                                    const feed_request &request);

private:
    void renew(instant askedAt, nanoseconds freshFor);
    void installBans(std::uint64_t version, const std::vector<std::string> &bans);
    [[nodiscard]] bool installTables(const feed_reply &reply);

    nanoseconds m_freshness;
    std::vector<std::string> m_entries;
    table_history m_history;
    node_directory m_directory;
    instant m_freshUntil{};
    std::uint64_t m_bansVersion = 0;
    std::shared_ptr<const std::set<std::string>> m_bans;
    std::vector<std::string> m_unavailable;
    std::string m_leader;
};

} // namespace yuccascale::kernel::feed
