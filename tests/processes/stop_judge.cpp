#include "processes/stop_judge.hpp"

#include <algorithm>
#include <sstream>

namespace yuccascale::processes {

namespace {

using kernel::milliseconds;

/// A request that ends within this after its last byte may have crossed the entry's close.
constexpr milliseconds crossingTime{200};
/// Added to the grace period: a stop explains what ends until then.
constexpr milliseconds afterGrace{1'000};
constexpr int statusOk = 200;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

bool isRefusal(int status)
{
    return status == statusTooManyRequests || status == statusUnavailable;
}

class stop_judge
{
public:
    stop_judge(std::span<const request_record> records, std::span<const node_stop> stops,
               const endpoint_runs &runs, const stop_promises &promises)
        : m_stops(stops)
        , m_runs(runs)
        , m_promises(promises)
    {
        for (std::size_t kind = 0; kind < requestKindCount; ++kind)
            m_usualMs.at(kind) = usualTime(records, kind);
    }

    void judge(const request_record &record)
    {
        if (record.sentMs == 0)
            return;
        const endpoint_run run = runOf(record);
        if (run.runs > 1 || (record.kind == request_kind::Ticket && run.received - run.refused > 1))
            m_findings.ranTwice.push_back(describe(record));
        if (!record.complete)
            return judgeIncomplete(record, run);
        if (record.status == statusOk)
            ++m_findings.served;
        else if (isRefusal(record.status))
            judgeRefusal(record, run);
        else
            ++m_findings.failed;
    }

    [[nodiscard]] const stop_findings &findings() const noexcept { return m_findings; }

private:
    [[nodiscard]] static std::optional<std::int64_t>
    usualTime(std::span<const request_record> records, std::size_t kind)
    {
        std::vector<std::int64_t> times;
        for (const request_record &record : records) {
            if (static_cast<std::size_t>(record.kind) == kind && record.complete
                && record.status == statusOk)
                times.push_back(record.answeredMs - record.sentMs);
        }
        if (times.empty())
            return std::nullopt;
        const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
        std::ranges::nth_element(times, middle);
        return *middle;
    }

    [[nodiscard]] endpoint_run runOf(const request_record &record) const
    {
        const auto found = m_runs.find(record.id);
        return found == m_runs.end() ? endpoint_run{} : found->second;
    }

    void judgeIncomplete(const request_record &record, const endpoint_run &run)
    {
        // bytes that a process leaves unread make its system reset the connection
        const bool read = record.end != fakes::connection_end::Reset
                && record.answeredMs - record.sentMs > crossingTime.count();
        const bool accepted = run.received > 0 || read;
        if (accepted && !isExcused(record, run))
            m_findings.givenUp.push_back(describe(record) + stopText(record));
        else
            ++m_findings.excused;
    }

    [[nodiscard]] bool isExcused(const request_record &record, const endpoint_run &run) const
    {
        const milliseconds deadline
                = m_promises.deadlines.at(static_cast<std::size_t>(record.kind));
        if (record.answeredMs - record.sentMs >= deadline.count())
            return true;
        return std::ranges::any_of(m_stops, [&](const node_stop &stop) {
            return stop.node == record.node && outlastsGrace(record, run, stop);
        });
    }

    /// Whether a request, sent early in the grace period, was still being run near its end. A
    /// ticket may run once and must not be begun in a grace period that it outlasts.
    [[nodiscard]] bool outlastsGrace(const request_record &record, const endpoint_run &run,
                                     const node_stop &stop) const
    {
        const std::int64_t grace = m_promises.gracePeriod.count();
        const std::int64_t graceEnd = stop.signalledMs + grace;
        const bool isTicket = record.kind == request_kind::Ticket;
        const std::int64_t sentUntil
                = stop.signalledMs + (isTicket ? crossingTime.count() : grace * 3 / 8);
        const bool sentEarly = record.sentMs <= sentUntil;
        const bool endedAround = record.answeredMs >= stop.signalledMs
                && record.answeredMs <= graceEnd + afterGrace.count();
        const bool atWork
                = run.ran() && run.firstMs <= graceEnd && run.lastMs >= graceEnd - grace / 6;
        return sentEarly && endedAround && atWork;
    }

    void judgeRefusal(const request_record &record, const endpoint_run &run)
    {
        ++m_findings.refused;
        if (run.ran())
            m_findings.ranThoughRefused.push_back(describe(record) + stopText(record));
        const node_stop *stop = stopAt(record);
        if (stop == nullptr)
            return;
        ++m_findings.refusedByLeaving;
        const auto usual = m_usualMs.at(static_cast<std::size_t>(record.kind));
        const std::int64_t graceEnd = stop->signalledMs + m_promises.gracePeriod.count();
        if (usual && record.sentMs + *usual <= graceEnd)
            ++m_findings.refusedThoughInTime;
    }

    /// \returns the last stop of the request's entry in whose grace period it ended; null if none.
    [[nodiscard]] const node_stop *stopAt(const request_record &record) const
    {
        const node_stop *found = nullptr;
        for (const node_stop &stop : m_stops) {
            const std::int64_t over
                    = stop.signalledMs + (m_promises.gracePeriod + afterGrace).count();
            const bool during = record.answeredMs >= stop.signalledMs && record.answeredMs <= over;
            if (stop.node == record.node && during)
                found = &stop;
        }
        return found;
    }

    [[nodiscard]] std::string stopText(const request_record &record) const
    {
        const node_stop *stop = stopAt(record);
        if (stop == nullptr)
            return " (no stop)";
        return " (sent " + std::to_string(record.sentMs - stop->signalledMs) + " ms, ended "
                + std::to_string(record.answeredMs - stop->signalledMs) + " ms after SIGTERM)";
    }

    std::span<const node_stop> m_stops;
    const endpoint_runs &m_runs;
    const stop_promises &m_promises;
    std::array<std::optional<std::int64_t>, requestKindCount> m_usualMs; ///< median to an answer
    stop_findings m_findings;
};

} // namespace

std::string stop_findings::summary() const
{
    std::ostringstream text;
    text << "served " << served << ", given up " << givenUp.size() << ", refused " << refused
         << " (by leaving entries " << refusedByLeaving << ", of these in time "
         << refusedThoughInTime << "; run though refused " << ranThoughRefused.size()
         << "), failed " << failed << ", excused " << excused << ", run twice " << ranTwice.size();
    return text.str();
}

stop_findings judgeStops(std::span<const request_record> records, std::span<const node_stop> stops,
                         const endpoint_runs &runs, const stop_promises &promises)
{
    stop_judge judge(records, stops, runs, promises);
    for (const request_record &record : records)
        judge.judge(record);
    return judge.findings();
}

} // namespace yuccascale::processes
