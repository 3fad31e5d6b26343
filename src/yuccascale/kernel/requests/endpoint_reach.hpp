#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Decides whether an entry still reaches endpoints at all.

namespace yuccascale::kernel::requests {

/// \brief An endpoint to which a connection can be probed.
struct reach_endpoint
{
    std::string name;
    std::string address; ///< IP:port
    std::string zone;
    std::string pool;

    [[nodiscard]] bool operator==(const reach_endpoint &) const = default;
};

/// \brief What an entry knows of its paths to the endpoints.
enum class reach_state {
    Reached,
    Suspected, ///< several endpoints failed; probes are under way
    Lost,      ///< no probe was answered
    Returning, ///< probes are answered again; a share of the requests tries the paths
};

/// \brief Tells an entry without paths to endpoints from endpoints that fail. Not thread-safe.
///
/// Failed attempts only raise the suspicion; connections to a sample of endpoints of different
/// pools and availability zones decide. The sample is bounded, so the cost does not depend on the
/// number of endpoints or entries, and without failures nothing is sent.
class endpoint_reach
{
public:
    /// \param seed differs between entries, so that they probe different endpoints
    explicit endpoint_reach(std::uint64_t seed)
        : m_seed(seed)
    { }

    /// \brief Replaces the endpoints of all pools.
    void setEndpoints(std::vector<reach_endpoint> endpoints);

    /// \brief Records an attempt whose connection failed.
    void attemptFailed(instant now, const std::string &endpoint);

    /// \returns the endpoints to connect to now; the result of each is passed to probed().
    [[nodiscard]] std::vector<reach_endpoint> takeProbes(instant now);

    /// \brief Records the result of a probe.
    void probed(instant now, bool connected);

    [[nodiscard]] reach_state state() const noexcept { return m_state; }

    /// \returns whether a first attempt is sent to an endpoint by this entry itself.
    [[nodiscard]] bool goesDirectly(std::string_view requestId) const;

private:
    struct failure
    {
        std::string endpoint;
        instant at{};
    };

    void enter(instant now, reach_state state);
    void finishRound(instant now);
    void finishSuspicion(instant now);
    [[nodiscard]] std::size_t failedEndpoints(instant now);
    [[nodiscard]] std::size_t roundSize() const noexcept;

    std::uint64_t m_seed;
    std::vector<reach_endpoint> m_endpoints; ///< neighbours are in different pools and zones
    std::size_t m_nextProbe = 0;
    std::deque<failure> m_failures; ///< recent, oldest first
    reach_state m_state = reach_state::Reached;
    instant m_suspectedAt{};
    instant m_trustedUntil{}; ///< a probe was answered; failures before it raise no suspicion
    instant m_nextRoundAt{};
    std::size_t m_pendingProbes = 0;
    bool m_anyConnected = false; ///< in this round
    unsigned m_directShare = 0;  ///< of the requests while returning, in eighths
};

} // namespace yuccascale::kernel::requests
