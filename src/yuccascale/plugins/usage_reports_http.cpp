#include "yuccascale/plugins/platform_http.hpp"

/// \file
/// \brief Reports usage windows over HTTP.

namespace yuccascale::plugins {

namespace {

using namespace kernel::orders;

constexpr int httpOk = 200;
constexpr int httpConflict = 409;

class http_usage_sink final : public usage_sink
{
public:
    explicit http_usage_sink(const driver_settings &settings)
        : m_settings(settings)
    { }

    [[nodiscard]] kernel::result<usage_reply> report(const kernel::state::frozen_window &window,
                                                     std::uint64_t,
                                                     const send_permit &permit) override
    {
        const std::string path = "/usage/" + std::to_string(window.windowStartMs);
        BOOST_LEAF_AUTO(answer,
                        exchange(m_settings,
                                 {m_settings.address, "POST", path, window.figures, {}, permit}));
        if (answer.status == httpOk)
            return usage_reply::Accepted;
        if (answer.status == httpConflict)
            return usage_reply::Differs;
        return kernel::fail(kernel::error_kind::OutcomeUnknown, m_settings.address + path,
                            "the usage interface answered with status "
                                    + std::to_string(answer.status)
                                    + "; the same bytes will be sent again");
    }

private:
    driver_settings m_settings;
};

const usage_sink_registry::registration addUsageSink{"http", [](const driver_settings &settings) {
                                                         return std::make_unique<http_usage_sink>(
                                                                 settings);
                                                     }};

} // namespace

} // namespace yuccascale::plugins
