#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"

#include <map>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief Chooses the control node that a node polls for what is in force.

namespace yuccascale::kernel::feed {

/// \brief Spreads the nodes of an availability zone over its control nodes. Not thread-safe.
///
/// \example
///     relay_choice relays({"10.1.0.7:7660", "perth-a"});
///     const std::string relay = relays.choose(now, relays.order(nodes, seeds));
class relay_choice
{
public:
    /// \brief The node that polls.
    struct poller
    {
        std::string link; ///< IP:port
        std::string zone;
    };

    explicit relay_choice(poller self)
        : m_self(std::move(self))
    { }

    /// \brief Orders the control nodes: those of the own zone, the others, then unlisted seeds.
    /// Each group has an order of its own for each polling node, so that the polls are spread.
    /// \returns link addresses, without this node's own.
    [[nodiscard]] std::vector<std::string> order(std::span<const node_report> nodes,
                                                 std::span<const std::string> seeds) const;

    /// \returns the first of \a ordered that is not avoided, else an outdated one before an
    ///          unreachable one, those avoided for the longest time first; empty when there is
    ///          none.
    [[nodiscard]] std::string choose(instant now, std::span<const std::string> ordered) const;

    /// \brief Records that a control node did not answer.
    void unreachable(instant now, const std::string &relay);

    /// \brief Records an answer that may be outdated.
    void outdated(instant now, const std::string &relay);

    /// \brief Records an answer that is up to date.
    void upToDate(const std::string &relay) { m_avoided.erase(relay); }

private:
    enum class reason { None, Outdated, Unreachable };

    struct avoidance
    {
        reason why = reason::None;
        instant until{};
    };

    void avoid(instant now, const std::string &relay, reason why, nanoseconds time);
    void spread(std::span<std::string> group) const;

    poller m_self;
    std::map<std::string, avoidance> m_avoided; ///< by link address
};

} // namespace yuccascale::kernel::feed
