#pragma once

#include "yuccascale/http/caller_mailbox.hpp"
#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/control_client.hpp"
#include "yuccascale/kernel/feed/feed_messages.hpp"
#include "yuccascale/kernel/requests/pool_scheduler.hpp"
#include "yuccascale/runtime/settings.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief Queues of the pools at this entry, each behind its own lock.

namespace yuccascale::http {

/// \brief An endpoint whose load is polled.
struct polled_endpoint
{
    std::string pool;
    std::string name;
    std::string address;
    kernel::state::backend_kind kind = kernel::state::backend_kind::Model;
    std::string zone = {};
};

/// \brief Schedulers of all pools. Thread-safe.
class caller_pools
{
public:
    /// \param seed differs between entries
    /// \returns error_kind::NotFound when the settings name an unknown strategy.
    [[nodiscard]] static kernel::result<std::unique_ptr<caller_pools>>
    make(const runtime::settings &settings, const kernel::clock &clock, std::uint64_t seed);

    /// \brief Applies a revision of the tables, with the endpoints that the platform lists.
    /// \param endpointList may be null
    void setTables(const kernel::state::table_set &tables,
                   const kernel::feed::endpoint_list *endpointList);

    /// \brief Applies what is in force on this node, unless it or something newer was applied
    /// before.
    void apply(const kernel::control_view &view);

    /// \returns whether the endpoint of an assignment may still be sent to, by all that was
    ///          applied; with \a withPrefill also the engine that prefills its prompt.
    [[nodiscard]] kernel::requests::endpoint_standing
    standing(const std::string &pool, const kernel::requests::endpoint_assignment &assignment,
             bool withPrefill) const;

    /// \brief Sets this entry's index among the entries, and their number.
    void setPosition(kernel::requests::entry_position position);

    /// \brief Puts a request into its pool's queue.
    /// \param mailbox gets an endpoint_assignment once an endpoint is assigned
    [[nodiscard]] std::optional<kernel::requests::refusal>
    push(std::uint64_t ticket, const kernel::requests::request &callerRequest, double weight,
         const kernel::requests::enqueue &options, std::shared_ptr<caller_mailbox> mailbox);

    void remove(const std::string &pool, std::uint64_t ticket);
    void firstPieceArrived(const std::string &pool, std::uint64_t ticket);
    void prefillFinished(const std::string &pool, std::uint64_t ticket,
                         kernel::requests::prefill_outcome outcome,
                         kernel::nanoseconds prefillTime);
    kernel::requests::finish_findings finish(const std::string &pool, std::uint64_t ticket,
                                             const kernel::requests::attempt_result &result);

    /// \brief Fails the queued requests with a fingerprint that crashes endpoints.
    void stopFingerprint(const std::string &pool, const std::string &fingerprint);

    /// \returns true when the report announces that the endpoint is leaving.
    bool report(const std::string &pool, const std::string &endpoint,
                const kernel::requests::endpoint_report &report);

    /// \brief Applies what an endpoint asked in an answer.
    kernel::requests::notice_effect applyNotice(const std::string &pool,
                                                const std::string &endpoint,
                                                const kernel::requests::endpoint_notice &notice);

    /// \brief Sets whether the VM list shows the VM of an endpoint as leaving.
    void setLeaving(const std::string &endpoint, bool leaving);

    /// \brief Removes and returns the largest charges of each pool that were not sent to the other
    /// entries yet.
    /// \param maxPerPool charges taken from one pool
    [[nodiscard]] std::vector<kernel::requests::pool_charge> takeCharges(std::size_t maxPerPool);

    /// \brief Removes and returns what this entry learnt from answers of endpoints that report a
    /// pace and has not told the other entries.
    [[nodiscard]] std::vector<kernel::requests::endpoint_rate> takeRates();

    /// \returns the learnt rates and paces of the endpoints that report a pace, by pool.
    [[nodiscard]] std::map<std::string, std::vector<kernel::requests::learnt_endpoint>>
    learntRates() const;

    /// \returns the demand on each pool at this entry since the last call.
    [[nodiscard]] std::vector<kernel::requests::demand_report> takeDemand();

    /// \returns the last load report of each endpoint of a pool, by name.
    [[nodiscard]] std::map<std::string, kernel::policy::load_report>
    loads(const std::string &pool) const;

