#include "fakes/load.hpp"

#include "fakes/answer_text.hpp"
#include "fakes/history.hpp"
#include "fakes/load_caller.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <mutex>
#include <thread>

namespace yuccascale::fakes {

using kernel::json;

namespace {

constexpr double medianShare = 0.5;
constexpr double p95Share = 0.95;

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + index);
    return values[static_cast<std::size_t>(index)];
}

/// Result counts in total and by organisation. Thread-safe.
class load_summary
{
public:
    void add(const load_plan &plan, const planned_request &request, const caller_result &result)
    {
        const std::scoped_lock guard(m_mutex);
        const bool completed = result.outcome == caller_outcome::Complete;
        const auto deadline = static_cast<double>(plan.deadlineMs);
        const bool inTime = completed && result.totalMs <= deadline
                && (request.service
                    || result.firstTokenMs <= static_cast<double>(plan.firstTokenMs));
        json &organisationCounts = m_organisations[plan.organisations[request.organisation].name];
        for (json *counts : {&m_total, &organisationCounts}) {
            count(*counts, "offered", true);
            for (int number = 0; number <= static_cast<int>(caller_outcome::Wrong); ++number) {
                const auto outcome = static_cast<caller_outcome>(number);
                count(*counts, std::string(outcomeName(outcome)), outcome == result.outcome);
            }
            count(*counts, "in_time", inTime);
            count(*counts, "resumed", result.resumes > 0);
        }
        if (!completed || request.service)
            return;
        m_firstTokens.push_back(result.firstTokenMs);
        m_gaps.insert(m_gaps.end(), result.gapsMs.begin(), result.gapsMs.end());
    }

    [[nodiscard]] json toJson() const
    {
        const std::scoped_lock guard(m_mutex);
        json out = m_total;
        out["first_token_p50_ms"] = quantile(m_firstTokens, medianShare);
        out["first_token_p95_ms"] = quantile(m_firstTokens, p95Share);
        out["inter_token_p50_ms"] = quantile(m_gaps, medianShare);
        out["inter_token_p95_ms"] = quantile(m_gaps, p95Share);
        out["organisations"] = m_organisations;
        return out;
    }

private:
    static void count(json &counts, const std::string &name, bool matches)
    {
        if (counts.is_null())
            counts = json::object();
        counts[name] = counts.value(name, 0) + (matches ? 1 : 0);
    }

    mutable std::mutex m_mutex;
    json m_total = json::object();
    json m_organisations = json::object();
    std::vector<double> m_firstTokens;
    std::vector<double> m_gaps;
};

json resultLine(const load_plan &plan, const planned_request &request, const caller_result &result)
{
    return {{"id", request.id},
            {"organisation", plan.organisations[request.organisation].name},
            {"service", request.service},
            {"outcome", outcomeName(result.outcome)},
            {"prompt_hash", promptHash(request.prompt)},
            {"prompt_tokens", promptTokens(request.prompt)},
            {"output_tokens", request.outputTokens},
            {"first_token_ms", result.firstTokenMs},
            {"whole_ms", result.totalMs},
            {"attempts", result.attempts},
            {"resumes", result.resumes},
            {"problem", result.lastProblem}};
}

} // namespace

int runLoad(const load_plan &plan, const std::string &resultsFile)
{
    const std::vector<planned_request> schedule = scheduleOf(plan);
    const history results(resultsFile);
    address_book addresses(plan.addresses, plan.seed);
    load_summary summary;
    std::atomic<std::size_t> next{0};
    const auto start = std::chrono::steady_clock::now();
    const auto runCaller = [&] {
        for (std::size_t index = next++; index < schedule.size(); index = next++) {
            const planned_request &request = schedule[index];
            const std::chrono::duration<double> dueAt(request.atSeconds);
            std::this_thread::sleep_until(
                    start + std::chrono::duration_cast<std::chrono::nanoseconds>(dueAt));
            const caller_result result = load_caller(plan, request, addresses).run();
            summary.add(plan, request, result);
            results.record("load", "result", resultLine(plan, request, result));
        }
    };
    std::vector<std::thread> callers;
    callers.reserve(static_cast<std::size_t>(plan.callers));
    for (int number = 0; number < plan.callers; ++number)
        callers.emplace_back(runCaller);
    for (std::thread &caller : callers)
        caller.join();
    const json counts = summary.toJson();
    std::cout << counts.dump() << "\n";
    return counts.value("wrong", 0) == 0 ? 0 : 1;
}

} // namespace yuccascale::fakes
