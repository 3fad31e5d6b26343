#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Costs that an entry charged its organisations and has not reported to the other entries.

namespace yuccascale::kernel::requests {

/// \brief Cost charged to one organisation, in prompt-token equivalents.
struct organisation_charge
{
    std::string organisation;
    double cost = 0;
};

/// \brief Cost charged to one organisation for its requests to one pool, in prompt-token
/// equivalents.
struct pool_charge
{
    std::string pool;
    std::string organisation;
    double cost = 0;
};

/// \brief Sums unreported charges by organisation. Not thread-safe.
class charge_accumulator
{
public:
    void add(std::string_view organisation, double cost);

    /// \brief Removes and returns the largest sums. Smaller ones remain and add up, so that none is
    /// left out for ever.
    /// \param maxCount largest number of sums returned
    [[nodiscard]] std::vector<organisation_charge> takeLargest(std::size_t maxCount);

    [[nodiscard]] std::size_t size() const noexcept { return m_sums.size(); }

private:
    std::map<std::string, double, std::less<>> m_sums;
};

} // namespace yuccascale::kernel::requests
