#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/feed/change_history.hpp"
#include "yuccascale/kernel/feed/endpoint_change.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

/// \file
/// \brief A node's copy of the platform's list of endpoints, and when it was asked for.

namespace yuccascale::kernel::feed {

/// \brief A list that this node has read at the platform.
struct endpoint_reading
{
    instant askedAt{};       ///< when the node began to ask
    std::uint64_t fence = 0; ///< of the leader; 0: the node does not lead
    std::vector<listed_endpoint> endpoints;
};

/// \brief Keeps the list that was asked for last, whoever read it. Not thread-safe.
///
/// A list is replaced only by one that was certainly asked for later. Two lists with the same
/// digest are the same list, so that who reads what is known already renews its age alone. The
/// version rises with each list that is installed here: former builds tell newer lists by it.
///
/// A node that holds a list of the last time is sent the changes since. A result whose digest is
/// not the one that was announced is dropped, and whole lists are asked for until one came.
class endpoint_list_copy
{
public:
    endpoint_list_copy();

    /// \returns the list; version 0 before the first.
    [[nodiscard]] const std::shared_ptr<const endpoint_list> &list() const noexcept
    {
        return m_list->pointer();
    }

    /// \returns since when the list is known to be no older; nothing when that is not known.
    [[nodiscard]] std::optional<instant> askedAt() const noexcept { return m_asked.earliest; }

    /// \brief Takes over what this node has read.
    /// \returns true when another list is in force now.
    bool read(endpoint_reading reading);

    /// \brief Takes over what another node answered.
    /// \param requestedAt when the request was sent
    /// \param arrivedAt when the answer arrived
    /// \returns true when another list is in force now.
    bool install(instant requestedAt, instant arrivedAt, const feed_reply &reply);

    /// \brief Takes over a list whose age is not known, from a former build.
    /// \returns true when its version is higher.
    bool installOfUnknownAge(instant arrivedAt, endpoint_list list);

    /// \returns whether an answer since the last call did not fit to the list held, so that the
    ///          next poll should not wait.
    [[nodiscard]] bool takeMissed() noexcept { return std::exchange(m_missed, false); }

    /// \brief Says in a request what is held.
    void describe(instant now, feed_request &request) const;

    /// \brief Says in a reply what is held, with the list when the other node has an older one.
    void describe(instant now, const feed_request &request, feed_reply &reply) const;

private:
    /// When a list was asked for. Its answer took some time on its way, so that is known with a
    /// spread.
    struct asked_span
    {
        std::optional<instant> earliest; ///< nothing: not known
        instant latest{};
    };

    [[nodiscard]] static asked_span spanOf(instant requestedAt, instant arrivedAt,
                                           const feed_reply &reply);
    [[nodiscard]] bool isCertainlyLater(const asked_span &span) const noexcept;
    [[nodiscard]] bool isNewFor(instant now, const feed_request &request) const;
    [[nodiscard]] bool installChanges(const feed_reply &reply, const asked_span &span);
    [[nodiscard]] std::vector<encoded_pointer<endpoint_change>>
    changesFor(const feed_request &request) const;
    void renew(const asked_span &span);
    void replaceWhole(endpoint_list next, std::optional<std::uint64_t> digest,
                      const asked_span &span);
    void replace(endpoint_list next, std::uint64_t digest, const asked_span &span);
    void remember(encoded_pointer<endpoint_change> change);
    [[nodiscard]] endpoint_encodings &encodings();

    encoded_pointer<endpoint_list> m_list;
    std::uint64_t m_digest = 0; ///< of its endpoints; 0 before the first list
    asked_span m_asked;
    std::optional<endpoint_encodings> m_encodings; ///< of the list; made when first needed
    change_history<encoded_pointer<endpoint_change>> m_changes;
    bool m_wantsWhole = false; ///< changes led to another list than announced
    bool m_missed = false;
};

} // namespace yuccascale::kernel::feed
