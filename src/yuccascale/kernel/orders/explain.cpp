#include "yuccascale/kernel/orders/explain.hpp"

#include "yuccascale/kernel/orders/order_message.hpp"

namespace yuccascale::kernel::orders {

namespace {

json outcomeOf(const state::order_record &order)
{
    if (!order.settled) {
        return {{"state", "open"},
                {"meaning", "the order is committed to the log; its outcome is not known yet"},
                {"remedy",
                 "if it stays open, check that the target is reachable; removing the endpoint"
                 " from its pool abandons the order"}};
    }
    return {{"state", order.end},
            {"detail", order.detail},
            {"index", order.settledIndex},
            {"wall_ms", order.settledWallMs}};
}

} // namespace

json explainOrder(const state::order_record &order)
{
    const order_message message = messageOf(order);
    return {{"order", order.id},
            {"intent",
             {{"index", order.id},
              {"fence", order.fence},
              {"target", order.target},
              {"address", order.address.empty() ? "platform" : order.address},
              {"fences_orders", order.fencesOrders},
              {"kind", order.kind},
              {"argument", order.argument},
              {"operation", order.operationId},
              {"reason", order.reason}}},
            {"message",
             {{"method", message.method}, {"path", message.path}, {"body", message.body}}},
            {"outcome", outcomeOf(order)}};
}

} // namespace yuccascale::kernel::orders
