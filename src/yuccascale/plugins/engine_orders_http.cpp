#include "yuccascale/kernel/json_text.hpp"
#include "yuccascale/plugins/platform_http.hpp"
/// \file
/// \brief Orders to engines over their /admin/orders interface, and their load reports.

namespace yuccascale::plugins {

namespace {

using namespace kernel::orders;
using kernel::result;

constexpr int httpOk = 200;
constexpr int httpConflict = 409;

target_reply replyFrom(const kernel::json &document)
{
    target_reply reply;
    reply.state = parseTargetState(document.value("state", std::string()));
    if (document.contains("fence"))
        reply.detail = "the highest fence that the engine has seen is "
                + kernel::toText(document["fence"]);
    return reply;
}

class http_engine_orders final : public order_target
{
public:
    explicit http_engine_orders(const driver_settings &settings)
        : m_settings(settings)
    { }

    [[nodiscard]] result<target_reply> send(const order_message &message,
                                            const send_permit &permit) override
    {
        BOOST_LEAF_AUTO(
                answer,
                exchange(
                        m_settings,
                        {message.address, message.method, message.path, message.body, {}, permit}));
        const kernel::json document = answer.document();
        const bool stateReported = answer.status == httpOk || answer.status == httpConflict;
        if (stateReported && document.is_object())
            return replyFrom(document);
        return kernel::fail(kernel::error_kind::OutcomeUnknown, message.address,
                            "the engine answered an order with status "
                                    + std::to_string(answer.status)
                                    + "; query the engine for the outcome");
    }

    [[nodiscard]] result<target_reply> queryOrder(const std::string &address,
                                                  std::uint64_t orderId) override
    {
        BOOST_LEAF_AUTO(document,
                        getJson(m_settings, address, "/admin/orders/" + std::to_string(orderId)));
        return replyFrom(document);
    }

private:
    driver_settings m_settings;
};

class http_load_source final : public load_source
{
public:
    explicit http_load_source(const driver_settings &settings)
        : m_settings(settings)
    { }

    [[nodiscard]] result<target_report> report(const std::string &address) override
    {
        BOOST_LEAF_AUTO(document, getJson(m_settings, address, "/load"));
        target_report report;
        report.age = kernel::milliseconds(document.value("age_ms", std::int64_t{0}));
        report.running = document.value("running", 0);
        report.queued = document.value("queued", 0);
        report.incarnation = document.value("incarnation", std::uint64_t{0});
        return report;
    }

private:
    driver_settings m_settings;
};

const order_target_registry::registration addEngineOrders{
        "http_engine", [](const driver_settings &settings) {
            return std::make_unique<http_engine_orders>(settings);
        }};

const load_source_registry::registration addLoadSource{
        "http", [](const driver_settings &settings) {
            return std::make_unique<http_load_source>(settings);
        }};

} // namespace

} // namespace yuccascale::plugins
