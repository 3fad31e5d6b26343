#pragma once

#include "fakes/standin.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

/// \file
/// \brief The platform's endpoint ordering interface. It starts no process: the endpoints
///        already run, and an order only marks one as sold and, once its start time has
///        passed, as running.

namespace yuccascale::fakes {

/// \brief An endpoint that the platform can sell.
struct endpoint_stock
{
    std::string name;
    std::string address;
    std::string zone;
    std::string kind = "steady-engine";
    std::string tenure = "steady";
    double pricePerHour = 1.0;
    bool sold = false;
    std::int64_t soldAtMs = 0;
    std::int64_t readyAtMs = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(endpoint_stock, name, address, zone, kind, tenure,
                                                pricePerHour, sold)
};

struct endpoint_orders_settings
{
    std::string name = "endpoints";
    int port = 0;
    std::int64_t startMs = 5'000;      ///< from the order until the endpoint is running
    std::uint64_t loseAnswerEvery = 0; ///< every n-th order loses its answer; 0: none
    std::vector<endpoint_stock> stock;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(endpoint_orders_settings, name, port, startMs,
                                                loseAnswerEvery, stock)
};

class endpoint_orders final : public standin
{
public:
    endpoint_orders(endpoint_orders_settings settings, const history &eventHistory);

private:
    struct order_record
    {
        std::string state;
        std::string endpoint;
    };

    [[nodiscard]] http_reply handle(const http_request &request);
    [[nodiscard]] http_reply start(const http_request &request);
    [[nodiscard]] http_reply stop(const http_request &request);
    [[nodiscard]] http_reply order(const http_request &request);
    [[nodiscard]] http_reply endpoints(const http_request &request);
    [[nodiscard]] http_reply offers(const http_request &request);
    [[nodiscard]] http_reply cost(const http_request &request);
    [[nodiscard]] http_reply orderReply(int status, std::uint64_t id) const;
    [[nodiscard]] kernel::json rowOf(const endpoint_stock &row) const;
    [[nodiscard]] endpoint_stock *find(const std::string &name);
    void recordOrder(const std::string &event, kernel::json fields, std::uint64_t fence);

    endpoint_orders_settings m_settings;
    const history &m_history;
    mutable std::mutex m_mutex;
    std::map<std::uint64_t, order_record> m_orders;
    std::uint64_t m_highestFence = 0;
    std::uint64_t m_acceptedOrders = 0;
    double m_stoppedCost = 0; ///< of endpoints that were stopped
    http_server m_server;
};

} // namespace yuccascale::fakes
