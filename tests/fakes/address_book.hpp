#pragma once

#include <cstdint>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief A caller's cache of entry addresses, refreshed when its time to live (TTL) expires.

namespace yuccascale::fakes {

/// \brief Fetches the addresses from a random node and chooses among them at random by weight.
///        Thread-safe.
class address_book
{
public:
    address_book(std::vector<std::string> nodes, std::uint64_t seed);

    /// \returns an address to connect to; when none is known that has not failed since the last
    ///          refresh, that of a random node.
    [[nodiscard]] std::string choose();

    /// \brief Excludes \a address until the next refresh.
    void markFailed(const std::string &address);

private:
    struct weighted_address
    {
        std::string address;
        double weight;
    };

    void refresh();

    std::vector<std::string> m_nodes;
    std::mutex m_mutex;
    std::mt19937_64 m_random;
    std::vector<weighted_address> m_weightedAddresses;
    std::set<std::string> m_failed;
    std::int64_t m_expiresAtMs = 0;
};

} // namespace yuccascale::fakes
