#include "fakes/state_commands.hpp"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>

/// \file
/// \brief Measures the state machine: commands per second and bytes of memory per item.

namespace {

using namespace yuccascale;
using namespace yuccascale::fakes;
using clock_type = std::chrono::steady_clock;

constexpr int repeats = 20;

std::size_t heapBytes()
{
    return ::mallinfo2().uordblks;
}

double seconds(clock_type::duration length)
{
    return std::chrono::duration<double>(length).count();
}

/// Prints the median and the lowest of the command rates.
void printRate(const char *label, std::vector<double> rates)
{
    std::ranges::sort(rates);
    std::printf("%-34s median %9.0f /s   slowest of 20 %9.0f /s\n", label, rates[rates.size() / 2],
                rates.front());
}

/// Applies \a batch items per repeat with \a applyItem and prints the rates.
void measureRate(const char *label, applied_log &log, int batch,
                 const std::function<void(applied_log &, int)> &applyItem)
{
    std::vector<double> rates;
    int number = 0;
    for (int repeat = 0; repeat < repeats; ++repeat) {
        const auto begin = clock_type::now();
        for (int item = 0; item < batch; ++item)
            applyItem(log, number++);
        rates.push_back(batch / seconds(clock_type::now() - begin));
    }
    printRate(label, rates);
}

void measureBytes(const char *label, applied_log &log, int items,
                  const std::function<void(applied_log &, int)> &applyItem)
{
    const std::size_t bytesBefore = heapBytes();
    for (int number = 0; number < items; ++number)
        applyItem(log, number);
    std::printf("%-34s %7.0f bytes each (%d)\n", label,
                static_cast<double>(heapBytes() - bytesBefore) / items, items);
}

void claimAndSettle(applied_log &log, int number)
{
    const std::string id = "op-" + std::to_string(number);
    const claim_request claim = makeClaim("0f8fad5b-d9cb-469f-" + std::to_string(number), "a#1");
    (void)log.apply(claim, id);
    (void)log.apply(makeSettlement(claim, id, claim_outcome::Answered, std::string(200, 'x')));
}

void recordBatch(applied_log &log, int number)
{
    record_usage batch{"entry" + std::to_string(number % 350) + "#1",
                       static_cast<std::uint64_t>(number / 350 + 1),
                       firstWindowMs,
                       {}};
    for (int line = 0; line < 8; ++line) {
        batch.lines.push_back({"org" + std::to_string((number * 8 + line) % 2'300), "briefing",
                               firstWindowMs, 1, 900, 300, 450});
    }
    (void)log.apply(batch);
}

void openAndSettleOrder(applied_log &log, int number)
{
    const open_order order{"e" + std::to_string(number % 3'300),
                           order_kind::ChangeRole,
                           "decode",
                           1,
                           "decode backlog 1.8 engines over prefill 0.4",
                           {}};
    const auto id = log.apply(order, "fleet-1-" + std::to_string(number)).index;
    (void)log.apply(settle_order{id, order_outcome::Done, {}, firstWindowMs, {}});
}

edit_tables largeEdit()
{
    edit_tables edit;
    for (int number = 0; number < 2'300; ++number) {
        const std::string name = "org" + std::to_string(number);
        edit.putOrganisations.push_back({name, 1.0});
        std::string digest = std::to_string(number);
        digest.insert(0, 64 - digest.size(), '0');
        edit.putKeys.push_back({"key-" + name, name, digest});
    }
    for (int number = 0; number < 23; ++number) {
        pool row = makePool("pool" + std::to_string(number), {});
        for (int listed = number; listed < 3'300; listed += 23)
            row.endpoints.push_back(makeEndpoint("e" + std::to_string(listed)));
        edit.putRoutes.push_back(makeRoute("route" + std::to_string(number), row.name));
        edit.putPools.push_back(std::move(row));
    }
    edit.wallMs = firstWindowMs;
    return edit;
}

void editOrganisation(applied_log &log, int number)
{
    edit_tables edit;
    edit.fromRevision = log.state().tables()->revision;
    edit.putOrganisations = {{"org" + std::to_string(number % 2'300), 1.0 + number % 7}};
    (void)log.apply(edit, "operator-1-" + std::to_string(number));
}

void measureSnapshot(applied_log &log)
{
    std::vector<double> writes;
    std::vector<double> reads;
    std::size_t bytes = 0;
    for (int repeat = 0; repeat < repeats; ++repeat) {
        const auto begin = clock_type::now();
        const std::string snapshot = log.state().snapshot();
        const auto written = clock_type::now();
        machine restored;
        kernel::error problem;
        (void)kernel::succeeded([&] { return restored.restore(snapshot); }, problem);
        reads.push_back(seconds(clock_type::now() - written) * 1e3);
        writes.push_back(seconds(written - begin) * 1e3);
        bytes = snapshot.size();
    }
    std::ranges::sort(writes);
    std::ranges::sort(reads);
    std::printf("snapshot %zu bytes: written in %.0f ms (slowest %.0f), restored in %.0f ms"
                " (slowest %.0f)\n",
                bytes, writes[repeats / 2], writes.back(), reads[repeats / 2], reads.back());
}

} // namespace

int main()
{
    applied_log log;
    const std::size_t bytesBefore = heapBytes();
    (void)log.apply(largeEdit(), "first");
    std::printf("tables of 2,300 organisations with keys and 3,300 endpoints: %zu bytes\n",
                heapBytes() - bytesBefore);
    measureBytes("claim with a 200-byte answer", log, 40'000, claimAndSettle);
    measureBytes("usage batch of 8 lines, 1 window", log, 20'000, recordBatch);
    measureBytes("settled order", log, 5'000, openAndSettleOrder);
    measureBytes("operation id of an edit", log, 3'000, editOrganisation);
    measureSnapshot(log);

    applied_log rates;
    (void)rates.apply(largeEdit(), "first");
    measureRate("claim and its settlement (2)", rates, 5'000, claimAndSettle);
    measureRate("usage batch of 8 lines (1)", rates, 5'000, recordBatch);
    measureRate("order and its outcome (2)", rates, 100, openAndSettleOrder);
    measureRate("edit at full size (1)", rates, 100, editOrganisation);
    return 0;
}
