#include "fakes/standin.hpp"

#include "fakes/endpoint_orders.hpp"
#include "fakes/engine.hpp"
#include "fakes/plain_service.hpp"
#include "fakes/usage_reports.hpp"
#include "fakes/vm_list.hpp"
#include "fakes/weight_store.hpp"

#include <array>
#include <string_view>

namespace yuccascale::fakes {

namespace {

template<typename Standin, typename Settings>
std::unique_ptr<standin> make(const kernel::json &settings, const history &eventHistory)
{
    return std::make_unique<Standin>(settings.get<Settings>(), eventHistory);
}

struct standin_kind
{
    std::string_view name;
    std::unique_ptr<standin> (*make)(const kernel::json &, const history &);
};

constexpr std::array<standin_kind, 6> kinds{{
        {"engine", make<engine, engine_settings>},
        {"service", make<plain_service, plain_service_settings>},
        {"weights", make<weight_store, weight_store_settings>},
        {"endpoints", make<endpoint_orders, endpoint_orders_settings>},
        {"usage", make<usage_reports, usage_reports_settings>},
        {"vms", make<vm_list, vm_list_settings>},
}};

} // namespace

std::unique_ptr<standin> makeStandin(const std::string &kind, const kernel::json &settings,
                                     const history &eventHistory)
{
    for (const standin_kind &candidate : kinds) {
        if (candidate.name == kind)
            return candidate.make(settings, eventHistory);
    }
    return nullptr;
}

std::vector<std::string> standinKinds()
{
    std::vector<std::string> names;
    names.reserve(kinds.size());
    for (const standin_kind &kind : kinds)
        names.emplace_back(kind.name);
    return names;
}

http_reply jsonReply(int status, const kernel::json &body)
{
    return {status, body.dump(), {}, "application/json", {}};
}

http_reply truncatedReply()
{
    http_reply reply;
    reply.stream = [](const write_piece &) { return false; };
    return reply;
}

std::string lastSegment(const std::string &path)
{
    return path.substr(path.rfind('/') + 1);
}

} // namespace yuccascale::fakes
