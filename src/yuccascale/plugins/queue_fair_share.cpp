#include "yuccascale/kernel/policy/admission.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

/// \file
/// \brief Weighted fair queueing by cost between organisations.
///
/// Each organisation has a virtual time: the cost it was charged, divided by its weight. The
/// waiting organisation with the lowest virtual time is served next. An organisation that was idle
/// starts at no less than the virtual time of the last one served, so an unused share goes to the
/// others and is not saved up.

namespace yuccascale::plugins {

namespace {

using namespace kernel::policy;
using kernel::instant;
using kernel::nanoseconds;

/// One priority level counts as this much waiting time, so that requests of low priority wait
/// longer but are not starved.
constexpr nanoseconds priorityStep = kernel::seconds(1);

/// Position in the queue of an organisation: arrival time shifted by priority, then ticket.
using queue_position = std::pair<instant, std::uint64_t>;

/// Waiting requests of an organisation and what it was charged.
struct account
{
    double virtualTime = 0;
    double costWaiting = 0;
    std::map<queue_position, waiting_request> waiting;
};

using account_map = std::map<std::string, account, std::less<>>;

class fair_share_queue final : public fair_queue
{
public:
    void push(instant, waiting_request request) override
    {
        const auto found = m_accounts.try_emplace(request.organisation).first;
        account &owner = found->second;
        if (owner.waiting.empty()) {
            owner.virtualTime = std::max(owner.virtualTime, m_virtualTimeFloor);
            m_byVirtualTime.emplace(owner.virtualTime, found->first);
        }
        const queue_position position{request.receivedAt - request.priority * priorityStep,
                                      request.ticket};
        owner.costWaiting += request.cost;
        m_costWaiting += request.cost;
        m_positions[request.ticket] = {&found->first, position};
        m_latestStarts.emplace(request.deadline - request.predictedService, request.ticket);
        owner.waiting.emplace(position, std::move(request));
    }

    [[nodiscard]] std::optional<waiting_request> pop(instant) override
    {
        if (m_byVirtualTime.empty())
            return std::nullopt;
        const auto found = m_accounts.find(m_byVirtualTime.begin()->second);
        account &owner = found->second;
        m_virtualTimeFloor = std::max(m_virtualTimeFloor, owner.virtualTime);
        waiting_request request = extract(found, owner.waiting.begin());
        addVirtualTime(found, request.cost / request.weight);
        return request;
    }

    bool remove(std::uint64_t ticket) override { return extractByTicket(ticket).has_value(); }

    [[nodiscard]] std::vector<waiting_request> takeLate(instant now) override
    {
        std::vector<waiting_request> late;
        while (!m_latestStarts.empty() && m_latestStarts.begin()->first <= now)
            late.push_back(*extractByTicket(m_latestStarts.begin()->second));
        return late;
    }

    void charge(std::string_view organisation, double weight, double costDifference) override
    {
        const auto found = m_accounts.find(organisation);
        if (found != m_accounts.end())
            addVirtualTime(found, costDifference / weight);
    }

    void applyRemoteCharge(std::string_view organisation, double weight, double cost) override
    {
        const auto found = m_accounts.try_emplace(std::string(organisation)).first;
        addVirtualTime(found, cost / weight);
    }

    [[nodiscard]] std::size_t size() const noexcept override { return m_positions.size(); }
    [[nodiscard]] double costWaiting() const noexcept override { return m_costWaiting; }
    [[nodiscard]] double costWaiting(std::string_view organisation) const noexcept override
    {
        const auto found = m_accounts.find(organisation);
        return found == m_accounts.end() ? 0 : found->second.costWaiting;
    }

private:
    using account_iterator = account_map::iterator;

    void addVirtualTime(account_iterator found, double virtualTime)
    {
        account &owner = found->second;
        const bool isWaiting = !owner.waiting.empty();
        if (isWaiting)
            m_byVirtualTime.erase({owner.virtualTime, found->first});
        owner.virtualTime += virtualTime;
        if (isWaiting)
            m_byVirtualTime.emplace(owner.virtualTime, found->first);
    }

    waiting_request extract(account_iterator found,
                            std::map<queue_position, waiting_request>::iterator position)
    {
        account &owner = found->second;
        waiting_request request = std::move(position->second);
        owner.waiting.erase(position);
        owner.costWaiting -= request.cost;
        m_costWaiting -= request.cost;
        m_positions.erase(request.ticket);
        m_latestStarts.erase({request.deadline - request.predictedService, request.ticket});
        if (owner.waiting.empty())
            m_byVirtualTime.erase({owner.virtualTime, found->first});
        return request;
    }

    std::optional<waiting_request> extractByTicket(std::uint64_t ticket)
    {
        const auto located = m_positions.find(ticket);
        if (located == m_positions.end())
            return std::nullopt;
        const auto found = m_accounts.find(*located->second.first);
        return extract(found, found->second.waiting.find(located->second.second));
    }

    account_map m_accounts;
    std::set<std::pair<double, std::string_view>>
            m_byVirtualTime; ///< organisations with waiting requests
    std::unordered_map<std::uint64_t, std::pair<const std::string *, queue_position>> m_positions;
    std::set<std::pair<instant, std::uint64_t>> m_latestStarts;
    double m_virtualTimeFloor = 0; ///< virtual time of the last one served
    double m_costWaiting = 0;
};

const fair_queue_registry::registration addFairShare{
        "fair_share", [] { return std::make_unique<fair_share_queue>(); }};

} // namespace

} // namespace yuccascale::plugins
