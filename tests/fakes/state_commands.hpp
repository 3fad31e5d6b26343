#pragma once

#include "yuccascale/kernel/state/machine.hpp"

#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief Functions that build commands for the tests of the replicated state.

namespace yuccascale::fakes {

using namespace kernel::state;

constexpr std::int64_t windowMs = 60'000;
constexpr std::int64_t firstWindowMs = 28'333'333 * windowMs;

inline endpoint makeEndpoint(const std::string &name,
                             endpoint_tenure tenure = endpoint_tenure::Steady)
{
    endpoint row;
    row.name = name;
    row.address = "127.0.0.1:8001";
    row.zone = "perth-a";
    row.tenure = tenure;
    return row;
}

inline pool makePool(const std::string &name, std::vector<endpoint> endpoints)
{
    pool row;
    row.name = name;
    row.model = "m";
    row.version = "1";
    row.endpoints = std::move(endpoints);
    return row;
}

inline route makeRoute(const std::string &name, const std::string &pool)
{
    route row;
    row.name = name;
    row.pool = pool;
    return row;
}

/// Creates one route, its pool of two engines, and one organisation.
inline edit_tables firstEdit()
{
    edit_tables edit;
    edit.putPools = {makePool("brief", {makeEndpoint("e1"), makeEndpoint("e2")})};
    edit.putRoutes = {makeRoute("briefing", "brief")};
    edit.putOrganisations = {organisation{"swan", 1.0}};
    edit.wallMs = firstWindowMs;
    return edit;
}

inline claim_request makeClaim(const std::string &key, const std::string &entry)
{
    claim_request claim;
    claim.organisation = "swan";
    claim.route = "tickets";
    claim.idempotencyKey = key;
    claim.fingerprint = "body-of-" + key;
    claim.entry = entry;
    claim.wallMs = firstWindowMs;
    return claim;
}

inline settle_claim makeSettlement(const claim_request &claim, const std::string &operationId,
                                   claim_outcome end, const std::string &answer = {})
{
    settle_claim settlement;
    settlement.organisation = claim.organisation;
    settlement.route = claim.route;
    settlement.idempotencyKey = claim.idempotencyKey;
    settlement.entry = claim.entry;
    settlement.claimOperation = operationId;
    settlement.end = end;
    settlement.status = 200;
    settlement.answer = answer;
    return settlement;
}

inline record_usage makeUsage(const std::string &entry, std::uint64_t sequence, std::int64_t markMs,
                              std::int64_t windowStartMs, std::uint64_t answers)
{
    record_usage batch{entry, sequence, markMs, {}};
    if (answers != 0)
        batch.lines
                = {usage_line{"swan", "briefing", windowStartMs, answers, 100 * answers, 10, 7}};
    return batch;
}

/// Applies commands to a state machine at consecutive log indexes.
class applied_log
{
public:
    explicit applied_log(const limits &bounds = {})
        : m_bounds(bounds)
        , m_machine(std::make_unique<machine>(bounds))
    { }

    command_result apply(command::body_type body, const std::string &operationId = {})
    {
        return m_machine->apply(++m_index, command{operationId, std::move(body)});
    }

    /// Replaces the state machine by one restored from its snapshot.
    void restart()
    {
        const std::string bytes = m_machine->snapshot();
        m_machine = std::make_unique<machine>(m_bounds);
        kernel::error problem;
        if (!kernel::succeeded([&] { return m_machine->restore(bytes); }, problem))
            throw std::runtime_error(problem.message);
        if (m_machine->snapshot() != bytes)
            throw std::runtime_error("a state machine restored from a snapshot gives a "
                                     "snapshot that differs from it");
    }

    [[nodiscard]] machine &state() { return *m_machine; }

private:
    limits m_bounds;
    std::unique_ptr<machine> m_machine;
    std::uint64_t m_index = 0;
};

} // namespace yuccascale::fakes
