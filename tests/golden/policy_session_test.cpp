#include "fakes/policy_fleet.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

/// Guards against unintended changes of routing, role and placement decisions: compares a session
/// with policy_session.golden. YUCCASCALE_REWRITE_GOLDEN=1 rewrites the file.

namespace yuccascale {

using namespace fakes;

namespace {

constexpr const char *goldenFile = YUCCASCALE_SOURCE_DIR "/tests/golden/policy_session.golden";

void recordRouting(std::ostream &out)
{
    const policy_fleet fleet(3);
    auto router = makeStrategy<router_registry>("predicted_first_token", std::uint64_t{7});
    std::vector<endpoint_view> views;
    for (const engine_view &engine : fleet.views) {
        endpoint_view view;
        view.row = engine.row;
        view.report.measuredAt = at(0);
        views.push_back(view);
    }
    for (int request = 0; request < 8; ++request) {
        if (request == 4) {
            out << "0.4 engine-1 unusable\n";
            views[0].usable = false;
        }
        routing_request routedRequest;
        routedRequest.promptTokens = 500 + 1'000 * (request % 3);
        routedRequest.outputTokens = 200;
        routedRequest.entries = 2;
        const auto choice = router->choose(at(0.1 * request), routedRequest, views);
        endpoint_view &chosen = views[choice->index];
        ++chosen.ownOutstandingRequests;
        ++chosen.sentSinceReport;
        chosen.ownPrefillTokens += routedRequest.promptTokens;
        chosen.prefillTokensSinceReport += routedRequest.promptTokens;
        const auto firstToken
                = std::chrono::duration_cast<kernel::milliseconds>(choice->predictedFirstToken);
        out << 0.1 * request << " route prompt=" << routedRequest.promptTokens << " -> "
            << chosen.row->name << " first_token_ms=" << firstToken.count() << " ("
            << choice->reason << ")\n";
    }
}

void recordRoleChanges(std::ostream &out)
{
    auto roles = makeStrategy<role_policy_registry>("mix_following");
    policy_fleet fleet(9);
    for (double now = 2; now <= 300; now += 2) {
        const bool mostlyPrefill = now > 240;
        const pool_demand demand = mostlyPrefill ? demandOf(5, 2) : demandOf(1.6, 5.4);
        if (now == 242)
            out << "242 the mix swings to prefill\n";
        for (const role_change &change : roles->decide(at(now), demand, {}, fleet.views)) {
            constexpr std::array names{"mixed", "prefill", "decode"};
            out << now << " role " << change.endpoint << " -> "
                << names.at(static_cast<std::size_t>(change.newRole)) << " (" << change.reason
                << ")\n";
            for (engine_view &view : fleet.views) {
                if (view.row->name == change.endpoint) {
                    view.role = change.newRole;
                    view.roleSince = at(now);
                }
            }
        }
    }
}

void recordPlacement(std::ostream &out)
{
    auto placement = makeStrategy<placement_policy_registry>("steady_and_cheap");
    policy_fleet fleet(6);
    pool_demand demand = demandOf(1, 5);
    demand.nonIdempotentShare = 0.1;
    for (double now = 0; now <= 200; now += 10) {
        if (now == 100) {
            out << "100 cheap endpoints of perth-a reclaimed\n";
            std::erase_if(fleet.views, [](const engine_view &view) {
                return view.row->zone == "perth-a" && view.row->tenure == endpoint_tenure::Cheap;
            });
            placement->reclaimed(at(now), "perth-a", "cheap-engine");
        }
        for (const placement_change &change :
             placement->decide(at(now), demand, {}, fleet.views, {}, policy_fleet::offers())) {
            out << now << (change.start ? " start " : " stop ")
                << (change.start ? change.offer.kind + " in " + change.offer.zone : change.endpoint)
                << " (" << change.reason << ")\n";
            fleet.apply(change, at(now));
        }
    }
}

} // namespace

TEST(policy_session, decisionsMatchTheRecordedSession)
{
    std::ostringstream session;
    recordRouting(session);
    recordRoleChanges(session);
    recordPlacement(session);
    if (std::getenv("YUCCASCALE_REWRITE_GOLDEN") != nullptr)
        std::ofstream(goldenFile) << session.str();
    std::stringstream golden;
    golden << std::ifstream(goldenFile).rdbuf();
    EXPECT_EQ(session.str(), golden.str());
}

} // namespace yuccascale
