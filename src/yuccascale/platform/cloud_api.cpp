#include "yuccascale/kernel/json.hpp"
#include "yuccascale/platform/names.hpp"
#include "yuccascale/plugins/platform_http.hpp"

/// \file
/// \brief The platform's list of servers, and its interface for usage reports.

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
/// Pages of one reading; a list without an end is given up.
constexpr int maxPages = 200;

/// \returns nothing for an entry that another writer has left incomplete.
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
        return std::nullopt; // the other entries hold
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
            BOOST_LEAF_AUTO(document, plugins::question(m_settings, m_settings.address, path));
            const auto entries = document.find("instances");
            if (entries == document.end() || !entries->is_array())
                return fail(error_kind::Corrupt, m_settings.address + path,
                            "not a list of servers");
            for (const json &entry : *entries) {
                if (auto endpoint = endpointFrom(entry))
                    out.push_back(std::move(*endpoint));
            }
            const auto next = document.find("next");
            if (next == document.end() || !next->is_string() || next->get<std::string>().empty())
                return out;
            path = std::string(calls::servers) + "?page_token=" + next->get<std::string>();
        }
        return fail(error_kind::Corrupt, m_settings.address, "its list of servers has no end");
    }

private:
    driver_settings m_settings;
};

/// Makes a call that is the duty of one node at a time.
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
                              {{std::string(headers::leaseHolder), settings.holder},
                               {std::string(headers::fencingToken), std::to_string(fence)}},
                              permit});
}

/// The counts of a window's figures by organisation.
[[nodiscard]] json countsFrom(const json &figures)
{
    json counts = json::object();
    for (const json &line : figures.at("usage")) {
        const auto organisation = line.at("organisation").get<std::string>();
        if (organisation.empty())
            continue; // a route open to all is billed to nobody
        const auto answers = line.at("answers").get<std::uint64_t>();
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
            return fail(error_kind::Corrupt, "usage window", "its figures cannot be read");
        const json body{{"window_id", window.windowStartMs / length},
                        {"counts", countsFrom(figures)}};
        const std::string path(calls::usage);
        BOOST_LEAF_AUTO(answer, postFenced(m_settings, path, body, fence, permit));
        if (answer.status == httpOk)
            return usage_reply::Accepted;
        if (answer.status == httpConflict)
            return fail(error_kind::Forbidden, m_settings.address + path,
                        "another node has used a higher fence; it reports from now on");
        return fail(error_kind::OutcomeUnknown, m_settings.address + path,
                    "answered with status " + std::to_string(answer.status)
                            + "; the same figures are sent again");
    }

private:
    driver_settings m_settings;
};

class server_counts final : public endpoint_counts
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
        // the same status says that a higher fence was seen; the lease tells the two apart
        if (answer.status == httpConflict)
            return false;
        return fail(error_kind::OutcomeUnknown, m_settings.address + path,
                    "answered with status " + std::to_string(answer.status)
                            + "; the number is ordered again");
    }

private:
    driver_settings m_settings;
};

const endpoint_counts_registry::registration addCounts{
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
