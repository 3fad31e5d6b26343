#include "yuccascale/http/caller_server.hpp"

#include "yuccascale/http/caller_request.hpp"
#include "yuccascale/http/caller_session.hpp"
#include "yuccascale/http/endpoint_poller.hpp"
#include "yuccascale/kernel/requests/event_stream.hpp"
#include "yuccascale/kernel/requests/events.hpp"
#include "yuccascale/kernel/requests/resume_token.hpp"

#include <httplib.h>

#include <charconv>
#include <utility>

namespace yuccascale::http {

using namespace kernel::requests;
using kernel::milliseconds;

namespace {

constexpr std::size_t keepAliveRequests = 1'000'000;
constexpr std::size_t endpointThreadsPerCaller = 2;
/// How often a stream without pieces is checked for a caller that left.
constexpr milliseconds callerCheckInterval{250};
constexpr const char *jsonType = "application/json";

/// Connections that are told to come back later, when all others are taken.
constexpr std::size_t refusingThreads = 16;
constexpr milliseconds overloadRetryAfter{1'000};

/// Set on threads that only refuse.
thread_local bool refusesOnly = false;

/// Serves each connection on a thread of the pool, and refuses the ones beyond it at once.
class caller_tasks final : public httplib::TaskQueue
{
public:
    explicit caller_tasks(std::size_t threads)
        : m_threads(threads)
        , m_workers(threads)
        , m_refusers(refusingThreads)
    { }

    void enqueue(std::function<void()> work) override
    {
        if (m_workers.load() < m_threads) {
            m_workers.run(std::move(work));
            return;
        }
        m_refusers.run([work = std::move(work)] {
            refusesOnly = true;
            work();
        });
    }

    void shutdown() override
    {
        m_workers.shutdown();
        m_refusers.shutdown();
    }

private:
    std::size_t m_threads;
    worker_pool m_workers;
    worker_pool m_refusers;
};

[[nodiscard]] caller_message messageFrom(const httplib::Request &request)
{
    caller_message message;
    message.method = request.method;
    message.target = request.target;
    message.path = request.path;
    for (const auto &[name, value] : request.params)
        message.parameters.push_back(std::string(name).append("=").append(value));
    message.authorization = request.get_header_value("Authorization");
    message.contentType = request.get_header_value("Content-Type");
    message.idempotencyKey = request.get_header_value("Idempotency-Key");
    message.requestId = request.get_header_value("X-Request-Id");
    message.resumeToken = request.get_header_value("X-Resume-Token");
    message.resumeFrom = request.get_header_value("X-Resume-From");
    message.body = request.body;
    return message;
}

[[nodiscard]] entry_position positionOf(const runtime::settings &settings)
{
    entry_position position{0, 0};
    for (const runtime::node_settings &node : settings.nodes) {
        if (!node.roles.entry)
            continue;
        if (node.name < settings.node)
            ++position.index;
        ++position.count;
    }
    position.count = std::max(position.count, 1);
    return position;
}

[[nodiscard]] int portOf(const std::string &address)
{
    int port = 0;
    const std::size_t colon = address.rfind(':') + 1;
    std::from_chars(address.data() + colon, address.data() + address.size(), port);
    return port;
}

} // namespace

class caller_server::implementation
{
public:
    explicit implementation(caller_server_parts parts);

    [[nodiscard]] kernel::result<void> start();
    void beginShutdown();
    [[nodiscard]] bool drained() const;
    void stop();
    [[nodiscard]] std::vector<offered_address> addresses(bool others) const;
    [[nodiscard]] caller_pools &pools() noexcept { return *m_services.pools; }

    httplib::Server server;
    int port = 0;

private:
    using reader = kernel::result<request> (*)(const caller_message &, const reading_context &);

    void addRoutes();
    void boundCallers();
    void serve(reader read, const httplib::Request &from, httplib::Response &to);
    void answer(request subject, double weight, httplib::Response &to);
    void answerStream(const std::shared_ptr<caller_session> &session, caller_output first,
                      httplib::Response &to);
    void answerError(const refusal &reason, const std::string &id, httplib::Response &to) const;
    void answerUnread(const httplib::Request &from, httplib::Response &to) const;
    [[nodiscard]] bool writeOutput(const caller_session &session, const caller_output &output,
                                   httplib::DataSink &sink) const;
    [[nodiscard]] bool ready() const;

