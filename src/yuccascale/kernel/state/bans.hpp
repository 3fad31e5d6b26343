#pragma once

#include "yuccascale/kernel/state/commands.hpp"
#include "yuccascale/kernel/state/limits.hpp"
#include "yuccascale/kernel/state/snapshot_stream.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>

/// \file
/// \brief Fingerprints of requests that crash endpoints, stopped fleet-wide.

namespace yuccascale::kernel::state {

/// \brief The bans in force, each until its time.
class bans
{
public:
    explicit bans(const limits &bounds)
        : m_bounds(bounds)
    { }

    [[nodiscard]] command_result ban(const ban_fingerprint &ban);

    /// \brief Lifts the bans whose time has passed.
    void expire(std::int64_t wallMs);

    /// \returns the banned fingerprints; the set stays unchanged after later commands.
    [[nodiscard]] std::shared_ptr<const std::set<std::string>> fingerprints() const noexcept
    {
        return m_fingerprints;
    }

    /// \returns a number that rises whenever the set changes.
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
