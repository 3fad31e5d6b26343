#include "fleet_run.hpp"
#include "report.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <thread>

/// \file
/// \brief Measures the strategies in the fixed scenarios.
///
/// Usage: yuccascale-measure FOLDER writes the report; `yuccascale-measure CASE` prints one
/// scenario; `yuccascale-measure CASE ROUTING ADMISSION FAIRNESS ROLES PLACEMENT PREFILL_ENGINES`
/// prints a trial of one strategy set.

namespace {

using namespace yuccascale::measure;

constexpr std::array<std::uint64_t, 5> seeds{11, 12, 13, 14, 15};
constexpr unsigned threadCount = 3;
constexpr int trialArgumentCount = 8;

struct task
{
    const load_scenario *scenario;
    const strategy_set *strategies;
    std::uint64_t seed;
    figures *mean;
};

void runAll(const std::vector<task> &tasks)
{
    std::atomic<std::size_t> next{0};
    std::vector<figures> results(tasks.size());
    const auto runTasks = [&] {
        for (std::size_t at = next++; at < tasks.size(); at = next++)
            results[at]
                    = fleet_run(*tasks[at].scenario, *tasks[at].strategies, tasks[at].seed).run();
    };
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < threadCount; ++index)
        threads.emplace_back(runTasks);
    for (std::thread &thread : threads)
        thread.join();
    for (std::size_t at = 0; at < tasks.size(); ++at) {
        results[at].scale(1.0 / static_cast<double>(seeds.size()));
        tasks[at].mean->add(results[at]);
    }
}

std::vector<case_result> measureAll(const std::vector<load_scenario> &scenarios)
{
    std::vector<case_result> results;
    results.reserve(scenarios.size());
    for (const load_scenario &scenario : scenarios)
        results.push_back({&scenario, std::vector<figures>(scenario.strategies.size())});
    std::vector<task> tasks;
    for (case_result &result : results) {
        for (std::size_t setIndex = 0; setIndex < result.means.size(); ++setIndex) {
            for (const std::uint64_t seed : seeds)
                tasks.push_back({result.scenario, &result.scenario->strategies[setIndex], seed,
                                 &result.means[setIndex]});
        }
    }
    runAll(tasks);
    return results;
}

} // namespace

int main(int count, char **arguments)
{
    const std::string target = count > 1 ? arguments[1] : "docs/measurements";
    std::vector<load_scenario> scenarios = allScenarios();
    const bool isCase = std::ranges::any_of(scenarios, [&target](const load_scenario &scenario) {
        return scenario.name == target;
    });
    if (isCase)
        std::erase_if(scenarios,
                      [&target](const load_scenario &scenario) { return scenario.name != target; });
    if (isCase && count == trialArgumentCount)
        scenarios.front().strategies
                = {{"trial", arguments[2], arguments[3], arguments[4], arguments[5],
                    scenarios.front().placement ? arguments[6] : "", std::atoi(arguments[7])}};
    const std::vector<case_result> results = measureAll(scenarios);
    for (const case_result &result : results)
        std::printf("\n%s\n\n%s", result.scenario->title.c_str(), tableOf(result).c_str());
    if (!isCase)
        writeReport(target, results);
    return 0;
}
