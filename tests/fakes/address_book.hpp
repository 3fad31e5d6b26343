#pragma once

#include <cstdint>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief A caller's knowledge of the entries: asked for, kept for its time to live.

namespace yuccascale::fakes {

/// \brief Asks any node for addresses and chooses among them by weight. Thread-safe.
class address_book
{
public:
    address_book(std::vector<std::string> nodes, std::uint64_t seed);

    /// \returns an address to connect to; one that failed lately only if no other is left.
    [[nodiscard]] std::string choose();

    /// \brief Avoids \a address until the next answer.
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
