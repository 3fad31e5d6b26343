#include "yuccascale/kernel/orders/order_message.hpp"

#include "yuccascale/kernel/json_text.hpp"
namespace yuccascale::kernel::orders {

namespace {

constexpr std::string_view platformPrefix = "platform/";

std::string zoneOf(const std::string &target)
{
    const std::string rest = target.substr(std::min(platformPrefix.size(), target.size()));
    return rest.substr(0, rest.find('/'));
}

order_message startMessage(const state::order_record &order)
{
    const json body{{"order_id", order.id},
                    {"fence", order.fence},
                    {"kind", order.argument},
                    {"zone", zoneOf(order.target)}};
    return {order.id, {}, "POST", "/endpoints", kernel::toText(body)};
}

order_message stopMessage(const state::order_record &order)
{
    return {order.id,
            {},
            "DELETE",
            "/endpoints/" + order.target + "?order_id=" + std::to_string(order.id)
                    + "&fence=" + std::to_string(order.fence),
            {}};
}

order_message engineMessage(const state::order_record &order)
{
    const json body{{"order_id", order.id},
                    {"fence", order.fence},
                    {"kind", orderKindName(order.kind)},
                    {"argument", order.argument}};
    return {order.id, order.address, "POST", "/admin/orders", kernel::toText(body)};
}

} // namespace

bool goesToPlatform(state::order_kind kind) noexcept
{
    return kind == state::order_kind::StartEndpoint || kind == state::order_kind::StopEndpoint;
}

std::string orderKindName(state::order_kind kind)
{
    return json(kind).get<std::string>();
}

std::string startTarget(const std::string &zone, const std::string &kind)
{
    return std::string(platformPrefix) + zone + "/" + kind;
}

order_message messageOf(const state::order_record &order)
{
    if (order.kind == state::order_kind::StartEndpoint)
        return startMessage(order);
    if (order.kind == state::order_kind::StopEndpoint)
        return stopMessage(order);
    return engineMessage(order);
}

} // namespace yuccascale::kernel::orders
