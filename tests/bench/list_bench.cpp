#include "fakes/list_fleet.hpp"

#include <iomanip>
#include <iostream>

/// \file
/// \brief Measures the list of endpoints in fleets: calls to the platform, polls, bytes of a poll,
/// and the oldest list at an entry, with and without a bound. Usage: list_bench

namespace yuccascale {

namespace {

using fakes::list_faults;
using kernel::milliseconds;

constexpr double length = 30; ///< seconds

void print(const std::string &what, int control, int entries, bool changes,
           const std::function<list_faults(milliseconds)> &faults)
{
    for (const milliseconds notice : {milliseconds(0), milliseconds(3'000)}) {
        fakes::list_fleet fleet(control, entries, {milliseconds(600), milliseconds(500), notice});
        static_cast<void>(
                fleet.play(kernel::seconds(10), changes, [](auto) { return list_faults{}; }));
        const auto figures = fleet.play(kernel::seconds(30), changes, faults);
        const auto age = [](kernel::nanoseconds time) {
            return std::chrono::duration_cast<milliseconds>(time).count();
        };
        std::cout << what << (changes ? ", list changes at each read" : ", list unchanged") << ", "
                  << control << " control nodes, " << entries << " entries, bound "
                  << notice.count() << " ms: platform calls/s "
                  << static_cast<double>(figures.platformCalls) / length << ", polls/s "
                  << static_cast<double>(figures.polls) / length << ", bytes a poll "
                  << figures.bytes / figures.polls << ", oldest list "
                  << age(changes ? figures.oldest : figures.believed) << " ms, steps back "
                  << figures.stepsBack << '\n';
    }
}

void run()
{
    std::cout << std::fixed << std::setprecision(2);
    for (const auto &[control, entries] : {std::pair(3, 7), std::pair(9, 300)}) {
        print("calm", control, entries, false, [](auto) { return list_faults{}; });
        for (const bool changes : {false, true}) {
            print("three elections of 1.3 s", control, entries, changes, [](milliseconds since) {
                const auto number = since / milliseconds(4'000);
                const bool electing = since % milliseconds(4'000) < milliseconds(1'300);
                return number >= 3 ? list_faults{2}
                                   : list_faults{electing ? -1 : static_cast<int>(number)};
            });
            print("no leader", control, entries, changes, [](auto) { return list_faults{-1}; });
            print("the leader cannot read", control, entries, changes, [](auto) {
                return list_faults{0, {0}};
            });
            list_faults down;
            for (int node = 0; node < control; ++node)
                down.withoutPlatform.insert(node);
            print("platform down", control, entries, changes, [&](auto) { return down; });
        }
    }
}

} // namespace

} // namespace yuccascale

int main()
{
    yuccascale::run();
}
