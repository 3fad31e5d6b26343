#pragma once

#include "processes/test_time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Judges by effect which version of the operator's document a request was handled by.

namespace yuccascale::processes {

/// \brief A document that an operator sent; the highest version takes effect.
struct sent_document
{
    std::uint64_t version = 0;
    test_time sentAt{};
    std::optional<test_time> acknowledgedAt;     ///< the first acknowledgement of any node
    std::map<std::string, std::string> services; ///< by route
    std::set<std::string> keys;
};

/// \brief What became of a request on one route with one key.
struct handled_request
{
    std::string id;
    std::size_t entry = 0;
    int process = 0; ///< counts the starts of the entry
    test_time sentAt{};
    test_time seenAt{}; ///< when a service ran it, or its refusal arrived
    std::string route;
    std::string key;
    std::string handling; ///< name of the service that ran it, or "401", "403" or "404"
};

/// \brief The promises that are judged.
struct version_bounds
{
    milliseconds propagation{2'000}; ///< from an acknowledgement until it is in force everywhere
    milliseconds rollback{250}; ///< after an entry showed a version until it shows none before it
    milliseconds revocation{5'000}; ///< from the acknowledgement of a withdrawn key, always
};

/// \brief A request that was handled as no version says that was allowed for it.
struct version_violation
{
    handled_request request;
    std::uint64_t required = 0; ///< the least version that had to be obeyed
    std::uint64_t shown = 0;    ///< the newest version that explains it; 0: none does
    milliseconds late{};        ///< beyond the promise
    bool inTouch = true;        ///< by the users' rule; false: the faults of the test excuse it
};

/// \returns \a violation in one line, for a failure's message.
[[nodiscard]] std::string describe(const version_violation &violation, test_time start);

/// \brief All that was found.
struct version_findings
{
    std::vector<version_violation> late;        ///< an older version than one long in force
    std::vector<version_violation> regressed;   ///< an older version than the entry showed
    std::vector<version_violation> revoked;     ///< ran with a key withdrawn long ago
    std::vector<version_violation> unexplained; ///< no version that was sent says so
};

/// \brief Compares requests with the documents that may have decided them.
class version_judge
{
public:
    /// Arguments: entry, time of the acknowledgement, time of the request. Returns how long the
    /// promise is extended, nothing when it doesn't bind.
    using allowance = std::function<std::optional<milliseconds>(std::size_t, test_time, test_time)>;

    /// \param documents by increasing version
    version_judge(std::vector<sent_document> documents, version_bounds bounds, allowance allowed);

    /// \returns what broke a promise; each request is listed once under each heading.
    [[nodiscard]] version_findings judge(std::vector<handled_request> requests) const;

private:
    struct acknowledgement
    {
        test_time at{};
        std::uint64_t version = 0;
    };

    [[nodiscard]] const sent_document *newestAcknowledged(test_time before) const;
    [[nodiscard]] const sent_document *newestExplaining(const handled_request &request) const;
    [[nodiscard]] std::uint64_t oldestExplaining(const handled_request &request,
                                                 std::uint64_t from) const;
    void judgeLate(const handled_request &request, version_findings &out) const;
    void judgeRevoked(const handled_request &request, version_findings &out) const;
    void judgeRegressed(const std::vector<handled_request> &requests, version_findings &out) const;
    [[nodiscard]] bool bindsInTouch(const handled_request &request, std::uint64_t shown) const;

    std::vector<sent_document> m_documents;
    std::vector<acknowledgement> m_newest; ///< by time; the highest version acknowledged by then
    version_bounds m_bounds;
    allowance m_allowed;
};

} // namespace yuccascale::processes
