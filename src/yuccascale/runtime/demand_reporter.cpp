#include "yuccascale/runtime/demand_reporter.hpp"

#include "yuccascale/wire/demand_codec.hpp"

#include <utility>

namespace yuccascale::runtime {

using namespace kernel;

namespace {

constexpr milliseconds reportInterval{1'000};
constexpr seconds reportValidity{5};

} // namespace

demand_reporter::demand_reporter(
        const settings &settings, clock &clock, transport &transport, control_client &control,
        std::function<std::vector<requests::demand_report>()> measureDemand,
        std::shared_ptr<periodic_thread> thread)
    : m_settings(settings)
    , m_clock(clock)
    , m_transport(transport)
    , m_control(control)
    , m_measureDemand(std::move(measureDemand))
    , m_demand(reportValidity)
    , m_task(
              reportInterval, [this] { report(); }, std::move(thread))
{
    m_transport.handle(channel::Demand, [this](std::string_view peer, std::string_view payload) {
        receive(peer, wire::decodeDemands(payload));
        return std::string();
    });
}

policy::pool_demand demand_reporter::demandOn(std::string_view pool) const
{
    const std::lock_guard lock(m_mutex);
    return m_demand.poolDemand(m_clock.now(), pool);
}

policy::measured_work demand_reporter::workOn(std::string_view pool, int entriesRunning) const
{
    const std::lock_guard lock(m_mutex);
    return m_work.work(m_clock.now(), pool, entriesRunning);
}

void demand_reporter::report()
{
    std::vector<requests::demand_report> reports = m_measureDemand();
    std::erase_if(reports, [](const auto &report) { return report.idle(); });
    const std::string leader = m_control.view().leader;
    if (leader == m_settings.linkAddress)
        receive(leader, reports);
    else if (!leader.empty() && !reports.empty())
        m_transport.post(leader, channel::Demand, wire::encodeDemands(reports));
}

void demand_reporter::receive(std::string_view entry,
                              const std::vector<requests::demand_report> &reports)
{
    const std::lock_guard lock(m_mutex);
    m_demand.update(m_clock.now(), entry, reports);
    m_work.update(m_clock.now(), entry, reports);
}

} // namespace yuccascale::runtime
