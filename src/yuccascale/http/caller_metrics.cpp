#include "yuccascale/http/caller_metrics.hpp"

#include <algorithm>
#include <array>
#include <sstream>
#include <string_view>

namespace yuccascale::http {

using kernel::requests::learnt_endpoint;

void setLoopGauges(caller_services &services)
{
    kernel::nanoseconds lag{};
    std::uint64_t refused = 0;
    for (const auto &loop : services.loops) {
        refused += loop->overload.refused();
        lag = std::max(lag, loop->overload.takeLongestLag());
    }
    const auto lagMs = std::chrono::duration_cast<kernel::milliseconds>(lag);
    const auto set = [&services](const char *name, auto value) {
        services.metrics.setGauge(name, static_cast<double>(value));
    };
    set("yuccascale_loop_lag_greatest_ms", lagMs.count());
    set("yuccascale_requests_shed", refused);
    set("yuccascale_requests_waiting", services.pools->waiting());
    set("yuccascale_requests_running", services.runningRequests.load());
}

void setMemoryGauges(runtime::metrics &metrics, const net::memory_shortage &memory)
{
    const auto set = [&metrics](const char *name, auto value) {
        metrics.setGauge(name, static_cast<double>(value));
    };
    set("yuccascale_memory_held_bytes", memory.held);
    set("yuccascale_memory_limit_bytes", memory.limit);
    set("yuccascale_memory_refused_requests", memory.refused);
    set("yuccascale_memory_closed_connections", memory.closed);
}

std::string learntText(const std::map<std::string, std::vector<learnt_endpoint>> &learntByPool)
{
    struct column
    {
        std::string_view name;
        std::string_view help;
        double learnt_endpoint::*value;
    };
    static constexpr std::array<column, 4> columns{
            {{"yuccascale_endpoint_prefill_tokens_per_second",
              "Learnt prefill rate at the usual pace; 0: not known.",
              &learnt_endpoint::prefillTokensPerSecond},
             {"yuccascale_endpoint_slowdown",
              "Learnt time of other work, relative to the pool's endpoints.",
              &learnt_endpoint::slowdown},
             {"yuccascale_endpoint_pace", "Expected pace now; 1 is usual.", &learnt_endpoint::pace},
             {"yuccascale_endpoint_average_pace", "Average pace with decay; 1 is usual.",
              &learnt_endpoint::averagePace}}};
    std::ostringstream out;
    for (const column &each : columns) {
        if (learntByPool.empty())
            break;
        out << "# HELP " << each.name << ' ' << each.help << "\n# TYPE " << each.name << " gauge\n";
        for (const auto &[pool, endpoints] : learntByPool) {
            for (const learnt_endpoint &one : endpoints)
                out << each.name << "{pool=\"" << pool << "\",endpoint=\"" << one.name << "\"} "
                    << one.*each.value << '\n';
        }
    }
    return out.str();
}

} // namespace yuccascale::http
