#include "report.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>

namespace yuccascale::measure {

namespace {

constexpr const char *tableHeader
        = "| strategies | in time | refused | late | lost | worst share | its p95 wait s | role "
          "changes | cost | cost per 1000 | on cheap | first token p95 s | between tokens p95 ms | "
          "broken |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
constexpr double plotWidth = 720;
constexpr double plotHeight = 300;
constexpr double margin = 40;
constexpr std::array<const char *, 9> colours{"#c0392b", "#7f8c8d", "#2980b9", "#27ae60", "#8e44ad",
                                              "#d35400", "#e377c2", "#16a085", "#2c3e50"};

template<typename... Values>
std::string format(const char *pattern, Values... values)
{
    std::array<char, 512> text{};
    std::snprintf(text.data(), text.size(), pattern, values...);
    return text.data();
}

/// Weights of the figures for a deployment; they add up to one.
struct deployment
{
    const char *name;
    std::size_t strategySet; ///< index of its default settings among a scenario's strategy sets
    double goodput;
    double worstShare;
    double roleChanges;
    double cost;
    double onCheap;
};

constexpr std::array<deployment, 2> deployments{
        {{"Swanfield", 0, 0.2, 0.5, 0.1, 0.1, 0.1}, {"Mehta", 1, 0.5, 0.2, 0.1, 0.1, 0.1}}};
constexpr double maxScoredRoleChanges = 20; ///< from here the role-change score is 0

/// \returns the weighted score between 0 and 1; 1 is the best possible.
double scoreOf(const deployment &weights, const figures &mean, double leastCost)
{
    const double cost = mean.inTime > 0 ? leastCost / mean.costPerAnswer() : 0;
    return weights.goodput * mean.inTimeShare()
            + weights.worstShare * std::min(mean.worstShare, 1.0)
            + weights.roleChanges * std::max(1 - mean.roleChanges / maxScoredRoleChanges, 0.0)
            + weights.cost * cost + weights.onCheap * mean.cheapShare;
}

std::string rowOf(const std::string &label, const figures &mean)
{
    const double offered = std::max(mean.offered, 1.0);
    std::string row = format("| %s | %.1f%% | %.1f%% | %.1f%% | %.2f%% ", label.c_str(),
                             100 * mean.inTimeShare(), 100 * mean.refused / offered,
                             100 * mean.late / offered, 100 * mean.lost / offered);
    row += format("| %.1f%% | %.2f | %.1f | %.3f | %.3f | %.1f%% ", 100 * mean.worstShare,
                  mean.worstWait, mean.roleChanges, mean.cost, 1'000 * mean.costPerAnswer(),
                  100 * mean.cheapShare);
    row += format("| %.2f | %.1f | %.0f |\n", mean.firstToken, mean.tokenGap,
                  mean.nonIdempotentOnCheap);
    return row;
}

} // namespace

std::string tableOf(const case_result &result)
{
    std::string table = tableHeader;
    for (std::size_t at = 0; at < result.means.size(); ++at)
        table += rowOf(result.scenario->strategies[at].label, result.means[at]);
    return table;
}

std::string plotOf(const case_result &result)
{
    double maxGoodput = 1;
    for (const figures &mean : result.means) {
        for (const double value : mean.goodput)
            maxGoodput = std::max(maxGoodput, value);
    }
    std::string svg = format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
                             "height=\"%.0f\" font-family=\"sans-serif\" font-size=\"11\">\n",
                             plotWidth + 200, plotHeight);
    svg += format("<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/><text x=\"%.0f\" "
                  "y=\"16\">%s: answers in time per second</text>\n",
                  margin, result.scenario->title.c_str());
    const double bottom = plotHeight - margin;
    svg += format("<path d=\"M%.0f 30V%.0fH%.0f\" fill=\"none\" stroke=\"black\"/><text x=\"4\" "
                  "y=\"36\">%.0f</text><text x=\"4\" y=\"%.0f\">0</text>\n",
                  margin, bottom, plotWidth, maxGoodput, bottom);
    svg += format("<text x=\"%.0f\" y=\"%.0f\">%.0f s</text>\n", plotWidth - 30, bottom + 16,
                  result.scenario->duration);
    for (std::size_t setIndex = 0; setIndex < result.means.size(); ++setIndex) {
        const std::vector<double> &values = result.means[setIndex].goodput;
        const auto stepCount
                = static_cast<std::size_t>(result.scenario->duration / plotStepSeconds);
        std::string points;
        for (std::size_t at = 0; at < std::min(values.size(), stepCount); ++at) {
            const double fraction = static_cast<double>(at) / static_cast<double>(stepCount);
            points += format("%.1f,%.1f ", margin + fraction * (plotWidth - margin),
                             bottom - values[at] / maxGoodput * (bottom - 30));
        }
        svg += format("<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"%s\" points=\"",
                      colours[setIndex % colours.size()], setIndex == 0 ? "2.5" : "1.2")
                + points + "\"/>\n";
        svg += format("<text x=\"%.0f\" y=\"%.0f\" fill=\"%s\">%s</text>\n", plotWidth + 8,
                      40 + 16.0 * static_cast<double>(setIndex), colours[setIndex % colours.size()],
                      result.scenario->strategies[setIndex].label.c_str());
    }
    return svg + "</svg>\n";
}

