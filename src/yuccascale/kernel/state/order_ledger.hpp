#pragma once

#include "yuccascale/kernel/state/commands.hpp"
#include "yuccascale/kernel/state/limits.hpp"
#include "yuccascale/kernel/state/snapshot_stream.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Orders to engines and to the platform: intent, fencing token and outcome.

namespace yuccascale::kernel::state {

/// \brief An order as recorded in the log. The message to its target is built from this record
/// alone.
struct order_record
{
    std::uint64_t id = 0; ///< log index of its open_order command
    std::string operationId;
    std::string target;
    order_kind kind = order_kind::Drain;
    std::string argument;
    std::uint64_t fence = 0; ///< fencing token of the leader that proposed it
    std::string reason;
    std::string pool;
    std::string address;      ///< engine's address when the order was opened; empty: the platform
    bool fencesOrders = true; ///< the engine refuses an older fencing token
    bool settled = false;
    order_outcome end = order_outcome::Done;
    std::string detail;
    std::uint64_t settledIndex = 0; ///< log index of the outcome; 0 while it is open
    std::int64_t settledWallMs = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(order_record, id, operationId, target, kind,
                                                argument, fence, reason, pool, address,
                                                fencesOrders, settled, end, detail, settledIndex,
                                                settledWallMs)
};

/// \brief The orders in the log; at most one per target is open.
class order_ledger
{
public:
    explicit order_ledger(const limits &bounds)
        : m_bounds(bounds)
    { }

    /// \param row the endpoint that is the target; null for an endpoint to start
    [[nodiscard]] command_result open(const std::string &operationId, const open_order &order,
                                      std::uint64_t index, const endpoint *row);
    [[nodiscard]] command_result settle(const settle_order &settlement, std::uint64_t index);

    /// \returns the order with this id, open or settled, or null when it is unknown or no longer
    ///          kept.
    [[nodiscard]] const order_record *find(std::uint64_t orderId) const;

    /// \returns the open order of a target, or null.
    [[nodiscard]] const order_record *openOrderFor(const std::string &target) const;

    /// \returns the open orders, oldest first.
    [[nodiscard]] std::vector<order_record> openOrders() const;

    /// \returns the highest fencing token of all orders.
    [[nodiscard]] std::uint64_t highestFence() const noexcept { return m_highestFence; }

    void save(snapshot_writer &out) const;
    void load(snapshot_reader &in);

private:
    [[nodiscard]] std::optional<command_result> earlierAnswer(const std::string &operationId) const;
    [[nodiscard]] std::optional<command_result> validateOpen(const open_order &order,
                                                             const endpoint *row) const;
    void dropSettled();

    const limits &m_bounds;
    std::map<std::uint64_t, order_record> m_orders; ///< by id
    std::unordered_map<std::string, std::uint64_t> m_openByTarget;
    std::unordered_map<std::string, std::uint64_t> m_byOperation;
    std::deque<std::uint64_t> m_settledOldestFirst; ///< order ids
    std::uint64_t m_highestFence = 0;
};

} // namespace yuccascale::kernel::state
