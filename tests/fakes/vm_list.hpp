#pragma once

#include "fakes/standin.hpp"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

/// \file
/// \brief The platform's list of live and leaving VMs, served with a delay.

namespace yuccascale::fakes {

struct vm_list_settings
{
    std::string name = "vms";
    int port = 0;
    std::int64_t lagMs = 1'000;
    kernel::json vms = kernel::json::array(); ///< rows as in GET /vms

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(vm_list_settings, name, port, lagMs, vms)
};

/// \brief POST /standin/vms replaces the list; GET /vms returns a new list after lagMs.
class vm_list final : public standin
{
public:
    vm_list(vm_list_settings settings, const history &eventHistory);

private:
    struct version
    {
        std::int64_t atMs;
        kernel::json vms;
    };

    [[nodiscard]] http_reply handle(const http_request &request);

    vm_list_settings m_settings;
    const history &m_history;
    std::mutex m_mutex;
    std::deque<version> m_versions; ///< the newest that is at least lagMs old is served
    http_server m_server;
};

} // namespace yuccascale::fakes
