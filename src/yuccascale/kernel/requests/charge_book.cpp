#include "yuccascale/kernel/requests/charge_book.hpp"

#include <algorithm>
#include <functional>

namespace yuccascale::kernel::requests {

void charge_accumulator::add(std::string_view organisation, double cost)
{
    const auto found = m_sums.find(organisation);
    if (found == m_sums.end())
        m_sums.emplace(organisation, cost);
    else
        found->second += cost;
}

std::vector<organisation_charge> charge_accumulator::takeLargest(std::size_t maxCount)
{
    std::vector<organisation_charge> all;
    for (const auto &[organisation, cost] : m_sums)
        all.push_back({organisation, cost});
    std::ranges::stable_sort(all, std::greater<>(), &organisation_charge::cost);
    if (all.size() > maxCount)
        all.resize(maxCount);
    for (const organisation_charge &taken : all)
        m_sums.erase(taken.organisation);
    return all;
}

} // namespace yuccascale::kernel::requests
