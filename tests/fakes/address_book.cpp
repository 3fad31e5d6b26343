#include "fakes/address_book.hpp"

#include "fakes/history.hpp"
#include "fakes/http_client.hpp"

#include <algorithm>

namespace yuccascale::fakes {

using kernel::json;

address_book::address_book(std::vector<std::string> nodes, std::uint64_t seed)
    : m_nodes(std::move(nodes))
    , m_random(seed)
{ }

std::string address_book::choose()
{
    const std::scoped_lock guard(m_mutex);
    if (wallMs() >= m_expiresAtMs)
        refresh();
    std::vector<weighted_address> usable;
    std::ranges::copy_if(m_weightedAddresses, std::back_inserter(usable),
                         [this](const weighted_address &candidate) {
                             return !m_failed.contains(candidate.address);
                         });
    if (usable.empty())
        return m_nodes[m_random() % m_nodes.size()];
    std::vector<double> weights;
    std::ranges::transform(usable, std::back_inserter(weights), &weighted_address::weight);
    return usable[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random)]
            .address;
}

void address_book::markFailed(const std::string &address)
{
    const std::scoped_lock guard(m_mutex);
    m_failed.insert(address);
}

void address_book::refresh()
{
    constexpr int lookupTimeoutMs = 500;
    std::vector<std::string> nodes = m_nodes;
    std::ranges::shuffle(nodes, m_random);
    for (const std::string &node : nodes) {
        http_call call;
        call.address = node;
        call.path = "/v1/addresses";
        call.timeoutMs = lookupTimeoutMs;
        const http_answer answer = callHttp(call);
        const json body = json::parse(answer.body, nullptr, false);
        if (answer.status != 200 || !body.is_object())
            continue;
        m_weightedAddresses.clear();
        for (const json &row : body.value("addresses", json::array()))
            m_weightedAddresses.push_back({row.at("address"), row.value("weight", 1.0)});
        m_failed.clear();
        m_expiresAtMs = wallMs() + body.value("ttl_ms", 1'000);
        return;
    }
}

} // namespace yuccascale::fakes
