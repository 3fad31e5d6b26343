#include "yuccascale/kernel/json_text.hpp"
#include "yuccascale/plugins/platform_http.hpp"

#include <algorithm>
#include <cstdlib>

/// \file
/// \brief Requests model transfers from the rate-limited weight store over HTTP.

namespace yuccascale::plugins {

namespace {

using namespace kernel::orders;
using kernel::json;
using kernel::milliseconds;

constexpr int httpOk = 200;
constexpr int httpTooManyRequests = 429;
constexpr milliseconds minRetryAfter{200};

milliseconds retryAfterOf(const http_answer &answer)
{
    const milliseconds requested = std::chrono::seconds(std::atoll(answer.retryAfter.c_str()));
    return std::max(requested, minRetryAfter);
}

class http_weight_store final : public weight_store
{
public:
    explicit http_weight_store(const driver_settings &settings)
        : m_settings(settings)
    { }

    [[nodiscard]] kernel::result<fetch_reply>
    fetch(const std::string &model, const std::string &endpoint, const send_permit &permit) override
    {
        const json body{{"model", model}, {"endpoint", endpoint}};
        BOOST_LEAF_AUTO(
                answer,
                exchange(m_settings,
                         {m_settings.address, "POST", "/fetch", kernel::toText(body), {}, permit}));
        if (answer.status == httpOk)
            return fetch_reply{true, {}};
        if (answer.status == httpTooManyRequests)
            return fetch_reply{false, retryAfterOf(answer)};
        return kernel::fail(kernel::error_kind::OutcomeUnknown, m_settings.address,
                            "the weight store answered a fetch with status "
                                    + std::to_string(answer.status)
                                    + "; the fetch will be tried again");
    }

private:
    driver_settings m_settings;
};

const weight_store_registry::registration addWeightStore{
        "http", [](const driver_settings &settings) {
            return std::make_unique<http_weight_store>(settings);
        }};

} // namespace

} // namespace yuccascale::plugins
