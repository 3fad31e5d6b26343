#pragma once

#include "processes/test_time.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief Judges from outside whether acknowledged edits are in force in time.

namespace yuccascale::processes {

/// \brief The promises that are judged.
struct edit_bounds
{
    milliseconds propagation{2'000}; ///< from an acknowledgement until it is in force everywhere
    milliseconds contact{3'000};     ///< after a fault until the promises bind again
    milliseconds drain{3'000};       ///< from an acknowledged drain to the last new request
    milliseconds recovery{12'000};   ///< from the restart of all to the first answer
};

/// \brief Collects what the operator, callers and endpoints saw. Thread-safe.
class edit_judge
{
public:
    explicit edit_judge(edit_bounds bounds)
        : m_bounds(bounds)
    { }

    /// \brief A fault began or ended; the promises bind again once nothing has happened for the
    /// contact time.
    void disturbed(test_time at);

    /// \brief A key was acknowledged.
    void keyAcknowledged(const std::string &key, test_time at);

    /// \returns the newest key that every entry has to know at \a now, if the promises bind then.
    [[nodiscard]] std::optional<std::string> keyInForce(test_time now) const;

    /// \brief An entry answered a request with a key that it has to know.
    /// \param sentAt when keyInForce() returned the key
    void answered(const std::string &entry, int status, test_time sentAt);

    /// \brief Requests arrived at an endpoint although its drain was acknowledged at \a drainedAt.
    void reachedDraining(const std::string &endpoint, test_time drainedAt, test_time at);

    /// \brief The time from the restart of all nodes to an entry's first answer.
    void recovered(const std::string &entry, milliseconds took);

    /// \returns the broken promises; empty if all were kept.
    [[nodiscard]] std::vector<std::string> violations() const;

    /// \returns how many answers were judged, and how many of them were held or refused as not
    /// ready.
    [[nodiscard]] std::pair<int, int> judged() const;

private:
    [[nodiscard]] bool binds(test_time at) const;

    edit_bounds m_bounds;
    mutable std::mutex m_mutex;
    test_time m_disturbedAt{};
    std::vector<std::pair<test_time, std::string>> m_keys;
    std::vector<std::string> m_violations;
    int m_judged = 0;
    int m_notReady = 0;
};

} // namespace yuccascale::processes
