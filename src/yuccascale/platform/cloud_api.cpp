#include "yuccascale/kernel/json_text.hpp"
#include "yuccascale/net/address.hpp"
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

constexpr std::int64_t maxSlots = 4'096;
/// Of an entry's id, in the log.
constexpr std::size_t maxLoggedBytes = 64;

[[nodiscard]] std::string requiredText(const json &entry, const char *name)
{
    auto text = entry.at(name).get<std::string>();
    if (text.empty())
        throw json::other_error::create(501, std::string(name) + " is empty", &entry);
    return text;
}

[[nodiscard]] std::int64_t requiredNumber(const json &entry, const char *name, std::int64_t least,
                                          std::int64_t most)
{
    const auto number = kernel::wholeNumber(entry.at(name), least, most);
    if (!number)
        throw json::other_error::create(501, std::string(name) + " is out of range", &entry);
    return *number;
}

/// Throws json::exception when a field is missing or invalid, as in an entry of another writer.
[[nodiscard]] listed_endpoint endpointFrom(const json &entry)
{
    listed_endpoint out;
    const std::string state = requiredText(entry, "state");
    if (state != "ready" && state != "draining")
        throw json::other_error::create(501, "unknown state", &entry);
    out.pool = requiredText(entry, "service");
    out.row.name = requiredText(entry, "id");
    out.row.address = requiredText(entry, "address");
    out.row.zone = entry.at("zone").get<std::string>();
    out.row.slots = static_cast<int>(requiredNumber(entry, "slots", 1, maxSlots));
    out.row.draining = state == "draining";
    out.row.softwareVersion = entry.at("version").get<std::string>();
    // "born" is when the server process started, in milliseconds on the wall clock
    if (entry.contains("born"))
        out.row.startedMs = requiredNumber(entry, "born", 0, INT64_MAX);
    if (entry.value("spot", false))
        out.row.tenure = kernel::state::endpoint_tenure::Cheap;
    if (entry.value("stage", std::string()) == "prefill")
        out.row.role = kernel::state::engine_role::Prefill;
    if (!net::isAddress(out.row.address))
        throw json::other_error::create(501, "address is no IP:port", &entry);
    return out;
}

/// \returns the entry's id as it stands there, since the entry cannot be read as a whole.
[[nodiscard]] std::string loggedName(std::string_view entry)
{
    const auto id = kernel::memberText(entry, "id");
    return std::string(id.value_or(entry).substr(0, maxLoggedBytes));
}

void addEntry(std::string_view text, endpoint_listing &out)
{
    const json entry = kernel::readForeign(text);
    if (entry.is_discarded())
        return out.ignored.push_back({loggedName(text), "no readable JSON"});
    try {
        out.endpoints.push_back(endpointFrom(entry));
    } catch (const json::exception &problem) {
        out.ignored.push_back({loggedName(text), problem.what()});
    }
}

class server_list final : public endpoint_lister
{
public:
    explicit server_list(const driver_settings &settings)
        : m_settings(settings)
    { }

    [[nodiscard]] result<endpoint_listing> read() override
    {
        endpoint_listing out;
        std::string path(calls::servers);
        for (int page = 0; page < maxPages; ++page) {
            BOOST_LEAF_AUTO(body, plugins::getText(m_settings, m_settings.address, path));
            const auto list = kernel::memberText(body, "instances");
            const auto entries = list ? kernel::elementTexts(*list) : std::nullopt;
            if (!entries)
                return fail(error_kind::Corrupt, m_settings.address + path,
                            "the answer has no array 'instances'; check that the address is the "
                            "platform's");
            for (const std::string_view entry : *entries)
                addEntry(entry, out);
            const json next
                    = kernel::readForeign(kernel::memberText(body, "next").value_or("null"));
            if (!next.is_string() || next.get<std::string>().empty())
                return out;
            path = std::string(calls::servers) + "?page_token=" + next.get<std::string>();
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
                              kernel::toText(body),
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
