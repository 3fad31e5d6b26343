#include "yuccascale/plugins/endpoint_load.hpp"

#include "yuccascale/kernel/json.hpp"

namespace yuccascale::plugins {

namespace {

using kernel::json;
using kernel::requests::endpoint_report;

constexpr int serviceUnavailable = 503;

[[nodiscard]] endpoint_report reportFrom(kernel::instant receivedAt, const json &document)
{
    endpoint_report report;
    report.incarnation = document.value("incarnation", std::uint64_t{0});
    report.load.measuredAt
            = receivedAt - kernel::milliseconds(document.value("age_ms", std::int64_t{0}));
    report.load.running = document.value("running", 0);
    report.load.queued = document.value("queued", 0);
    report.load.prefillTokensWaiting = document.value("prefill_tokens_waiting", std::int64_t{0});
    report.load.decodeTokensWaiting = document.value("decode_tokens_waiting", std::int64_t{0});
    report.load.role
            = json(document.value("role", std::string("mixed"))).get<kernel::state::engine_role>();
    report.load.leaving = document.value("leaving", false);
    return report;
}

} // namespace

kernel::result<endpoint_report> readLoadReport(kernel::instant receivedAt, std::string_view body)
{
    const json document = json::parse(body, nullptr, false);
    if (!document.is_object()) {
        return kernel::fail(kernel::error_kind::Corrupt, "load report",
                            "the body is not a JSON object; check the version of the endpoint");
    }
    try {
        return reportFrom(receivedAt, document);
    } catch (const json::exception &problem) {
        return kernel::fail(kernel::error_kind::Corrupt, "load report", problem.what());
    }
}

bool reportsNotRun(int status, std::string_view body)
{
    if (status != serviceUnavailable)
        return false;
    const json document = json::parse(body, nullptr, false);
    if (!document.is_object())
        return false;
    const auto run = document.find("run");
    return run != document.end() && run->is_boolean() && !run->get<bool>();
}

} // namespace yuccascale::plugins
