#include "yuccascale/kernel/policy/admission.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

/// \file
/// \brief Weighted fair queueing by cost between organisations.
///
/// Each organisation has a virtual time: what it was charged, divided by its weight. The one with
/// the least goes next. An organisation that was idle starts at the least virtual time of those
/// waiting, so an unused share is spent by the others and never saved up.

namespace yuccascale::plugins {

namespace {

using namespace kernel::policy;
using kernel::instant;
using kernel::nanoseconds;

/// A step of priority is worth so much waiting, so a low priority waits longer but not forever.
constexpr nanoseconds priorityStep = kernel::seconds(1);

/// Position within an organisation: arrival moved by priority, then ticket.
using place = std::pair<instant, std::uint64_t>;

/// What an organisation waits for and was charged.
struct account
{
    double virtualTime = 0;
    double costWaiting = 0;
    std::map<place, waiting_request> waiting;
};

using account_map = std::map<std::string, account, std::less<>>;

class fair_share_queue final : public fair_queue
{
public:
    void push(instant, waiting_request request) override
    {
        const auto found = m_accounts.try_emplace(request.organisation).first;
        account &its = found->second;
        if (its.waiting.empty()) {
            its.virtualTime = std::max(its.virtualTime, m_floor);
            m_order.emplace(its.virtualTime, found->first);
        }
        const place where{request.receivedAt - request.priority * priorityStep, request.ticket};
        its.costWaiting += request.cost;
        m_cost += request.cost;
        m_places[request.ticket] = {&found->first, where};
        m_latestStarts.emplace(request.deadline - request.predictedService, request.ticket);
        its.waiting.emplace(where, std::move(request));
    }

    [[nodiscard]] std::optional<waiting_request> pop(instant) override
    {
        if (m_order.empty())
            return std::nullopt;
        const auto found = m_accounts.find(m_order.begin()->second);
        account &its = found->second;
        m_floor = std::max(m_floor, its.virtualTime);
        waiting_request request = take(found, its.waiting.begin());
        advance(found, request.cost / request.weight);
        return request;
    }

    bool remove(std::uint64_t ticket) override { return takeTicket(ticket).has_value(); }

    [[nodiscard]] std::vector<waiting_request> takeLate(instant now) override
    {
        std::vector<waiting_request> late;
        while (!m_latestStarts.empty() && m_latestStarts.begin()->first < now)
            late.push_back(*takeTicket(m_latestStarts.begin()->second));
        return late;
    }

    void charge(std::string_view organisation, double weight, double costDifference) override
    {
        const auto found = m_accounts.find(organisation);
        if (found != m_accounts.end())
            advance(found, costDifference / weight);
    }

    void chargedElsewhere(std::string_view organisation, double weight, double cost) override
    {
        const auto found = m_accounts.try_emplace(std::string(organisation)).first;
        advance(found, cost / weight);
    }

    [[nodiscard]] std::size_t size() const noexcept override { return m_places.size(); }
    [[nodiscard]] double costWaiting() const noexcept override { return m_cost; }
    [[nodiscard]] double costWaiting(std::string_view organisation) const noexcept override
    {
        const auto found = m_accounts.find(organisation);
        return found == m_accounts.end() ? 0 : found->second.costWaiting;
    }

private:
    using account_iterator = account_map::iterator;

    void advance(account_iterator found, double virtualTime)
    {
        account &its = found->second;
        const bool waits = !its.waiting.empty();
        if (waits)
            m_order.erase({its.virtualTime, found->first});
        its.virtualTime += virtualTime;
        if (waits)
            m_order.emplace(its.virtualTime, found->first);
    }

    waiting_request take(account_iterator found, std::map<place, waiting_request>::iterator where)
    {
        account &its = found->second;
        waiting_request request = std::move(where->second);
        its.waiting.erase(where);
        its.costWaiting -= request.cost;
        m_cost -= request.cost;
        m_places.erase(request.ticket);
        m_latestStarts.erase({request.deadline - request.predictedService, request.ticket});
        if (its.waiting.empty())
            m_order.erase({its.virtualTime, found->first});
        return request;
    }

    std::optional<waiting_request> takeTicket(std::uint64_t ticket)
    {
        const auto known = m_places.find(ticket);
        if (known == m_places.end())
            return std::nullopt;
        const auto found = m_accounts.find(*known->second.first);
        return take(found, found->second.waiting.find(known->second.second));
    }

    account_map m_accounts;
    std::set<std::pair<double, std::string_view>> m_order; ///< organisations that wait
    std::unordered_map<std::uint64_t, std::pair<const std::string *, place>> m_places;
    std::set<std::pair<instant, std::uint64_t>> m_latestStarts;
    double m_floor = 0; ///< virtual time of the last one served
    double m_cost = 0;
};

const fair_queue_registry::registration addFairShare{
        "fair_share", [] { return std::make_unique<fair_share_queue>(); }};

} // namespace

} // namespace yuccascale::plugins
