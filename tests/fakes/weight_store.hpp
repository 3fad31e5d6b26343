#pragma once

#include "fakes/standin.hpp"

#include <cstdint>
#include <mutex>
#include <string>

/// \file
/// \brief A weight store that allows one fetch per interval.

namespace yuccascale::fakes {

struct weight_store_settings
{
    std::string name = "weights";
    int port = 0;
    std::int64_t intervalMs = 1'000;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(weight_store_settings, name, port, intervalMs)
};

class weight_store final : public standin
{
public:
    weight_store(weight_store_settings settings, const history &eventHistory);

private:
    [[nodiscard]] http_reply handle(const http_request &request);

    weight_store_settings m_settings;
    const history &m_history;
    std::mutex m_mutex;
    std::int64_t m_nextFetchMs = 0;
    http_server m_server;
};

} // namespace yuccascale::fakes
