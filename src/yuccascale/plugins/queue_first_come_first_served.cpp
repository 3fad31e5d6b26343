#include "yuccascale/kernel/policy/admission.hpp"

#include <algorithm>
#include <list>

/// \file
/// \brief Baseline queue: requests in order of arrival.

namespace yuccascale::plugins {

namespace {

using namespace kernel::policy;
using kernel::instant;

class arrival_queue final : public fair_queue
{
public:
    void push(instant, waiting_request request) override
    {
        m_costWaiting += request.cost;
        m_waiting.push_back(std::move(request));
    }

    [[nodiscard]] std::optional<waiting_request> pop(instant) override
    {
        if (m_waiting.empty())
            return std::nullopt;
        waiting_request first = std::move(m_waiting.front());
        m_waiting.pop_front();
        m_costWaiting -= first.cost;
        return first;
    }

    bool remove(std::uint64_t ticket) override
    {
        const auto found = std::ranges::find(m_waiting, ticket, &waiting_request::ticket);
        if (found == m_waiting.end())
            return false;
        m_costWaiting -= found->cost;
        m_waiting.erase(found);
        return true;
    }

    void charge(std::string_view, double, double) override { }
    void applyRemoteCharge(std::string_view, double, double) override { }

    [[nodiscard]] std::size_t size() const noexcept override { return m_waiting.size(); }
    [[nodiscard]] double costWaiting() const noexcept override { return m_costWaiting; }
    [[nodiscard]] double costWaiting(std::string_view organisation) const noexcept override
    {
        double cost = 0;
        for (const waiting_request &request : m_waiting)
            cost += request.organisation == organisation ? request.cost : 0;
        return cost;
    }

private:
    std::list<waiting_request> m_waiting;
    double m_costWaiting = 0;
};

const fair_queue_registry::registration addArrival{
        "first_come_first_served", [] { return std::make_unique<arrival_queue>(); }};

} // namespace

} // namespace yuccascale::plugins
