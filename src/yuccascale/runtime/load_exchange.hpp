#pragma once

#include "yuccascale/kernel/transport.hpp"
#include "yuccascale/runtime/periodic_task.hpp"
#include "yuccascale/wire/load_codec.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Exchange of load between entries: charges and quotas of organisations, placed long
///        prompts and endpoint failures.

namespace yuccascale::runtime {

/// \brief Callbacks into the queues of this entry.
struct load_hooks
{
    std::function<std::vector<kernel::requests::pool_charge>(std::size_t maxPerPool)> takeCharges;
    std::function<void(std::string_view peer, const wire::load_message &)> onMessage;
    std::function<std::vector<std::string>()> otherEntries; ///< link addresses of the other entries
    /// Nothing while no quota is in force; else the message is sent also when it is empty, since
    /// the others count who is silent. May be null.
    std::function<std::optional<std::vector<kernel::requests::quota_report>>()> takeQuotas = {};
    /// What this entry learnt from answers since the last call; sent along with other messages.
    std::function<std::vector<kernel::requests::endpoint_rate>()> takeRates = {};
    /// The current time; null: charges are due in every interval.
    std::function<kernel::instant()> now = {};
};

/// \brief Sends this entry's heaviest charges to the other entries. Long prompts that it places and
///        endpoint failures are sent at once.
///
/// A message goes to a few entries at a time, with pauses, so that in a large fleet it does not
/// hold up the requests of this entry; what comes meanwhile is joined in the next one. Charges go
/// along with any other message. For themselves they cause one in each interval while there are few
/// entries, and a bounded number of messages a second in a large fleet. A lost message only makes
/// fair shares and placement less exact for a while.
class load_exchange
{
public:
    /// \param thread for the periodic work; null: one of its own
    load_exchange(kernel::transport &transport, load_hooks hooks,
                  std::shared_ptr<periodic_thread> thread = nullptr);
    ~load_exchange();
    load_exchange(const load_exchange &) = delete;
    load_exchange &operator=(const load_exchange &) = delete;

    /// \brief Starts sending, and handling received messages; the queues must exist by then.
    void start();
    void stop();

    /// \brief Queues \a updates and sends them without waiting for the interval. Never blocks on
    ///        the network, so it may be called with any lock held.
    void sendSoon(kernel::requests::endpoint_updates updates);

    /// \brief Sends what there is without waiting for the interval. Never blocks on the network.
    void sendSoon() { m_task.runSoon(); }

    /// \brief Sends what was added since the previous call, or the next part of it. Called by the
    /// periodic thread.
    /// \returns whether more is to be sent.
    bool sendPending();

private:
    /// A message on its way to the other entries.
    struct broadcast
    {
        std::string payload;
        std::vector<std::string> entries; ///< that do not have it yet
    };

    [[nodiscard]] std::optional<broadcast> nextBroadcast();
    void sendPart();
    [[nodiscard]] bool hasUpdates();
    kernel::transport &m_transport;
    load_hooks m_hooks;
    std::atomic<bool> m_running{false}; ///< true while the hooks may be called
    [[nodiscard]] bool chargesDue(std::size_t entries);

    std::mutex m_mutex;
    kernel::requests::endpoint_updates m_pendingUpdates; ///< not sent yet
    // on the periodic thread only
    kernel::instant m_chargesToldAt{};
    std::optional<broadcast> m_broadcast; ///< in progress
    std::size_t m_broadcasts = 0;
    periodic_task m_task;
};

} // namespace yuccascale::runtime