    /// \brief Applies the charges of another entry.
    void applyCharges(std::span<const kernel::requests::pool_charge> charges,
                      const kernel::state::table_set &tables);

    /// \brief Applies what another entry learnt about endpoints.
    /// \returns the endpoints that became suspected.
    std::vector<std::string>
    applyEndpointUpdates(const kernel::requests::endpoint_updates &updates);

    /// \brief Sets the function that sends this entry's endpoint updates to the other entries; call
    /// before the first request. It is called under a pool's lock and must not call back.
    void setEndpointUpdateListener(std::function<void(kernel::requests::endpoint_updates)> listener)
    {
        m_endpointUpdateListener = std::move(listener);
    }

    /// \brief Sets the function that makes all entries refuse a pool's requests with parts that
    /// crash endpoints; call before the first request. It is called under a pool's lock and must
    /// not call back.
    void setCrashCauseListener(
            std::function<void(const std::string &pool, const kernel::requests::part_set &)>
                    listener)
    {
        m_crashCauseListener = std::move(listener);
    }

    /// \brief Sets the function that is told of a pool whose endpoints begin to report a pace; call
    /// before the first request. It is called under the pool's lock and must not call back.
    void setPacedListener(std::function<void(const std::string &pool)> listener)
    {
        m_pacedListener = std::move(listener);
    }

    /// \returns the time that recent requests of a route took at most; nothing when too few were
    ///          answered.
    [[nodiscard]] std::optional<kernel::nanoseconds> longestAnswer(const std::string &pool,
                                                                   const std::string &route) const;

    /// \brief Runs all schedulers, for assignments that become possible by the passing of time
    /// alone.
    void scheduleAll();

    [[nodiscard]] std::vector<polled_endpoint> endpoints() const;

    /// \returns the number of requests queued in all pools.
    [[nodiscard]] std::size_t waiting() const;

private:
    /// What apply() has applied.
    struct applied_view
    {
        std::uint64_t revision = 0;
        std::uint64_t listVersion = 0;
        std::optional<kernel::instant> listAskedAt;
    };

    struct guarded_pool
    {
        guarded_pool(std::string poolName, kernel::requests::pool_strategies strategies,
                     const kernel::requests::queue_limits &limits)
            : name(std::move(poolName))
            , scheduler(std::move(strategies), limits)
        { }

        const std::string name;
        std::mutex mutex;
        kernel::requests::pool_scheduler scheduler;
        std::map<std::uint64_t, std::shared_ptr<caller_mailbox>> mailboxes;
    };

    caller_pools(const runtime::settings &settings, const kernel::clock &clock, std::uint64_t seed);

    [[nodiscard]] kernel::result<kernel::requests::pool_strategies>
    makeStrategies(const std::string &pool) const;
    [[nodiscard]] std::shared_ptr<guarded_pool> find(const std::string &pool) const;
    [[nodiscard]] std::shared_ptr<guarded_pool> findOrCreate(const std::string &pool);
    [[nodiscard]] std::vector<std::shared_ptr<guarded_pool>> allPools() const;
    void setRows(guarded_pool &pool, const kernel::state::pool &row);
    void setListAskedAt(std::optional<kernel::instant> askedAt);
    static void refuseWaiting(guarded_pool &pool, std::span<const std::uint64_t> tickets,
                              const kernel::requests::refusal &reason);
    void refuseCrashCauses(guarded_pool &pool);
    void runScheduler(guarded_pool &pool);
    void sendUpdates(guarded_pool &pool);
    void tellPaced(const guarded_pool &pool, bool before) const;

    runtime::policy_settings m_policy;
    kernel::requests::queue_limits m_limits;
    const kernel::clock &m_clock;
    std::uint64_t m_seed;
    kernel::requests::entry_position m_position;
    mutable std::shared_mutex m_mutex;
    std::map<std::string, std::shared_ptr<guarded_pool>> m_pools; ///< by pool name
    std::vector<polled_endpoint> m_endpoints;
    std::mutex m_applyMutex;               ///< held before any other of these
    std::optional<applied_view> m_applied; ///< guarded by m_applyMutex
    std::function<void(kernel::requests::endpoint_updates)> m_endpointUpdateListener;
    std::function<void(const std::string &, const kernel::requests::part_set &)>
            m_crashCauseListener;
    std::function<void(const std::string &)> m_pacedListener;
};

} // namespace yuccascale::http
