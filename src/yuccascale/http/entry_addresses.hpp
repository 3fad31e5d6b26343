#pragma once

#include "yuccascale/http/caller_answers.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"
#include "yuccascale/kernel/requests/endpoint_table.hpp"
#include "yuccascale/kernel/requests/relay_choice.hpp"

#include <random>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief What an entry derives from the list of running nodes.

namespace yuccascale::http {

/// \brief The entry itself, as it offers itself to callers.
struct own_address
{
    std::string node;
    offered_address address;
    bool leaving = false;
    bool endpointsLost = false; ///< it reaches no endpoint
};

/// \returns the other entries' addresses, sorted; those that reach no endpoint only when all of
///          them reach none.
[[nodiscard]] std::vector<offered_address>
addressesOfOthers(std::span<const kernel::feed::node_report> nodes, const std::string &self);

/// \returns the addresses that callers may use, sorted; never none. Entries that reach no endpoint
///          are offered when there is no other, and one that is leaving when there is nobody else.
[[nodiscard]] std::vector<offered_address>
offeredAddresses(std::span<const kernel::feed::node_report> nodes, const own_address &self);

/// \returns a random sample of \a most addresses, or all of them when they are not more. Callers
///          that get different samples spread over all entries of a large fleet.
[[nodiscard]] std::vector<offered_address> sampleAddresses(std::vector<offered_address> all,
                                                           std::size_t most, std::mt19937 &random);

/// \returns this entry's index among the entries, and their number.
[[nodiscard]] kernel::requests::entry_position
positionAmong(std::span<const kernel::feed::node_report> nodes, const std::string &self);

/// \returns the entries that can serve requests for this one.
[[nodiscard]] std::vector<kernel::requests::helper_entry>
helpersAmong(std::span<const kernel::feed::node_report> nodes, const std::string &self);

} // namespace yuccascale::http
