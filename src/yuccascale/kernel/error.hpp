#pragma once

#include <boost/leaf.hpp>

#include <string>
#include <string_view>

/// \file
/// \brief Typed errors. Every message says what is wrong, where, and what to do about it.

namespace yuccascale::kernel {

/// \brief Kinds of error; callers and operators see the kind's name (see errorKindName()).
enum class error_kind {
    InvalidArgument,  ///< the input is malformed; correct it and send it again
    NotFound,         ///< the named thing does not exist
    Conflict,         ///< a compare-and-set failed; read the current revision and edit again
    Unauthorized,     ///< no valid key came with the request
    Forbidden,        ///< the key is valid but not for this
    NotLeader,        ///< only the leader can do this; send it to the node that the message names
    NotReady,         ///< the node has no confirmed revision in force
    Overloaded,       ///< refused to protect the deadlines of other requests; retry later
    DeadlineExceeded, ///< the deadline passed
    Unavailable,      ///< the other side cannot be reached
    OutcomeUnknown,   ///< it may have run; ask the service that runs it
    Corrupt,          ///< stored or received bytes cannot be decoded or fail their checksum
    Internal,         ///< a bug in this program
    QuotaExceeded,    ///< the organisation has used up its quota; retry later
};

/// \brief An error with its kind, its location and a message that names the remedy.
struct error
{
    error_kind kind = error_kind::Internal;
    std::string where;   ///< file and line, field, endpoint or operation
    std::string message; ///< what is wrong and what to do
};

template<typename T>
using result = boost::leaf::result<T>;

/// \returns the name of \a kind as it appears in JSON and in logs, such as "not_leader".
[[nodiscard]] std::string_view errorKindName(error_kind kind) noexcept;

/// \brief Makes a failed result.
///
/// \example
///     return fail(error_kind::NotFound, "route/briefing", "no such route; list them with 'route
///     list'");
[[nodiscard]] boost::leaf::error_id fail(error_kind kind, std::string where, std::string message);

/// \brief Runs \a attempt and converts its failure into a plain error value.
/// \returns true and leaves \a out untouched on success; false with \a out filled on failure.
template<typename Attempt>
[[nodiscard]] bool succeeded(Attempt &&attempt, error &out)
{
    return boost::leaf::try_handle_all(
            [&]() -> result<bool> {
                auto outcome = attempt();
                if (!outcome)
                    return outcome.error();
                return true;
            },
            [&](const error &failure) {
                out = failure;
                return false;
            },
            [&] {
                out = {error_kind::Internal, "unknown",
                       "an operation failed without a typed error; report it with the log"};
                return false;
            });
}

} // namespace yuccascale::kernel