std::string deploymentLines(const std::vector<case_result> &results)
{
    std::string lines = "| deployment | case | yuccascale | best baseline |\n|---|---|---|---|\n";
    for (const deployment &weights : deployments) {
        for (const case_result &result : results) {
            double leastCost = result.means.front().costPerAnswer();
            for (const figures &mean : result.means)
                leastCost = std::min(leastCost, mean.costPerAnswer());
            double best = 0;
            std::string label;
            for (std::size_t at = 0; at < result.means.size(); ++at) {
                const strategy_set &strategySet = result.scenario->strategies[at];
                const double score = scoreOf(weights, result.means[at], leastCost);
                if (strategySet.isBaseline() && score > best) {
                    best = score;
                    label = strategySet.label;
                }
            }
            lines += format("| %s | %s | %.3f | %.3f (%s) |\n", weights.name,
                            result.scenario->name.c_str(),
                            scoreOf(weights, result.means[weights.strategySet], leastCost), best,
                            label.c_str());
        }
    }
    return lines;
}

void writeReport(const std::string &folder, const std::vector<case_result> &results)
{
    std::ofstream page(folder + "/policy.md");
    page << "# The strategies under load\n\nWritten by `tools/measure`: means of five fixed seeds "
            "a "
            "case, eight entries, 18 stand-in engines\n(cases with placement start with 11), the "
            "real strategies under the test clock. In time: answered in full by the\ndeadline of "
            "12 s, as a "
            "share of all offered; refused requests are not retried. Worst share: of its\nmax-min "
            "fair share of what was served. Cost: steady endpoints 1.0 an hour, cheap ones 0.3. "
            "Broken:\nnon-idempotent requests sent to a cheap endpoint.\n";
    for (const case_result &result : results) {
        page << "\n## " << result.scenario->title << "\n\n"
             << tableOf(result) << "\n![" << result.scenario->name << "](" << result.scenario->name
             << ".svg)\n";
        std::ofstream(folder + "/" + result.scenario->name + ".svg") << plotOf(result);
    }
    page << "\n## By deployment\n\nSwanfield weighs the worst share 0.5 and goodput 0.2; Mehta "
            "goodput 0.5 and the worst share 0.2;\nboth give 0.1 each to few role changes, cost "
            "and work on cheap endpoints. 1 is the best possible.\nEach with its "
            "own default settings.\n\n"
         << deploymentLines(results);
}

} // namespace yuccascale::measure
