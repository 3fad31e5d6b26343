#include "yuccascale/kernel/orders/work_book.hpp"
#include "yuccascale/kernel/policy/demand_capacity.hpp"
#include "yuccascale/wire/demand_codec.hpp"

#include <chrono>
#include <iostream>
#include <string>

/// \file
/// \brief Measures what capacity that follows demand costs: the bytes of an entry's report, and the
///        leader's time for the reports of a second and for a decision.
/// Usage: capacity-bench

namespace yuccascale {

namespace {

using namespace kernel;
using std::chrono::steady_clock;

constexpr instant start{seconds(100)};

requests::demand_report reportOfASecond()
{
    requests::demand_report report;
    report.pool = "engines";
    report.prefillTokensPerSecond = 4'000;
    report.work.emplace();
    report.work->interval = seconds(1);
    report.work->spans.assign(5, {1'000, 100, 0.5, 0.05});
    report.work->prefillTokensPerSecond = 50'000;
    report.work->counts = {20, 0, 20, 0, 0, 2};
    return report;
}

std::vector<feed::listed_endpoint> fleet(int inZone)
{
    std::vector<feed::listed_endpoint> out;
    for (const char *zone : {"a", "b", "c"}) {
        for (int number = 0; number < inZone; ++number) {
            feed::listed_endpoint one;
            one.pool = "engines";
            one.row.zone = zone;
            one.row.tenure = number % 2 == 0 ? state::endpoint_tenure::Steady
                                             : state::endpoint_tenure::Cheap;
            out.push_back(one);
        }
    }
    return out;
}

double microseconds(steady_clock::duration time, int runs)
{
    return std::chrono::duration<double, std::micro>(time).count() / runs;
}

void benchLeader(int entries, int inZone)
{
    constexpr int runs = 60; // seconds
    const requests::demand_report report = reportOfASecond();
    state::table_set tables;
    tables.pools["engines"].scaling = {{1, inZone, 0.22, {{"a", 0.85}, {"b", 1.0}, {"c", 1.2}}}};
    const auto listed = fleet(inZone);
    orders::work_book book;
    policy::demand_capacity capacity;
    steady_clock::duration updating{};
    steady_clock::duration deciding{};
    for (int second = 0; second < runs; ++second) {
        const instant now = start + seconds(second);
        const auto begin = steady_clock::now();
        for (int entry = 0; entry < entries; ++entry)
            book.update(now, "entry-" + std::to_string(entry), std::span(&report, 1));
        const auto updated = steady_clock::now();
        static_cast<void>(capacity.decide(now, tables, listed, [&](const std::string &pool) {
            return book.work(now, pool, entries);
        }));
        updating += updated - begin;
        deciding += steady_clock::now() - updated;
    }
    std::cout << entries << " entries, " << listed.size() << " endpoints: reports of a second "
              << microseconds(updating, runs) << " us, a decision " << microseconds(deciding, runs)
              << " us\n";
}

} // namespace

} // namespace yuccascale

int main()
{
    using namespace yuccascale;
    namespace requests = kernel::requests;
    requests::demand_report report = reportOfASecond();
    const std::size_t withWork = wire::encodeDemands(std::span(&report, 1)).size();
    report.work.reset();
    std::cout << "a report of one pool: " << withWork << " bytes, without work "
              << wire::encodeDemands(std::span(&report, 1)).size() << " bytes\n";
    benchLeader(80, 38);
    benchLeader(343, 200);
}
