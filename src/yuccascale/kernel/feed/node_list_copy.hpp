#pragma once

#include "yuccascale/kernel/feed/change_history.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"

#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

/// \file
/// \brief A node's copy of the leader's list of nodes.

namespace yuccascale::kernel::feed {

/// \returns the sum of hashes of what nodes need of each other: neither revision, age nor wall
///          clock. The order does not matter; never 0.
[[nodiscard]] std::uint64_t digestOf(const std::vector<node_report> &nodes);

/// \brief Keeps the list of nodes, and sends what changed since the list of another node. Not
/// thread-safe.
class node_list_copy
{
public:
    [[nodiscard]] const std::vector<node_report> &nodes() const noexcept { return m_nodes; }

    /// \brief Takes over the whole list.
    void set(std::vector<node_report> nodes);

    /// \brief Takes over what another node answered. A result whose digest is not the announced
    /// one is dropped, and the whole list is asked for.
    void install(const feed_reply &reply);

    /// \returns whether an answer since the last call did not fit to the list held.
    [[nodiscard]] bool takeMissed() noexcept { return std::exchange(m_missed, false); }

    /// \brief Says in a request what is held.
    void describe(feed_request &request) const;

    /// \brief Adds to a reply what the other node needs.
    void describe(const feed_request &request, feed_reply &reply) const;

private:
    using change_pointer = std::shared_ptr<const node_change>;

    void installChanges(const feed_reply &reply);
    void remember(change_pointer change);

    std::vector<node_report> m_nodes;
    std::uint64_t m_digest = digestOf({});
    change_history<change_pointer> m_changes;
    bool m_wantsWhole = true; ///< before the first list, and when changes did not fit
    bool m_missed = false;
};

} // namespace yuccascale::kernel::feed
