#include "yuccascale/http/load_poller.hpp"

#include "yuccascale/kernel/requests/events.hpp"

namespace yuccascale::http {

using namespace kernel::requests;
using kernel::milliseconds;

namespace {

constexpr milliseconds pollInterval{200};
constexpr milliseconds answerTimeout{1'000};

} // namespace

void load_poller::pollDue()
{
    const kernel::instant now = m_services.clock.now();
    if (now < m_nextAt)
        return;
    m_nextAt = now + pollInterval;
    for (const polled_endpoint &endpoint : m_services.pools->endpoints())
        poll(endpoint);
}

void load_poller::poll(const polled_endpoint &endpoint)
{
    if (!m_pending.insert(endpoint.name).second)
        return;
    outbound_request loadRequest;
    loadRequest.method = "GET";
    loadRequest.path = "/load";
    const auto done = [this, endpoint](const net::buffered_answer &answer) {
        m_pending.erase(endpoint.name);
        handleAnswer(endpoint, answer);
    };
    static_cast<void>(m_services.loops.front()->endpoints.call(endpoint.address, loadRequest,
                                                               answerTimeout, answerTimeout, done));
}

void load_poller::handleAnswer(const polled_endpoint &endpoint, const net::buffered_answer &answer)
{
    if (!answer.ok())
        return;
    endpoint_report report;
    kernel::error problem;
    const bool readable = kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_ASSIGN(report,
                                  m_services.driverOf(endpoint.kind)
                                          .loadReport(m_services.clock.now(), answer.body));
                return {};
            },
            problem);
    if (readable && m_services.pools->report(endpoint.pool, endpoint.name, report))
        m_services.events.record(endpointLeaving, {{"endpoint", endpoint.name}});
}

} // namespace yuccascale::http
