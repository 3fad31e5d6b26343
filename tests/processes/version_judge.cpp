#include "processes/version_judge.hpp"

#include <algorithm>
#include <queue>
#include <sstream>

namespace yuccascale::processes {

namespace {

const std::string notFound = "404";
const std::string unauthorized = "401";

/// \returns how \a document lets a request be handled; routes are looked at before keys.
const std::string &handlingOf(const sent_document &document, const handled_request &request)
{
    const auto route = document.services.find(request.route);
    if (route == document.services.end())
        return notFound;
    return document.keys.contains(request.key) ? route->second : unauthorized;
}

bool explains(const sent_document &document, const handled_request &request)
{
    return document.sentAt <= request.seenAt && handlingOf(document, request) == request.handling;
}

bool isRun(const handled_request &request)
{
    return !request.handling.starts_with("40");
}

milliseconds wholeMs(test_clock::duration time)
{
    return std::chrono::duration_cast<milliseconds>(time);
}

/// A version that an entry has shown by a time.
struct shown_version
{
    test_time at{};
    std::uint64_t version = 0;

    bool operator>(const shown_version &other) const noexcept { return at > other.at; }
};

} // namespace

std::string describe(const version_violation &violation, test_time start)
{
    const handled_request &request = violation.request;
    std::ostringstream text;
    text << request.id << " at entry " << request.entry << ", sent " << inMs(request.sentAt - start)
         << ", seen " << inMs(request.seenAt - start) << ": " << request.route << " with "
         << request.key << " handled as " << request.handling << ", allowed by version "
         << violation.shown << " at most; version " << violation.required << " bound "
         << inMs(violation.late) << " before" << (violation.inTouch ? "" : " (not in touch)");
    return text.str();
}

version_judge::version_judge(std::vector<sent_document> documents, version_bounds bounds,
                             allowance allowed)
    : m_documents(std::move(documents))
    , m_bounds(bounds)
    , m_allowed(std::move(allowed))
{
    for (const sent_document &document : m_documents) {
        if (document.acknowledgedAt)
            m_newest.push_back({*document.acknowledgedAt, document.version});
    }
    std::ranges::stable_sort(m_newest, {}, &acknowledgement::at);
    std::uint64_t newest = 0;
    for (acknowledgement &one : m_newest)
        newest = one.version = std::max(newest, one.version);
}

const sent_document *version_judge::newestAcknowledged(test_time before) const
{
    const auto next = std::ranges::upper_bound(m_newest, before, {}, &acknowledgement::at);
    if (next == m_newest.begin())
        return nullptr;
    const std::uint64_t version = std::prev(next)->version;
    return &*std::ranges::lower_bound(m_documents, version, {}, &sent_document::version);
}

const sent_document *version_judge::newestExplaining(const handled_request &request) const
{
    const auto found
            = std::find_if(m_documents.rbegin(), m_documents.rend(),
                           [&](const sent_document &one) { return explains(one, request); });
    return found == m_documents.rend() ? nullptr : &*found;
}

std::uint64_t version_judge::oldestExplaining(const handled_request &request,
                                              std::uint64_t from) const
{
    auto document = std::ranges::lower_bound(m_documents, from, {}, &sent_document::version);
    while (document != m_documents.end() && !explains(*document, request))
        ++document;
    return document == m_documents.end() ? 0 : document->version;
}

/// \returns whether a version newer than \a shown had to be obeyed by the users' rule.
bool version_judge::bindsInTouch(const handled_request &request, std::uint64_t shown) const
{
    return std::ranges::any_of(m_documents, [&](const sent_document &document) {
        if (document.version <= shown || !document.acknowledgedAt)
            return false;
        const test_time due = *document.acknowledgedAt + m_bounds.propagation;
        if (due > request.sentAt)
            return false;
        const auto extended = m_allowed(request.entry, *document.acknowledgedAt, request.sentAt);
        return extended && due + *extended <= request.sentAt;
    });
}

void version_judge::judgeLate(const handled_request &request, version_findings &out) const
{
    const sent_document *shown = newestExplaining(request);
    const std::uint64_t version = shown == nullptr ? 0 : shown->version;
    if (shown == nullptr)
        out.unexplained.push_back({request, 0, 0, milliseconds(0), true});
    const sent_document *required = newestAcknowledged(request.sentAt - m_bounds.propagation);
    if (required == nullptr || shown == nullptr || version >= required->version)
        return;
    const auto first = std::ranges::find_if(
            m_newest, [&](const acknowledgement &one) { return one.version > version; });
    const milliseconds late = wholeMs(request.sentAt - first->at - m_bounds.propagation);
    out.late.push_back({request, first->version, version, late, bindsInTouch(request, version)});
}

void version_judge::judgeRevoked(const handled_request &request, version_findings &out) const
{
    const sent_document *required = newestAcknowledged(request.sentAt - m_bounds.revocation);
    const bool keyMayBeKnown = required == nullptr
            || std::ranges::any_of(m_documents, [&](const sent_document &document) {
                                   return document.version >= required->version
                                           && document.sentAt <= request.seenAt
                                           && document.keys.contains(request.key);
                               });
    if (isRun(request) && !keyMayBeKnown)
        out.revoked.push_back({request, required->version, 0, milliseconds(0), true});
}

/// The requests of one process of one entry, by the time when they were sent.
void version_judge::judgeRegressed(const std::vector<handled_request> &requests,
                                   version_findings &out) const
{
    std::priority_queue<shown_version, std::vector<shown_version>, std::greater<>> pending;
    shown_version newest;
    for (const handled_request &request : requests) {
        while (!pending.empty() && pending.top().at + m_bounds.rollback < request.sentAt) {
            if (pending.top().version > newest.version)
                newest = pending.top();
            pending.pop();
        }
        const sent_document *shown = newestExplaining(request);
        if (shown == nullptr)
            continue;
        if (shown->version < newest.version) {
            out.regressed.push_back({request, newest.version, shown->version,
                                     wholeMs(request.sentAt - newest.at - m_bounds.rollback),
                                     true});
            continue;
        }
        pending.push({request.seenAt, oldestExplaining(request, newest.version)});
    }
}

version_findings version_judge::judge(std::vector<handled_request> requests) const
{
    version_findings out;
    std::ranges::stable_sort(requests, {}, &handled_request::sentAt);
    std::map<std::pair<std::size_t, int>, std::vector<handled_request>> byProcess;
    for (const handled_request &request : requests) {
        judgeLate(request, out);
        judgeRevoked(request, out);
        byProcess[{request.entry, request.process}].push_back(request);
    }
    for (const auto &[process, its] : byProcess)
        judgeRegressed(its, out);
    return out;
}

} // namespace yuccascale::processes
