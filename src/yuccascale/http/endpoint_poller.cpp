#include "yuccascale/http/endpoint_poller.hpp"

#include "yuccascale/kernel/requests/events.hpp"

#include <set>
#include <utility>

namespace yuccascale::http {

using namespace kernel::requests;
using kernel::milliseconds;

namespace {

constexpr milliseconds scheduleInterval{50};
constexpr int schedulesPerPoll = 4;
constexpr milliseconds loadTimeout{1'000};
constexpr std::size_t loadThreads = 32;

class direct_load_source final : public load_source
{
public:
    explicit direct_load_source(caller_services &services)
        : m_services(services)
        , m_workers(loadThreads)
    { }

    void ask(const listed_endpoint &endpoint) override
    {
        {
            const std::scoped_lock guard(m_mutex);
            if (!m_asked.insert(endpoint.name).second)
                return; // its last answer is still due
        }
        m_workers.run([this, endpoint] {
            askNow(endpoint);
            const std::scoped_lock guard(m_mutex);
            m_asked.erase(endpoint.name);
        });
    }

private:
    void askNow(const listed_endpoint &endpoint)
    {
        outbound_request load;
        load.method = "GET";
        load.path = "/load";
        const endpoint_reply reply = endpoint_client::call(endpoint.address, load, loadTimeout);
        if (!reply.answered || reply.status != 200)
            return;
        endpoint_report report;
        kernel::error problem;
        const kernel::instant received = m_services.clock.now();
        const bool readable = kernel::succeeded(
                [&]() -> kernel::result<void> {
                    BOOST_LEAF_ASSIGN(
                            report,
                            m_services.driverOf(endpoint.kind).loadReport(received, reply.body));
                    return {};
                },
                problem);
        if (readable && m_services.pools->report(endpoint.pool, endpoint.name, report))
            m_services.events.record(endpointLeaving, {{"endpoint", endpoint.name}});
    }

    caller_services &m_services;
    std::mutex m_mutex;
    std::set<std::string> m_asked;
    worker_pool m_workers;
};

} // namespace

std::unique_ptr<load_source> makeDirectLoadSource(caller_services &services)
{
    return std::make_unique<direct_load_source>(services);
}

void followTables(caller_services &services)
{
    const kernel::control_view view = services.control.view();
    if (!view.tables)
        return;
    const std::uint64_t revision = view.tables->revision;
    std::uint64_t known = services.revision;
    while (revision > known) {
        if (!services.revision.compare_exchange_weak(known, revision))
            continue;
        services.pools->setTables(*view.tables);
        return;
    }
}

endpoint_poller::endpoint_poller(caller_services &services, std::unique_ptr<load_source> source)
    : m_services(services)
    , m_source(std::move(source))
    , m_thread([this] { run(); })
{ }

endpoint_poller::~endpoint_poller()
{
    shutdown();
}

void endpoint_poller::shutdown()
{
    {
        const std::scoped_lock guard(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
    m_source.reset();
}

void endpoint_poller::run()
{
    std::unique_lock guard(m_mutex);
    for (int round = 0; !m_stopping; ++round) {
        guard.unlock();
        followTables(m_services);
        m_services.pools->scheduleAll();
        if (round % schedulesPerPoll == 0) {
            for (const listed_endpoint &endpoint : m_services.pools->endpoints())
                m_source->ask(endpoint);
        }
        guard.lock();
        m_wake.wait_for(guard, scheduleInterval, [this] { return m_stopping; });
    }
}

} // namespace yuccascale::http
