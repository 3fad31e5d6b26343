#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/plugin_registry.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Admission and order of the queue at an entry.

namespace yuccascale::kernel::policy {

/// \brief A request waiting at an entry, as the queue sees it.
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
    instant deadline{}; ///< of the whole answer
    instant firstTokenDeadline{};
    nanoseconds predictedService{}; ///< from dispatch to the whole answer on an idle endpoint
};

/// \brief A refusal at the door.
struct admission_refusal
{
    std::string reason;       ///< for the log and the caller
    nanoseconds retryAfter{}; ///< when it is worth coming back
};

/// \brief What an entry's queue of one pool looks like.
struct queue_view
{
    std::size_t waiting = 0;
    double costWaiting = 0; ///< of all organisations
    double costWaitingOfOrganisation = 0;
    double costPerSecond = 0;         ///< that this entry gets through, measured
    double shareOfOrganisation = 1.0; ///< of costPerSecond, by weight among the active ones
    nanoseconds predictedWait{};      ///< of this request
};

/// \brief Decides whether a request may wait at all.
class admission
{
public:
    virtual ~admission() = default;

    /// \returns a refusal, or nothing when it is let in.
    [[nodiscard]] virtual std::optional<admission_refusal>
    refuse(instant now, const waiting_request &request, const queue_view &queue) = 0;
};

/// \brief Orders the waiting requests of one pool. Its owner serialises calls.
class fair_queue
{
public:
    virtual ~fair_queue() = default;

    virtual void push(instant now, waiting_request request) = 0;

    /// \brief Takes the request to dispatch next; nothing when none waits.
    [[nodiscard]] virtual std::optional<waiting_request> pop(instant now) = 0;

    /// \brief Removes a request whose caller left or whose deadline passed.
    /// \returns false when it was not waiting.
    virtual bool remove(std::uint64_t ticket) = 0;

    /// \brief Takes out the requests that can no longer be answered in time; each is refused at
    /// once.
    [[nodiscard]] virtual std::vector<waiting_request> takeLate(instant) { return {}; }

    /// \brief Corrects an organisation's charge once the true cost is known.
    virtual void charge(std::string_view organisation, double weight, double costDifference) = 0;

    /// \brief Takes in what the organisation was charged at the other entries.
    virtual void chargedElsewhere(std::string_view organisation, double weight, double cost) = 0;

    [[nodiscard]] virtual std::size_t size() const noexcept = 0;
    [[nodiscard]] virtual double costWaiting() const noexcept = 0;
    [[nodiscard]] virtual double costWaiting(std::string_view organisation) const noexcept = 0;
};

using admission_registry = plugin_registry<admission>;
using fair_queue_registry = plugin_registry<fair_queue>;

} // namespace yuccascale::kernel::policy
