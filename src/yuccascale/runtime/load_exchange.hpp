#pragma once

#include "yuccascale/kernel/transport.hpp"
#include "yuccascale/runtime/periodic_task.hpp"
#include "yuccascale/wire/load_codec.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

/// \file
/// \brief Entries tell each other what load they give: charges of organisations, long prompts.

namespace yuccascale::runtime {

/// \brief How the exchange reaches the queues of this entry.
struct load_hooks
{
    std::function<std::vector<kernel::requests::pool_charge>(std::size_t mostPerPool)> takeCharges;
    std::function<void(const wire::load_message &)> heard;
    std::function<std::vector<std::string>()> others; ///< link addresses of the other entries
};

/// \brief Sends this entry's heaviest charges to the other entries at each interval, and the long
/// prompts that it places at once.
///
/// A lost message only makes shares and placing less exact for a while.
class load_exchange
{
public:
    load_exchange(kernel::transport &transport, load_hooks hooks);
    ~load_exchange();
    load_exchange(const load_exchange &) = delete;
    load_exchange &operator=(const load_exchange &) = delete;

    /// \brief Starts to tell and to listen; after the queues are there.
    void start();
    void stop();

    /// \brief Tells the others soon. May be called under any lock.
    void tellSoon(kernel::requests::endpoint_updates news);

    /// \brief Sends what is new since the last call; the thread does it.
    void tellOthers();

private:
    kernel::transport &m_transport;
    load_hooks m_hooks;
    std::atomic<bool> m_running{false}; ///< the hooks may be called
    std::mutex m_mutex;
    kernel::requests::endpoint_updates m_news; ///< not told yet
    periodic_task m_task;
};

} // namespace yuccascale::runtime
