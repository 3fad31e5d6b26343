#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/plugin_registry.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Interfaces for admission to the queue of an entry and for its order.

namespace yuccascale::kernel::policy {

/// \brief Properties of a queued request that admission and the queue use.
struct waiting_request
{
    std::uint64_t ticket = 0; ///< unique at this entry
    std::string organisation;
    std::string route;
    std::string pool;
    double weight = 1.0; ///< the organisation's
    int priority = 0;    ///< the route's
    double cost = 0;     ///< in prompt-token equivalents
    instant receivedAt{};
    instant deadline{}; ///< of the complete answer
    instant firstTokenDeadline{};
    nanoseconds predictedService{}; ///< from dispatch to the complete answer; 0: not known yet
};

/// \brief Reason why a request was not admitted to the queue.
struct admission_refusal
{
    std::string reason;       ///< for the log and the caller
    nanoseconds retryAfter{}; ///< advised retry delay
};

/// \brief State of an entry's queue of one pool.
struct queue_view
{
    std::size_t waiting = 0;
    double costWaiting = 0; ///< of all organisations
    double costWaitingOfOrganisation = 0;
    double costPerSecond = 0; ///< measured dispatch rate of this entry
    double shareOfOrganisation
            = 1.0; ///< fair share of costPerSecond, by weight among the active organisations
    nanoseconds predictedWait{}; ///< of this request
};

/// \brief Decides whether a request is admitted to the queue.
class admission
{
public:
    virtual ~admission() = default;

    /// \returns a refusal, or nothing when the request is admitted.
    [[nodiscard]] virtual std::optional<admission_refusal>
    refuse(instant now, const waiting_request &request, const queue_view &queue) = 0;
};

/// \brief Orders the waiting requests of one pool. Its owner serialises calls.
class fair_queue
{
public:
    virtual ~fair_queue() = default;

    virtual void push(instant now, waiting_request request) = 0;

    /// \brief Removes and returns the request to dispatch next; nothing when the queue is empty.
    [[nodiscard]] virtual std::optional<waiting_request> pop(instant now) = 0;

    /// \brief Removes a request whose caller disconnected or whose deadline passed.
    /// \returns false when the request was not queued.
    virtual bool remove(std::uint64_t ticket) = 0;

    /// \brief Removes the requests that can no longer be answered in time, which are refused
    /// immediately.
    [[nodiscard]] virtual std::vector<waiting_request> takeLate(instant) { return {}; }

    /// \brief Corrects an organisation's charge once the actual cost is known.
    virtual void charge(std::string_view organisation, double weight, double costDifference) = 0;

    /// \brief Applies charges that other entries made to the organisation.
    virtual void applyRemoteCharge(std::string_view organisation, double weight, double cost) = 0;

    [[nodiscard]] virtual std::size_t size() const noexcept = 0;
    [[nodiscard]] virtual double costWaiting() const noexcept = 0;
    [[nodiscard]] virtual double costWaiting(std::string_view organisation) const noexcept = 0;
};

using admission_registry = plugin_registry<admission>;
using fair_queue_registry = plugin_registry<fair_queue>;

} // namespace yuccascale::kernel::policy