    caller_server_parts m_parts;
    caller_services m_services;
    std::unique_ptr<endpoint_poller> m_poller;
    std::atomic<std::int64_t> m_leavingSince{0}; ///< boot clock; 0 while it stays
    std::thread m_listener;
};

caller_server::implementation::implementation(caller_server_parts parts)
    : m_parts(std::move(parts))
    , m_services{m_parts.clock,
                 m_parts.events,
                 m_parts.control,
                 m_parts.settings.node + "#" + std::to_string(m_parts.incarnation),
                 m_parts.secret,
                 nullptr,
                 {m_parts.settings.node + "#" + std::to_string(m_parts.incarnation),
                  m_parts.settings.platform.usageWindow, m_parts.clock, m_parts.control,
                  m_parts.events},
                 endpoint_client(endpointThreadsPerCaller
                                 * static_cast<std::size_t>(m_parts.settings.http.threads)),
                 nullptr,
                 nullptr,
                 {},
                 {},
                 {},
                 {},
                 {}}
{ }

kernel::result<void> caller_server::implementation::start()
{
    const runtime::settings &settings = m_parts.settings;
    BOOST_LEAF_ASSIGN(m_services.pools,
                      caller_pools::make(settings.policy, m_parts.clock, positionOf(settings)));
    BOOST_LEAF_ASSIGN(m_services.engineDriver, endpoint_driver_registry::make("engine"));
    BOOST_LEAF_ASSIGN(m_services.serviceDriver, endpoint_driver_registry::make("service"));
    boundCallers();
    addRoutes();
    const std::string &address = settings.self().callerAddress;
    const std::string ip = address.substr(0, address.rfind(':'));
    port = portOf(address);
    if (port == 0)
        port = server.bind_to_any_port(ip);
    else if (!server.bind_to_port(ip, port))
        port = -1;
    if (port < 0) {
        return kernel::fail(kernel::error_kind::Unavailable, address,
                            "cannot listen there; free the port or change 'callers' of this node");
    }
    m_poller = std::make_unique<endpoint_poller>(m_services, makeDirectLoadSource(m_services));
    m_listener = std::thread([this] { server.listen_after_bind(); });
    while (!server.is_running()) // stop() before that would be lost
        std::this_thread::yield();
    return {};
}

void caller_server::implementation::boundCallers()
{
    const runtime::http_settings &bounds = m_parts.settings.http;
    server.new_task_queue = [threads = bounds.threads] {
        return new caller_tasks(static_cast<std::size_t>(threads));
    };
    server.set_payload_max_length(static_cast<std::size_t>(bounds.maxBodyBytes));
    server.set_read_timeout(bounds.readTimeout);
    server.set_write_timeout(bounds.writeTimeout);
    server.set_keep_alive_max_count(keepAliveRequests);
    server.set_tcp_nodelay(true);
    server.set_error_handler(
            httplib::Server::Handler([this](const httplib::Request &from, httplib::Response &to) {
                if (to.body.empty())
                    answerUnread(from, to);
            }));
}

/// Answers what no route has read.
void caller_server::implementation::answerUnread(const httplib::Request &from,
                                                 httplib::Response &to) const
{
    const int status = to.status;
    refusal reason{kernel::error_kind::InvalidArgument,
                   "the request cannot be read; check its method, path and size",
                   false,
                   {}};
    if (status == 404)
        reason = {kernel::error_kind::NotFound, "no such path; see docs/interfaces.md", false, {}};
    answerError(reason, from.get_header_value("X-Request-Id"), to);
    to.status = status;
}

void caller_server::implementation::addRoutes()
{
    server.Get("/v1/addresses", [this](const httplib::Request &, httplib::Response &to) {
        const kernel::control_view view = m_parts.control.view();
        to.set_content(addressesBody(view.tables ? view.tables->revision : 0,
                                     m_parts.settings.http.addressTtl, addresses(false)),
                       jsonType);
    });
    server.Get("/health", [](const httplib::Request &, httplib::Response &to) {
        to.set_content("{\"alive\":true}", jsonType);
    });
    server.Get("/metrics", [this](const httplib::Request &, httplib::Response &to) {
        m_services.metrics.setGauge("yuccascale_requests_waiting",
                                    static_cast<double>(m_services.pools->waiting()));
        m_services.metrics.setGauge("yuccascale_requests_running", m_services.running);
        to.set_content(m_services.metrics.text(), "text/plain; version=0.0.4");
    });
    server.Get("/ready", [this](const httplib::Request &, httplib::Response &to) {
        const bool serving = ready();
        to.status = serving ? 200 : 503;
        to.set_content(serving ? "{\"ready\":true}" : "{\"ready\":false}", jsonType);
    });
    const auto model = [this](const httplib::Request &from, httplib::Response &to) {
        serve(&readModelRequest, from, to);
    };
    server.Post("/v1/chat/completions", model);
    server.Post("/v1/completions", model);
    const auto service = [this](const httplib::Request &from, httplib::Response &to) {
        serve(&readServiceRequest, from, to);
    };
    constexpr const char *servicePaths = "/s/.+";
    server.Get(servicePaths, service);
    server.Post(servicePaths, service);
    server.Put(servicePaths, service);
    server.Patch(servicePaths, service);
    server.Delete(servicePaths, service);
}

bool caller_server::implementation::ready() const
{
    return m_leavingSince == 0 && m_parts.control.view().fresh(m_parts.clock.now());
}

std::vector<offered_address> caller_server::implementation::addresses(bool others) const
{
    std::vector<offered_address> offered;
    for (const runtime::node_settings &node : m_parts.settings.nodes) {
        const bool self = node.name == m_parts.settings.node;
        const bool left = self && (others || m_leavingSince != 0);
        const bool refused = !self && m_parts.offers && !m_parts.offers(node);
        if (node.roles.entry && !left && !refused)
            offered.push_back({node.callerAddress, node.zone, 1});
    }
    return offered;
}

void caller_server::implementation::serve(reader read, const httplib::Request &from,
                                          httplib::Response &to)
{
    if (refusesOnly) {
        to.set_header("Connection", "close");
        answerError({kernel::error_kind::Overloaded,
                     "all connections of this entry are taken; try another of the addresses",
                     from.has_header("Idempotency-Key"), overloadRetryAfter},
                    from.get_header_value("X-Request-Id"), to);
        return;
    }
    const caller_message message = messageFrom(from);
    const reading_context context{m_parts.control.view(), m_parts.clock.now(), m_services.entry,
                                  m_services.nextTicket++, m_services.secret};
    followTables(m_services);
    request subject;
    kernel::error problem;
    const bool readable = kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_ASSIGN(subject, read(message, context));
                return {};
            },
            problem);
    if (!readable) {
        const std::string id = requestIdOf(message, context);
        // a key or token may show that an earlier send got further than this one
        const bool sentBefore = !message.idempotencyKey.empty() || !message.resumeToken.empty();
        const bool mayHaveRun = sentBefore && problem.kind != kernel::error_kind::InvalidArgument;
        const refusal reason{problem.kind, problem.where + ": " + problem.message, mayHaveRun, {}};
        m_parts.events.record(requestRefused,
                              {{"request_id", id},
                               {"kind", kernel::errorKindName(problem.kind)},
                               {"may_have_run", static_cast<int>(mayHaveRun)}});
        answerError(reason, id, to);
        return;
    }
    const double weight = weightOf(context.view, subject.organisation);
    answer(std::move(subject), weight, to);
}

