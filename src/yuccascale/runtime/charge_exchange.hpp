#pragma once

#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/kernel/requests/charge_book.hpp"
#include "yuccascale/kernel/transport.hpp"
#include "yuccascale/runtime/periodic_task.hpp"

#include <atomic>
#include <functional>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief Entries tell each other what they charged, so that a share holds across entries.

namespace yuccascale::runtime {

/// \brief How the exchange reaches the queues of this entry.
struct charge_hooks
{
    std::function<std::vector<kernel::requests::pool_charge>(std::size_t mostPerPool)> take;
    std::function<void(std::span<const kernel::requests::pool_charge>)> chargedElsewhere;
    std::function<std::vector<std::string>()> others; ///< link addresses of the other entries
};

/// \brief Sends this entry's heaviest charges to the other entries at each interval.
///
/// A lost message only makes the share less exact until the next one.
class charge_exchange
{
public:
    charge_exchange(kernel::transport &transport, charge_hooks hooks);
    ~charge_exchange();
    charge_exchange(const charge_exchange &) = delete;
    charge_exchange &operator=(const charge_exchange &) = delete;

    /// \brief Starts to tell and to listen; after the queues are there.
    void start();
    void stop();

    /// \brief Sends what was charged since the last call; the thread does it at each interval.
    void tellOthers();

private:
    kernel::transport &m_transport;
    charge_hooks m_hooks;
    std::atomic<bool> m_running{false}; ///< the hooks may be called
    periodic_task m_task;
};

} // namespace yuccascale::runtime
