#include "yuccascale/plugins/platform_http.hpp"

/// \file
/// \brief Sends orders to the platform's endpoint ordering interface and reads its offers and its
/// list of VMs.

namespace yuccascale::plugins {

namespace {

using namespace kernel::orders;
using kernel::json;
using kernel::result;

constexpr int httpOk = 200;
constexpr int httpAccepted = 202;
constexpr int httpNotFound = 404;
constexpr int httpConflict = 409;

kernel::state::endpoint endpointFrom(const json &document)
{
    auto row = document.get<kernel::state::endpoint>();
    row.pricePerHour = document.value("price_per_hour", row.pricePerHour);
    return row;
}

target_reply replyFrom(const json &document)
{
    target_reply reply;
    reply.state = parseTargetState(document.value("state", std::string()));
    if (reply.state == target_state::Done && document.contains("endpoint"))
        reply.started.push_back(endpointFrom(document["endpoint"]));
    return reply;
}

class http_platform_orders final : public order_target
{
public:
    explicit http_platform_orders(const driver_settings &settings)
        : m_settings(settings)
    { }

    [[nodiscard]] result<target_reply> send(const order_message &message,
                                            const send_permit &permit) override
    {
        BOOST_LEAF_AUTO(answer,
                        exchange(m_settings,
                                 {m_settings.address,
                                  message.method,
                                  message.path,
                                  message.body,
                                  {},
                                  permit}));
        const json document = answer.document();
        if (answer.status == httpConflict)
            return target_reply{
                    target_state::Refused, "the platform has no capacity for this order now", {}};
        if (answer.status == httpNotFound)
            return target_reply{target_state::Done, "the platform has no such endpoint", {}};
        if ((answer.status == httpOk || answer.status == httpAccepted) && document.is_object())
            return replyFrom(document);
        return kernel::fail(kernel::error_kind::OutcomeUnknown, m_settings.address,
                            "the platform answered an order with status "
                                    + std::to_string(answer.status)
                                    + "; query the platform for the outcome");
    }

    [[nodiscard]] result<target_reply> queryOrder(const std::string &,
                                                  std::uint64_t orderId) override
    {
        BOOST_LEAF_AUTO(
                document,
                getJson(m_settings, m_settings.address, "/orders/" + std::to_string(orderId)));
        return replyFrom(document);
    }

private:
    driver_settings m_settings;
};

class http_platform_lists final : public platform_reader
{
public:
    http_platform_lists(const driver_settings &vmList, const driver_settings &endpointOrders)
        : m_vmList(vmList)
        , m_endpointOrders(endpointOrders)
    { }

    [[nodiscard]] result<std::vector<vm_row>> vms() override
    {
        BOOST_LEAF_AUTO(document, getJson(m_vmList, m_vmList.address, "/vms"));
        std::vector<vm_row> rows;
        for (const json &row : document.value("vms", json::array())) {
            rows.push_back({row.value("name", std::string()), row.value("address", std::string()),
                            row.value("state", std::string()) == "leaving"});
        }
        return rows;
    }

    [[nodiscard]] result<std::vector<kernel::policy::endpoint_offer>> offers() override
    {
        BOOST_LEAF_AUTO(document, getJson(m_endpointOrders, m_endpointOrders.address, "/offers"));
        std::vector<kernel::policy::endpoint_offer> offers;
        for (const json &row : document.value("offers", json::array())) {
            kernel::policy::endpoint_offer offer;
            offer.kind = row.value("kind", std::string());
            offer.zone = row.value("zone", std::string());
            offer.tenure = row.value("tenure", kernel::state::endpoint_tenure::Steady);
            offer.pricePerHour = row.value("price_per_hour", offer.pricePerHour);
            offer.startTime = kernel::milliseconds(row.value("start_ms", std::int64_t{90'000}));
            offers.push_back(std::move(offer));
        }
        return offers;
    }

private:
    driver_settings m_vmList;
    driver_settings m_endpointOrders;
};

const order_target_registry::registration addPlatformOrders{
        "http_platform", [](const driver_settings &settings) {
            return std::make_unique<http_platform_orders>(settings);
        }};

const platform_reader_registry::registration addPlatformLists{
        "http", [](const driver_settings &vmList, const driver_settings &endpointOrders) {
            return std::make_unique<http_platform_lists>(vmList, endpointOrders);
        }};

} // namespace

} // namespace yuccascale::plugins
