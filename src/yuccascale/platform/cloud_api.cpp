#include "yuccascale/kernel/json.hpp"
#include "yuccascale/platform/names.hpp"
#include "yuccascale/plugins/platform_http.hpp"

/// \file
/// \brief Clients of the platform's HTTP interfaces: list of servers, usage reports, scaling.

namespace yuccascale::platform {

namespace {

using namespace kernel::orders;
using kernel::error_kind;
using kernel::fail;
using kernel::json;
using kernel::result;
using kernel::feed::listed_endpoint;

constexpr int httpOk = 200;
constexpr int httpConflict = 409;
/// Pages fetched of one list; guards against page tokens that never end.
constexpr int maxPages = 200;

/// \returns nothing when a field is missing or invalid, as in a list entry that its writer left
/// incomplete, or when the server is neither ready nor draining.
[[nodiscard]] std::optional<listed_endpoint> endpointFrom(const json &entry)
{
    try {
        listed_endpoint out;
        const auto state = entry.at("state").get<std::string>();
        if (state != "ready" && state != "draining")
            return std::nullopt;
        out.pool = entry.at("service").get<std::string>();
        out.row.name = entry.at("id").get<std::string>();
        out.row.address = entry.at("address").get<std::string>();
        out.row.zone = entry.at("zone").get<std::string>();
        out.row.slots = entry.at("slots").get<int>();
        out.row.draining = state == "draining";
        out.row.softwareVersion = entry.at("version").get<std::string>();
        // "born" is when the server process started, in milliseconds on the wall clock
        out.row.startedMs = entry.value("born", std::int64_t{0});
        if (entry.value("spot", false))
            out.row.tenure = kernel::state::endpoint_tenure::Cheap;
        const std::string stage = entry.value("stage", std::string());
        if (stage == "prefill")
            out.row.role = kernel::state::engine_role::Prefill;
        if (out.row.name.empty() || out.row.address.empty() || out.row.slots <= 0)
            return std::nullopt;
        return out;
    } catch (const json::exception &) {
        return std::nullopt; // the other list entries stay usable
    }
}

class server_list final : public endpoint_lister
{
public:
    explicit server_list(const driver_settings &settings)
        : m_settings(settings)
    { }

    [[nodiscard]] result<std::vector<listed_endpoint>> endpoints() override
    {
        std::vector<listed_endpoint> out;
        std::string path(calls::servers);
        for (int page = 0; page < maxPages; ++page) {
            BOOST_LEAF_AUTO(document, plugins::getJson(m_settings, m_settings.address, path));
            const auto entries = document.find("instances");
            if (entries == document.end() || !entries->is_array())
                return fail(error_kind::Corrupt, m_settings.address + path,
                            "the answer has no array 'instances'; check that the address is the "
                            "platform's");
            for (const json &entry : *entries) {
                if (auto endpoint = endpointFrom(entry))
                    out.push_back(std::move(*endpoint));
            }
            const auto next = document.find("next");
            if (next == document.end() || !next->is_string() || next->get<std::string>().empty())
                return out;
            path = std::string(calls::servers) + "?page_token=" + next->get<std::string>();
        }
        return fail(error_kind::Corrupt, m_settings.address,
                    "the list of servers has more than 200 pages; check its field 'next'");
    }

private:
    driver_settings m_settings;
};

/// Makes a call that only the lease holder may make; the platform refuses an older fencing token.
[[nodiscard]] result<plugins::http_answer> postFenced(const driver_settings &settings,
                                                      const std::string &path, const json &body,
                                                      std::uint64_t fence,
                                                      const send_permit &permit)
{
    return plugins::exchange(settings,
                             {settings.address,
                              "POST",
                              path,
                              body.dump(),
                              {{std::string(headers::leaseHolder), settings.nodeName},
                               {std::string(headers::fencingToken), std::to_string(fence)}},
                              permit});
}

/// \returns the number of answers by organisation, from the figures of a usage window.
[[nodiscard]] json countsFrom(const json &figures)
{
    json counts = json::object();
    for (const json &usageRow : figures.at("usage")) {
        const auto organisation = usageRow.at("organisation").get<std::string>();
        if (organisation.empty())
            continue; // answers of routes without keys are not billed
        const auto answers = usageRow.at("answers").get<std::uint64_t>();
        counts[organisation] = counts.value(organisation, std::uint64_t{0}) + answers;
    }
    return counts;
}

class platform_usage_sink final : public usage_sink
{
public:
    explicit platform_usage_sink(const driver_settings &settings)
        : m_settings(settings)
    { }

    [[nodiscard]] result<usage_reply> report(const kernel::state::frozen_window &window,
                                             std::uint64_t fence,
                                             const send_permit &permit) override
    {
        const json figures = json::parse(window.figures, nullptr, false);
        const std::int64_t length
                = figures.is_object() ? figures.value("window_length_ms", std::int64_t{0}) : 0;
        if (length <= 0)
            return fail(error_kind::Corrupt, "usage window",
                        "'window_length_ms' of the frozen window is missing or not positive");
        const json body{{"window_id", window.windowStartMs / length},
                        {"counts", countsFrom(figures)}};
        const std::string path(calls::usage);
        BOOST_LEAF_AUTO(answer, postFenced(m_settings, path, body, fence, permit));
        if (answer.status == httpOk)
            return usage_reply::Accepted;
        if (answer.status == httpConflict)
            return fail(error_kind::Forbidden, m_settings.address + path,
                        "status 409: another node has reported with a higher fencing token; that "
                        "node reports from now on");
        return fail(error_kind::OutcomeUnknown, m_settings.address + path,
                    "answered with status " + std::to_string(answer.status)
                            + "; the same report is sent again");
    }

private:
    driver_settings m_settings;
};

class server_counts final : public endpoint_scaler
{
public:
    explicit server_counts(const driver_settings &settings)
        : m_settings(settings)
    { }

    [[nodiscard]] result<bool> order(const kernel::policy::count_order &order, std::uint64_t fence,
                                     const send_permit &permit) override
    {
        json body{{"service", order.pool}, {"zone", order.zone}, {"desired", order.count}};
        if (order.tenure == kernel::state::endpoint_tenure::Cheap)
            body["spot"] = true;
        const std::string path(calls::scale);
        BOOST_LEAF_AUTO(answer, postFenced(m_settings, path, body, fence, permit));
        if (answer.status == httpOk)
            return true;
        // 409: no capacity at the moment, or the platform has seen a higher fencing token; which of
        // the two it is follows from whether this node still holds its lease
        if (answer.status == httpConflict)
            return false;
        return fail(error_kind::OutcomeUnknown, m_settings.address + path,
                    "answered with status " + std::to_string(answer.status)
                            + "; the same count is ordered again");
    }

private:
    driver_settings m_settings;
};

const endpoint_scaler_registry::registration addCounts{
        "platform",
        [](const driver_settings &settings) { return std::make_unique<server_counts>(settings); }};
const endpoint_lister_registry::registration addList{
        "platform",
        [](const driver_settings &settings) { return std::make_unique<server_list>(settings); }};
const usage_sink_registry::registration addUsage{"platform", [](const driver_settings &settings) {
                                                     return std::make_unique<platform_usage_sink>(
                                                             settings);
                                                 }};

} // namespace

} // namespace yuccascale::platform
