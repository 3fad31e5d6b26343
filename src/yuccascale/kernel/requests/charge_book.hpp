#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief What an entry charged its organisations and has not told the other entries yet.

namespace yuccascale::kernel::requests {

/// \brief Cost charged to one organisation, in prompt-token equivalents.
struct organisation_charge
{
    std::string organisation;
    double cost = 0;
};

/// \brief A charge with the pool that it was made for.
struct pool_charge
{
    std::string pool;
    std::string organisation;
    double cost = 0;
};

/// \brief Sums of charges by organisation. Not thread-safe.
class charge_accumulator
{
public:
    void add(std::string_view organisation, double cost);

    /// \brief Takes the heaviest sums. Lighter ones stay and grow, so none is left out for ever.
    /// \param most sums taken
    [[nodiscard]] std::vector<organisation_charge> takeLargest(std::size_t maxCount);

    [[nodiscard]] std::size_t size() const noexcept { return m_sums.size(); }

private:
    std::map<std::string, double, std::less<>> m_sums;
};

} // namespace yuccascale::kernel::requests
