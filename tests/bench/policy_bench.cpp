#include "fakes/policy_fleet.hpp"
#include "yuccascale/kernel/policy/prefix_index.hpp"

#include <malloc.h>

#include <cstdio>

/// \file
/// \brief Measures how the policy's time per decision and memory per item grow, for
///        docs/CAPACITY.md.

namespace {

using namespace yuccascale::fakes;
using clock_type = std::chrono::steady_clock;

double nanosecondsSince(clock_type::time_point start)
{
    return std::chrono::duration<double, std::nano>(clock_type::now() - start).count();
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

void benchRouting(const char *name, int engines)
{
    constexpr int decisions = 2'000;
    const policy_fleet fleet(engines);
    auto router = makeStrategy<router_registry>(name, std::uint64_t{1});
    std::vector<endpoint_view> views;
    for (const engine_view &engine : fleet.views) {
        endpoint_view view;
        view.row = engine.row;
        view.report.running = static_cast<int>(views.size() % 12);
        views.push_back(view);
        router->observe(at(0),
                        {engine.row->name, 1'000, 0, 100, yuccascale::kernel::milliseconds(200),
                         yuccascale::kernel::seconds(2), 4, true});
    }
    routing_request request;
    request.promptTokens = 1'000;
    request.outputTokens = 200;
    request.entries = 8;
    std::size_t indexSum = 0;
    const auto start = clock_type::now();
    for (int decision = 0; decision < decisions; ++decision)
        indexSum += router->choose(at(0.3), request, views)->index;
    const double decisionNanoseconds = nanosecondsSince(start) / decisions;
    std::printf("| routing, %s | %d engines | %.0f ns | check %zu |\n", name, engines,
                decisionNanoseconds, indexSum % 10);
}

void benchFairQueue(int organisations, int waitingPerOrganisation)
{
    const std::size_t bytesBefore = heapBytes();
    auto queue = makeStrategy<fair_queue_registry>("fair_share");
    std::uint64_t ticket = 0;
    for (int round = 0; round < waitingPerOrganisation; ++round) {
        for (int index = 0; index < organisations; ++index)
            queue->push(
                    at(0),
                    waitingRequest(++ticket, "organisation-" + std::to_string(index), 100, at(0)));
    }
    const double bytes
            = static_cast<double>(heapBytes() - bytesBefore) / static_cast<double>(ticket);
    constexpr int cycles = 20'000;
    const auto start = clock_type::now();
    for (int cycle = 0; cycle < cycles; ++cycle)
        queue->push(at(1), *queue->pop(at(1)));
    std::printf("| fair queue, pop and push | %d organisations, %d waiting each | %.0f ns | %.0f "
                "bytes a waiting request |\n",
                organisations, waitingPerOrganisation, nanosecondsSince(start) / cycles, bytes);
}

void benchPrefixIndex(int engines, int prefixes)
{
    const std::size_t bytesBefore = heapBytes();
    prefix_index index;
    for (int engine = 0; engine < engines; ++engine) {
        for (int prefix = 1; prefix <= prefixes; ++prefix)
            index.apply(at(0), "engine-" + std::to_string(engine),
                        {static_cast<std::uint64_t>(prefix), static_cast<std::uint64_t>(prefix),
                         1'000, true});
    }
    const double bytes
            = static_cast<double>(heapBytes() - bytesBefore) / static_cast<double>(index.size());
    std::printf("| prefix index | %d engines, %d prefixes each | | %.0f bytes an entry |\n",
                engines, prefixes, bytes);
}

} // namespace

int main()
{
    using yuccascale::kernel::policy::endpoint_view;
    std::printf("| what | size | time | memory |\n|---|---|---|---|\n");
    for (const int engines : {18, 64, 330, 3'300})
        benchRouting("predicted_first_token", engines);
    benchRouting("predicted_full_scan", 3'300);
    for (const int organisations : {8, 80, 800, 2'300})
        benchFairQueue(organisations, 4);
    benchFairQueue(8, 1'000);
    benchPrefixIndex(18, 100);
    benchPrefixIndex(330, 100);
    std::printf("| endpoint view | | | %zu bytes |\n", sizeof(endpoint_view));
    return 0;
}
