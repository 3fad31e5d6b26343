#include "yuccascale/http/entry_addresses.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace yuccascale::http {

using kernel::feed::node_report;
using namespace kernel::requests;

namespace {

/// Addresses by whether their entries reach endpoints.
struct address_groups
{
    std::vector<offered_address> reaching;
    std::vector<offered_address> cutOff;

    void add(const offered_address &address, bool endpointsLost)
    {
        (endpointsLost ? cutOff : reaching).push_back(address);
    }

    /// \returns the better group that is not empty, sorted.
    [[nodiscard]] std::vector<offered_address> best() &&
    {
        std::vector<offered_address> out = std::move(reaching.empty() ? cutOff : reaching);
        std::ranges::sort(out, {}, &offered_address::address);
        return out;
    }
};

[[nodiscard]] bool isOtherEntry(const node_report &node, const std::string &self)
{
    return !node.callers.empty() && node.node != self;
}

[[nodiscard]] address_groups groupsOfOthers(std::span<const node_report> nodes,
                                            const std::string &self)
{
    address_groups out;
    for (const node_report &node : nodes) {
        if (isOtherEntry(node, self))
            out.add({node.callers, node.zone, 1}, node.endpointsLost);
    }
    return out;
}

} // namespace

std::vector<offered_address> addressesOfOthers(std::span<const node_report> nodes,
                                               const std::string &self)
{
    return groupsOfOthers(nodes, self).best();
}

std::vector<offered_address> offeredAddresses(std::span<const node_report> nodes,
                                              const own_address &self)
{
    address_groups groups = groupsOfOthers(nodes, self.node);
    if (!self.leaving)
        groups.add(self.address, self.endpointsLost);
    std::vector<offered_address> offered = std::move(groups).best();
    // callers that reach nobody else are better served by an entry that is leaving
    if (offered.empty())
        offered.push_back(self.address);
    return offered;
}

std::vector<offered_address> sampleAddresses(std::vector<offered_address> all, std::size_t most,
                                             std::mt19937 &random)
{
    if (all.size() <= most)
        return all;
    std::vector<offered_address> sample;
    sample.reserve(most);
    std::ranges::sample(all, std::back_inserter(sample), static_cast<std::ptrdiff_t>(most), random);
    return sample;
}

entry_position positionAmong(std::span<const node_report> nodes, const std::string &self)
{
    entry_position position{0, 0, false};
    for (const node_report &node : nodes) {
        if (node.callers.empty())
            continue;
        position.index += node.node < self ? 1 : 0;
        position.counted = position.counted || node.node == self;
        ++position.count;
    }
    position.count = std::max(position.count, position.index + 1);
    return position;
}

std::vector<helper_entry> helpersAmong(std::span<const node_report> nodes, const std::string &self)
{
    std::vector<helper_entry> helpers;
    for (const node_report &node : nodes) {
        if (isOtherEntry(node, self) && !node.endpointsLost)
            helpers.push_back({node.node, node.callers});
    }
    return helpers;
}

} // namespace yuccascale::http
