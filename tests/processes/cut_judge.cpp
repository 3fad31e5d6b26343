#include "processes/cut_judge.hpp"

#include <algorithm>

namespace yuccascale::processes {

namespace {

constexpr int statusOk = 200;
constexpr int allowedFailures = 10;
constexpr int attemptsPerFurtherFailure = 50;

/// Whether the entry was stopping or had not run for long when the request was sent.
bool isDisturbed(const request_record &record, std::span<const node_stop> stops)
{
    return std::ranges::any_of(stops, [&](const node_stop &stop) {
        const bool over
                = stop.readyMs != 0 && record.startedMs > stop.readyMs + cutDetectionTime.count();
        return stop.node == record.node && record.answeredMs >= stop.signalledMs && !over;
    });
}

} // namespace

bool cut_findings::servedWorse() const noexcept
{
    const int failed = triedAtCut - servedAtCut;
    const bool manyFailed = failed > allowedFailures + triedAtCut / attemptsPerFurtherFailure;
    const bool seldomServed = 3L * servedAtCut * triedElsewhere < 2L * servedElsewhere * triedAtCut;
    return manyFailed && seldomServed;
}

std::string cut_findings::summary() const
{
    return "cut entries served " + std::to_string(servedAtCut) + " of " + std::to_string(triedAtCut)
            + ", the others " + std::to_string(servedElsewhere) + " of "
            + std::to_string(triedElsewhere);
}

cut_findings judgeCut(std::span<const request_record> records, const endpoint_cut &cut,
                      std::span<const node_stop> stops)
{
    cut_findings found;
    for (const request_record &record : records) {
        const bool during = record.startedMs >= cut.beganMs + cutDetectionTime.count()
                && record.startedMs < cut.endedMs;
        if (!during || isDisturbed(record, stops))
            continue;
        const int served = record.complete && record.status == statusOk ? 1 : 0;
        const bool atCut = cut.nodes.contains(record.node);
        ++(atCut ? found.triedAtCut : found.triedElsewhere);
        (atCut ? found.servedAtCut : found.servedElsewhere) += served;
    }
    return found;
}

} // namespace yuccascale::processes
