#pragma once

#include "yuccascale/http/caller_mailbox.hpp"
#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"
#include "yuccascale/kernel/requests/pool_scheduler.hpp"
#include "yuccascale/runtime/settings.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief The pools' queues at this entry, each under its own lock.

namespace yuccascale::http {

/// \brief An endpoint to be asked for its load.
struct listed_endpoint
{
    std::string pool;
    std::string name;
    std::string address;
    kernel::state::backend_kind kind = kernel::state::backend_kind::Model;
};

/// \brief Schedulers of all pools. Thread-safe.
class caller_pools
{
public:
    /// \param seed differs between entries
    /// \returns error_kind::NotFound when the settings name a strategy that there is not.
    [[nodiscard]] static kernel::result<std::unique_ptr<caller_pools>>
    make(const runtime::settings &settings, const kernel::clock &clock, std::uint64_t seed);

    /// \brief Takes over a revision of the tables, with the endpoints that the platform lists.
    /// \param listed may be null
    void setTables(const kernel::state::table_set &tables,
                   const kernel::feed::endpoint_list *listed);

    /// \brief Takes over this entry's place among the entries.
    void setPosition(kernel::requests::entry_position position);

    /// \brief Puts a request into its pool's queue.
    /// \param mailbox gets a endpoint_assignment when its turn comes
    [[nodiscard]] std::optional<kernel::requests::refusal>
    push(std::uint64_t ticket, const kernel::requests::request &subject, double weight,
         const kernel::requests::enqueue &how, std::shared_ptr<caller_mailbox> mailbox);

    void remove(const std::string &pool, std::uint64_t ticket);
    void firstPiece(const std::string &pool, std::uint64_t ticket);
    void filled(const std::string &pool, std::uint64_t ticket,
                kernel::requests::prefill_outcome how, kernel::nanoseconds took);
    kernel::requests::finish_findings finish(const std::string &pool, std::uint64_t ticket,
                                             const kernel::requests::attempt_result &result);

    /// \brief Answers the waiting requests of a fingerprint that crashes endpoints.
    void stopFingerprint(const std::string &pool, const std::string &fingerprint);

    /// \returns true when the endpoint gave notice.
    bool report(const std::string &pool, const std::string &endpoint,
                const kernel::requests::endpoint_report &report);

    /// \brief Takes in what the VM list says of an endpoint.
    void setLeaving(const std::string &endpoint, bool leaving);

    /// \brief Takes the heaviest charges of each pool that the other entries were not told yet.
    /// \param mostPerPool charges taken from one pool
    [[nodiscard]] std::vector<kernel::requests::pool_charge> takeCharges(std::size_t mostPerPool);

    /// \returns what callers offered each pool here since the last call.
    [[nodiscard]] std::vector<kernel::requests::demand_report> takeDemand();

    /// \returns the last load report of each endpoint of a pool, by name.
    [[nodiscard]] std::map<std::string, kernel::policy::load_report>
    loads(const std::string &pool) const;

    /// \brief Takes in what another entry charged.
    void chargedElsewhere(std::span<const kernel::requests::pool_charge> charges,
                          const kernel::state::table_set &tables);

    /// \brief Takes in what another entry tells of endpoints.
    /// \returns the endpoints that are suspected from now on.
    std::vector<std::string> heardElsewhere(const kernel::requests::endpoint_updates &news);

    /// \brief Sets who passes this entry's news on to the others; before any request. The listener
    /// is called under a pool's lock and must not call back.
    void setNewsListener(std::function<void(kernel::requests::endpoint_updates)> listener)
    {
        m_newsListener = std::move(listener);
    }

    /// \brief Gives out turns that time alone has made possible.
    void scheduleAll();

    [[nodiscard]] std::vector<listed_endpoint> endpoints() const;

    /// \returns requests that wait in all pools.
    [[nodiscard]] std::size_t waiting() const;

private:
    struct shard
    {
        shard(kernel::requests::pool_strategies strategies,
              const kernel::requests::queue_limits &limits)
            : scheduler(std::move(strategies), limits)
        { }

        std::mutex mutex;
        kernel::requests::pool_scheduler scheduler;
        std::map<std::uint64_t, std::shared_ptr<caller_mailbox>> mailboxes;
    };

    caller_pools(const runtime::settings &settings, const kernel::clock &clock, std::uint64_t seed);

    [[nodiscard]] kernel::result<kernel::requests::pool_strategies>
    makeStrategies(const std::string &pool) const;
    [[nodiscard]] std::shared_ptr<shard> find(const std::string &pool) const;
    [[nodiscard]] std::shared_ptr<shard> findOrMake(const std::string &pool);
    [[nodiscard]] std::vector<std::shared_ptr<shard>> all() const;
    void setRows(shard &pool, const kernel::state::pool &row);
    static void refuseWaiting(shard &pool, std::span<const std::uint64_t> tickets,
                              const kernel::requests::refusal &reason);
    void giveTurns(shard &pool);

    runtime::policy_settings m_policy;
    kernel::requests::queue_limits m_limits;
    const kernel::clock &m_clock;
    std::uint64_t m_seed;
    kernel::requests::entry_position m_position;
    mutable std::shared_mutex m_mutex;
    std::map<std::string, std::shared_ptr<shard>> m_shards; ///< by pool name
    std::vector<listed_endpoint> m_endpoints;
    std::function<void(kernel::requests::endpoint_updates)> m_newsListener;
};

} // namespace yuccascale::http