void caller_server::implementation::answer(request subject, double weight, httplib::Response &to)
{
    to.set_header("X-Request-Id", subject.id);
    if (subject.streamed) {
        to.set_header("X-Resume-Token",
                      issueResumeToken(m_services.secret,
                                       {subject.organisation, subject.id, subject.fingerprint,
                                        subject.resumeFrom}));
    }
    auto session = std::make_shared<caller_session>(m_services, std::move(subject), weight);
    std::optional<caller_output> first;
    while (!first && !session->ended())
        first = session->next(callerCheckInterval);
    if (!first)
        return;
    if (const auto *refused = std::get_if<refuse>(&*first)) {
        answerError(refused->reason, session->subject().id, to);
    } else if (const auto *whole = std::get_if<give_answer>(&*first)) {
        to.status = whole->answer.status;
        to.set_content(whole->answer.body, whole->answer.contentType);
    } else {
        answerStream(session, std::move(*first), to);
    }
}

void caller_server::implementation::answerStream(const std::shared_ptr<caller_session> &session,
                                                 caller_output first, httplib::Response &to)
{
    auto pending = std::make_shared<std::optional<caller_output>>(std::move(first));
    to.set_chunked_content_provider(
            "text/event-stream",
            [this, session, pending](std::size_t, httplib::DataSink &sink) {
                std::optional<caller_output> output = std::exchange(*pending, std::nullopt);
                if (!output)
                    output = session->next(callerCheckInterval);
                if (!output && session->ended())
                    return false;
                const bool reached
                        = output ? writeOutput(*session, *output, sink) : sink.is_writable();
                if (!reached)
                    session->callerLeft();
                return reached;
            },
            [session](bool) {});
}

