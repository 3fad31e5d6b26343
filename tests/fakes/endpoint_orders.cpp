#include "fakes/endpoint_orders.hpp"

#include <algorithm>
#include <array>

namespace yuccascale::fakes {

using kernel::json;

namespace {

double costOf(const endpoint_stock &row, std::int64_t nowMs)
{
    constexpr double msPerHour = 3'600'000;
    return row.pricePerHour * static_cast<double>(nowMs - row.soldAtMs) / msPerHour;
}

} // namespace

endpoint_orders::endpoint_orders(endpoint_orders_settings settings, const history &eventHistory)
    : m_settings(std::move(settings))
    , m_history(eventHistory)
    , m_server(m_settings.port, [this](const http_request &request) { return handle(request); })
{
    const std::scoped_lock guard(m_mutex);
    for (endpoint_stock &row : m_settings.stock)
        row.soldAtMs = wallMs();
}

http_reply endpoint_orders::handle(const http_request &request)
{
    struct route
    {
        std::string_view method;
        std::string_view pathPrefix;
        http_reply (endpoint_orders::*serve)(const http_request &);
    };
    static constexpr std::array<route, 6> routes{{
            {"POST", "/endpoints", &endpoint_orders::start},
            {"DELETE", "/endpoints/", &endpoint_orders::stop},
            {"GET", "/orders/", &endpoint_orders::order},
            {"GET", "/endpoints", &endpoint_orders::endpoints},
            {"GET", "/offers", &endpoint_orders::offers},
            {"GET", "/standin/cost", &endpoint_orders::cost},
    }};
    const std::scoped_lock guard(m_mutex);
    for (const route &candidate : routes) {
        if (request.method == candidate.method && request.path.starts_with(candidate.pathPrefix))
            return (this->*candidate.serve)(request);
    }
    return jsonReply(404, {{"error", "no such path"}});
}

void endpoint_orders::recordOrder(const std::string &event, json fields, std::uint64_t fence)
{
    fields["stale"] = fence != 0 && fence < m_highestFence;
    m_highestFence = std::max(m_highestFence, fence);
    m_history.record(m_settings.name, event, std::move(fields));
}

http_reply endpoint_orders::start(const http_request &request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return jsonReply(400, {{"error", "the request body is not a JSON object"}});
    const std::uint64_t id = body.value("order_id", 0ULL);
    recordOrder("start", body, body.value("fence", 0ULL));
    if (m_orders.contains(id))
        return orderReply(202, id);
    const std::string kind = body.value("kind", "");
    const std::string zone = body.value("zone", "");
    const auto available = std::ranges::find_if(m_settings.stock, [&](const endpoint_stock &row) {
        return !row.sold && row.kind == kind && row.zone == zone;
    });
    if (available == m_settings.stock.end()) {
        m_orders[id] = {"refused", {}};
        return jsonReply(409, {{"state", "unavailable"}});
    }
    available->sold = true;
    available->soldAtMs = wallMs();
    available->readyAtMs = available->soldAtMs + m_settings.startMs;
    m_orders[id] = {"running", available->name};
    ++m_acceptedOrders;
    if (m_settings.loseAnswerEvery != 0 && m_acceptedOrders % m_settings.loseAnswerEvery == 0)
        return truncatedReply();
    return orderReply(202, id);
}

http_reply endpoint_orders::stop(const http_request &request)
{
    const std::string name = lastSegment(request.path);
    const std::uint64_t id = request.queryNumber("order_id", 0);
    recordOrder("stop", {{"order_id", id}, {"endpoint", name}}, request.queryNumber("fence", 0));
    endpoint_stock *const row = find(name);
    if (row == nullptr)
        return jsonReply(404, {{"error", "no such endpoint"}});
    if (!m_orders.contains(id) && row->sold) {
        m_stoppedCost += costOf(*row, wallMs());
        row->sold = false;
    }
    m_orders[id] = {"done", name};
    return orderReply(200, id);
}

endpoint_stock *endpoint_orders::find(const std::string &name)
{
    const auto found = std::ranges::find(m_settings.stock, name, &endpoint_stock::name);
    return found == m_settings.stock.end() ? nullptr : &*found;
}

json endpoint_orders::rowOf(const endpoint_stock &row) const
{
    json out = row;
    out["state"] = !row.sold ? "stopped" : wallMs() < row.readyAtMs ? "starting" : "running";
    return out;
}

http_reply endpoint_orders::orderReply(int status, std::uint64_t id) const
{
    const order_record &order = m_orders.at(id);
    json out{{"state", order.state}};
    for (const endpoint_stock &row : m_settings.stock) {
        if (row.name != order.endpoint)
            continue;
        out["endpoint"] = rowOf(row);
        if (order.state == "running" && out["endpoint"]["state"] != "starting")
            out["state"] = "done";
    }
    return jsonReply(status, out);
}

http_reply endpoint_orders::order(const http_request &request)
{
    const std::uint64_t id = std::strtoull(lastSegment(request.path).c_str(), nullptr, 10);
    if (!m_orders.contains(id))
        return jsonReply(200, {{"state", "unknown"}});
    return orderReply(200, id);
}

http_reply endpoint_orders::endpoints(const http_request &)
{
    json rows = json::array();
    for (const endpoint_stock &row : m_settings.stock) {
        if (row.sold)
            rows.push_back(rowOf(row));
    }
    return jsonReply(200, {{"endpoints", rows}});
}

http_reply endpoint_orders::offers(const http_request &)
{
    json rows = json::array();
    for (const endpoint_stock &row : m_settings.stock) {
        if (!row.sold)
            rows.push_back({{"kind", row.kind},
                            {"zone", row.zone},
                            {"tenure", row.tenure},
                            {"price_per_hour", row.pricePerHour},
                            {"start_ms", m_settings.startMs}});
    }
    return jsonReply(200, {{"offers", rows}});
}

http_reply endpoint_orders::cost(const http_request &)
{
    double total = m_stoppedCost;
    for (const endpoint_stock &row : m_settings.stock)
        total += row.sold ? costOf(row, wallMs()) : 0;
    return jsonReply(200, {{"cost", total}});
}

} // namespace yuccascale::fakes
