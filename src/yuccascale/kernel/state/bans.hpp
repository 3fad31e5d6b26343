#pragma once

#include "yuccascale/kernel/state/commands.hpp"
#include "yuccascale/kernel/state/limits.hpp"
#include "yuccascale/kernel/state/snapshot_stream.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>

/// \file
/// \brief Fingerprints of requests that crash endpoints and are rejected by the whole fleet.

namespace yuccascale::kernel::state {

/// \brief The bans in force, each with its expiry time. At the limit, a new ban replaces the one
/// that expires first.
class bans
{
public:
    explicit bans(const limits &bounds)
        : m_bounds(bounds)
    { }

    [[nodiscard]] command_result ban(const ban_fingerprint &ban);

    /// \brief Removes the bans that expire at \a wallMs or earlier.
    void expire(std::int64_t wallMs);

    /// \returns the banned fingerprints; later commands do not change the returned set.
    [[nodiscard]] std::shared_ptr<const std::set<std::string>> fingerprints() const noexcept
    {
        return m_fingerprints;
    }

    /// \returns a version that increases whenever the set changes.
    [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }

    void save(snapshot_writer &out) const;
    void load(snapshot_reader &in);

private:
    void publish();

    const limits &m_bounds;
    std::map<std::string, ban_fingerprint> m_bans; ///< by fingerprint
    std::shared_ptr<const std::set<std::string>> m_fingerprints
            = std::make_shared<std::set<std::string>>();
    std::uint64_t m_version = 0;
};

} // namespace yuccascale::kernel::state
