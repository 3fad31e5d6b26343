#include "report.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <thread>

/// \file
/// \brief Measures the strategies under the fixed scripts.
///
/// Usage: yuccascale-measure FOLDER writes the report; `yuccascale-measure CASE` prints one case;
/// `yuccascale-measure CASE ROUTING ADMISSION FAIRNESS ROLES PLACEMENT PREFILL_ENGINES` prints a
/// trial of one strategy set.

namespace {

using namespace yuccascale::measure;

constexpr std::array<std::uint64_t, 5> seeds{11, 12, 13, 14, 15};
constexpr unsigned threadCount = 3;
constexpr int trialArguments = 8;

struct task
{
    const script *what;
    const strategy_set *strategies;
    std::uint64_t seed;
    figures *mean;
};

void runAll(const std::vector<task> &tasks)
{
    std::atomic<std::size_t> next{0};
    std::vector<figures> results(tasks.size());
    const auto work = [&] {
        for (std::size_t at = next++; at < tasks.size(); at = next++)
            results[at] = fleet_run(*tasks[at].what, *tasks[at].strategies, tasks[at].seed).run();
    };
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < threadCount; ++index)
        threads.emplace_back(work);
    for (std::thread &each : threads)
        each.join();
    for (std::size_t at = 0; at < tasks.size(); ++at) {
        results[at].scale(1.0 / static_cast<double>(seeds.size()));
        tasks[at].mean->add(results[at]);
    }
}

std::vector<case_result> measureAll(const std::vector<script> &scripts)
{
    std::vector<case_result> results;
    results.reserve(scripts.size());
    for (const script &each : scripts)
        results.push_back({&each, std::vector<figures>(each.strategies.size())});
    std::vector<task> tasks;
    for (case_result &result : results) {
        for (std::size_t which = 0; which < result.means.size(); ++which) {
            for (const std::uint64_t seed : seeds)
                tasks.push_back(
                        {result.what, &result.what->strategies[which], seed, &result.means[which]});
        }
    }
    runAll(tasks);
    return results;
}

} // namespace

int main(int count, char **arguments)
{
    const std::string target = count > 1 ? arguments[1] : "docs/measurements";
    std::vector<script> scripts = allScripts();
    const bool isCase = std::ranges::any_of(
            scripts, [&target](const script &each) { return each.name == target; });
    if (isCase)
        std::erase_if(scripts, [&target](const script &each) { return each.name != target; });
    if (isCase && count == trialArguments)
        scripts.front().strategies
                = {{"trial", arguments[2], arguments[3], arguments[4], arguments[5],
                    scripts.front().placement ? arguments[6] : "", std::atoi(arguments[7])}};
    const std::vector<case_result> results = measureAll(scripts);
    for (const case_result &result : results)
        std::printf("\n%s\n\n%s", result.what->title.c_str(), tableOf(result).c_str());
    if (!isCase)
        writeReport(target, results);
    return 0;
}
