#pragma once

#include "fakes/standin.hpp"

#include <map>
#include <mutex>
#include <string>

/// \file
/// \brief The usage report interface: bills each window once, and refuses a repeated report of it
///        with different figures.

namespace yuccascale::fakes {

struct usage_reports_settings
{
    std::string name = "usage";
    int port = 0;
    std::uint64_t loseAnswerEvery = 0; ///< every n-th accepted report loses its answer; 0: none

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(usage_reports_settings, name, port, loseAnswerEvery)
};

class usage_reports final : public standin
{
public:
    usage_reports(usage_reports_settings settings, const history &eventHistory);

private:
    [[nodiscard]] http_reply handle(const http_request &request);
    [[nodiscard]] http_reply acceptReport(const std::string &window, const std::string &body);

    usage_reports_settings m_settings;
    const history &m_history;
    std::mutex m_mutex;
    std::uint64_t m_reports = 0;
    std::map<std::string, std::string> m_windows; ///< body of the first report, by window start
    http_server m_server;
};

} // namespace yuccascale::fakes
