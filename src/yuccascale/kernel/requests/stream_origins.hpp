#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Which endpoints began a stream, so that another entry can go on with it.

namespace yuccascale::kernel::requests {

/// \brief The endpoints that may go on with a stream.
struct stream_origin
{
    std::string pool;
    std::string softwareVersion; ///< of the endpoint that sent the first piece

    [[nodiscard]] bool operator==(const stream_origin &) const = default;
};

/// \brief A stream and where it began.
struct stream_record
{
    std::string requestId; ///< of the request that brought its first piece
    stream_origin origin;
    nanoseconds kept{}; ///< how much longer it may be taken up
};

/// \brief Names that were in force lately, as one entry saw them.
struct names_seen
{
    std::vector<std::string> names; ///< empty: the entry knows none
    bool throughout = false;        ///< the entry has watched for the whole time

    /// \returns the only name; nothing when there were, or may have been, others.
    [[nodiscard]] std::optional<std::string> only() const;

    [[nodiscard]] bool operator==(const names_seen &) const = default;
};

/// \brief Where streams can have begun, as one entry saw it.
struct origins_seen
{
    names_seen pools;    ///< that the route led to
    names_seen versions; ///< software versions of the pool that it leads to now

    /// \returns whether a stream can have begun at one kind of endpoint only.
    [[nodiscard]] bool unambiguous() const { return pools.only() && versions.only(); }

    [[nodiscard]] bool operator==(const origins_seen &) const = default;
};

/// \brief What one entry knows of a stream.
struct origin_answer
{
    std::optional<stream_origin> origin; ///< recorded
    origins_seen seen;                   ///< since before the stream can have begun
};

/// \brief Records of the streams that began lately. Long request ids are kept as digests. Not
///        thread-safe.
class stream_origins
{
public:
    void record(instant now, const stream_record &began);
    [[nodiscard]] std::optional<stream_origin> find(instant now, std::string_view requestId) const;

    /// \returns the records of a pool that may still be taken up, with digests in place of long
    /// ids.
    [[nodiscard]] std::vector<stream_record> recordsOf(instant now, std::string_view pool) const;

private:
    struct kept_origin
    {
        stream_origin origin;
        instant until{};
    };

    std::map<std::string, kept_origin, std::less<>> m_origins; ///< by request id or digest
    std::deque<std::string> m_oldestFirst;                     ///< keys of m_origins
};

/// \brief Decides where a stream goes on.
///
/// Without a record, one entry that has watched the route must have seen one pool and one software
/// version only, and no other answer may name another. An entry that has just started contradicts,
/// but proves nothing. \param pool of the request that takes it up \param answers of this entry,
/// which is the first, and of those that answered \param othersAsked other entries that should know
/// the stream \returns nothing when that is not known for sure.
[[nodiscard]] std::optional<stream_origin> decideOrigin(std::string_view pool,
                                                        std::span<const origin_answer> answers,
                                                        std::size_t othersAsked);

/// \returns whether the answers name several pools or software versions, whatever more is known.
[[nodiscard]] bool contradictory(std::span<const origin_answer> answers);

/// \returns the \a count entries that keep the record of a stream, of those in \a links, in an
///          order that each entry computes alike.
[[nodiscard]] std::vector<std::string>
keepersOf(std::string_view requestId, std::span<const std::string> links, std::size_t count);

/// \brief Names that were in force lately: the software versions of a pool's endpoints, or the
/// pools of a route. Not thread-safe.
class name_history
{
public:
    /// \brief Records the names that are in force now.
    void update(instant now, std::vector<std::string> names);

    /// \brief Records a name that another node saw in force until \a goneAt.
    void add(const std::string &name, instant goneAt);

    /// \brief Forgets the names that were not in force since \a oldest.
    void forget(instant oldest);

    /// \returns the names that were in force during the last \a lookback.
    [[nodiscard]] std::vector<std::string> names(instant now, nanoseconds lookback) const;

    /// \returns the names that are no longer in force, and until when they were.
    [[nodiscard]] const std::map<std::string, instant> &formerOnes() const noexcept
    {
        return m_goneAt;
    }
    [[nodiscard]] bool empty() const noexcept { return m_current.empty() && m_goneAt.empty(); }

private:
    std::vector<std::string> m_current;
    std::map<std::string, instant> m_goneAt; ///< of names that are not current
};

} // namespace yuccascale::kernel::requests