bool caller_server::implementation::writeOutput(const caller_session &session,
                                                const caller_output &output,
                                                httplib::DataSink &sink) const
{
    std::string text;
    bool last = true;
    if (const auto *piece = std::get_if<forward>(&output)) {
        text = framed(piece->payload);
        last = false;
    } else if (const auto *finish = std::get_if<finish_stream>(&output)) {
        text = framed(finish->payload) + framed("[DONE]");
    } else if (const auto *refused = std::get_if<refuse>(&output)) {
        text = framed(errorBody(refused->reason, session.subject().id, addresses(true)));
    }
    const bool written = sink.write(text.data(), text.size());
    if (written && last)
        sink.done();
    return written;
}

void caller_server::implementation::answerError(const refusal &reason, const std::string &id,
                                                httplib::Response &to) const
{
    to.status = statusOf(reason.kind);
    to.set_header("X-Request-Id", id);
    if (reason.retryAfter > kernel::nanoseconds::zero()) {
        const auto wholeSeconds = std::chrono::ceil<kernel::seconds>(reason.retryAfter).count();
        to.set_header("Retry-After", std::to_string(wholeSeconds));
    }
    to.set_content(errorBody(reason, id, addresses(true)), jsonType);
}

void caller_server::implementation::beginShutdown()
{
    std::int64_t staying = 0;
    const std::int64_t now = m_parts.clock.now().time_since_epoch().count();
    if (m_leavingSince.compare_exchange_strong(staying, std::max<std::int64_t>(now, 1)))
        m_parts.events.record(entryLeaving, {{"node", m_parts.settings.node}});
}

bool caller_server::implementation::drained() const
{
    if (m_leavingSince == 0)
        return false;
    const kernel::instant since{kernel::nanoseconds(m_leavingSince)};
    const bool addressExpired = m_parts.clock.now() - since >= m_parts.settings.http.addressTtl;
    return addressExpired && m_services.running == 0;
}

void caller_server::implementation::stop()
{
    server.stop();
    if (m_listener.joinable())
        m_listener.join();
    if (m_poller)
        m_poller->shutdown();
    m_services.endpoints.shutdown();
    m_services.commits.shutdown();
}

caller_server::caller_server(caller_server_parts parts)
    : m_implementation(std::make_unique<implementation>(std::move(parts)))
{ }

caller_server::~caller_server()
{
    stop();
}

httplib::Server &caller_server::server() noexcept
{
    return m_implementation->server;
}

kernel::result<void> caller_server::start()
{
    return m_implementation->start();
}

void caller_server::beginShutdown()
{
    m_implementation->beginShutdown();
}

bool caller_server::drained() const
{
    return m_implementation->drained();
}

void caller_server::stop()
{
    m_implementation->stop();
}

int caller_server::port() const noexcept
{
    return m_implementation->port;
}

std::vector<offered_address> caller_server::addresses() const
{
    return m_implementation->addresses(false);
}

caller_pools &caller_server::pools() noexcept
{
    return m_implementation->pools();
}

} // namespace yuccascale::http
