#include "yuccascale/http/operator_routes.hpp"

#include "yuccascale/http/caller_answers.hpp"
#include "yuccascale/http/events.hpp"
#include "yuccascale/kernel/json_text.hpp"
#include "yuccascale/kernel/state/key_digest.hpp"
#include "yuccascale/runtime/worker_pool.hpp"

#include <boost/asio/post.hpp>
#include <openssl/crypto.h>

#include <array>
#include <utility>

namespace yuccascale::http {

using namespace kernel;

namespace {

constexpr seconds submitTimeout{5};
constexpr std::size_t workerThreads = 4;
constexpr std::string_view pathPrefix = "/operator/";

void answerJson(net::http_reply &response, int status, const json &body)
{
    response = {status, {{"Content-Type", "application/json"}}, kernel::toText(body)};
}

void answerError(net::http_reply &response, const error &problem)
{
    answerJson(response, statusOf(problem.kind),
               {{"error",
                 {{"kind", errorKindName(problem.kind)},
                  {"where", problem.where},
                  {"message", problem.message},
                  {"may_have_run", problem.kind == error_kind::OutcomeUnknown}}}});
}

/// The handlers of the operator interface.
class operator_handlers
{
private:
    using handler_type = void (operator_handlers::*)(const net::http_request &, net::http_reply &);

    /// A call of the interface.
    struct operator_call
    {
        std::string_view method;
        std::string_view path;
        handler_type handler;
    };

    static const std::array<operator_call, 6> calls;

public:
    explicit operator_handlers(operator_services services)
        : m_services(std::move(services))
    { }

    /// Answers a request whose path begins with the operators' prefix.
    void answer(const net::http_request &request, net::http_reply &response);

    void tables(const net::http_request &request, net::http_reply &response);
    void edit(const net::http_request &request, net::http_reply &response);
    void createKey(const net::http_request &request, net::http_reply &response);
    void status(const net::http_request &request, net::http_reply &response);
    void explain(const net::http_request &request, net::http_reply &response);
    void shutdown(const net::http_request &request, net::http_reply &response);

private:
    [[nodiscard]] bool authorised(const net::http_request &request) const;
    [[nodiscard]] result<state::command_result> submitEdit(const std::string &operationId,
                                                           state::edit_tables edit);
    [[nodiscard]] result<json> readBody(const net::http_request &request) const;
    [[nodiscard]] result<std::uint64_t> currentRevision() const;
    void answerEdit(net::http_reply &response, const std::string &operationId,
                    const state::command_result &answer);

    operator_services m_services;
};

bool operator_handlers::authorised(const net::http_request &request) const
{
    const std::string presented = std::string(request.header("Authorization"));
    const std::string expected = "Bearer " + m_services.operatorKey;
    if (m_services.operatorKey.empty())
        return false;
    return presented.size() == expected.size()
            && CRYPTO_memcmp(presented.data(), expected.data(), expected.size()) == 0;
}

const std::array<operator_handlers::operator_call, 6> operator_handlers::calls{
        {{"GET", "/operator/tables", &operator_handlers::tables},
         {"POST", "/operator/edit", &operator_handlers::edit},
         {"POST", "/operator/keys", &operator_handlers::createKey},
         {"GET", "/operator/status", &operator_handlers::status},
         {"GET", "/operator/explain", &operator_handlers::explain},
         {"POST", "/operator/shutdown", &operator_handlers::shutdown}}};

void operator_handlers::answer(const net::http_request &request, net::http_reply &response)
{
    if (!authorised(request)) {
        m_services.events.record(operatorRefused, {{"path", request.path()}});
        answerError(response,
                    {error_kind::Unauthorized, "Authorization",
                     "operator key missing or wrong; send 'Authorization: Bearer OPERATOR_KEY'"});
        return;
    }
    for (const operator_call &call : calls) {
        if (call.method == request.method && call.path == request.path())
            return (this->*call.handler)(request, response);
    }
    answerError(response,
                {error_kind::NotFound, std::string(request.path()),
                 "no such call; see docs/interfaces.md"});
}

void operator_handlers::tables(const net::http_request &, net::http_reply &response)
{
    const control_view view = m_services.control.view();
    if (view.tables)
        answerJson(response, 200, *view.tables);
    else
        answerError(response,
                    {error_kind::NotReady, "tables",
                     "no confirmed revision is in force at this node yet; retry at another node"});
}

result<json> operator_handlers::readBody(const net::http_request &request) const
{
    json body = json::parse(request.body, nullptr, false);
    if (body.is_discarded() || !body.is_object())
        return fail(error_kind::InvalidArgument, "body", "not a JSON object; send one");
    return body;
}

result<state::command_result> operator_handlers::submitEdit(const std::string &operationId,
                                                            state::edit_tables edit)
{
    edit.wallMs = m_services.clock.wallNow().time_since_epoch().count();
    return m_services.control.submit({operationId, std::move(edit)},
                                     m_services.clock.now() + submitTimeout);
}

void operator_handlers::answerEdit(net::http_reply &response, const std::string &operationId,
                                   const state::command_result &answer)
{
    m_services.events.record(editAnswered,
                             {{"operation", operationId},
                              {"accepted", answer.accepted ? "yes" : "no"},
                              {"revision", answer.revision},
                              {"message", answer.message}});
    answerJson(response, answer.accepted ? 200 : statusOf(answer.kind), answer);
}

void operator_handlers::edit(const net::http_request &request, net::http_reply &response)
{
    const std::string operationId = std::string(request.header("Idempotency-Key"));
    error problem;
    state::command_result answer;
    const bool submitted = succeeded(
            [&]() -> result<void> {
                if (operationId.empty()) {
                    return fail(
                            error_kind::InvalidArgument, "Idempotency-Key",
                            "header missing; send an operation id in it, and the same on a resend");
                }
                BOOST_LEAF_AUTO(body, readBody(request));
                if (!body.contains("fromRevision")) {
                    return fail(error_kind::InvalidArgument, "fromRevision",
                                "field missing; set it to the revision that was edited");
                }
                try {
                    BOOST_LEAF_ASSIGN(answer,
                                      submitEdit(operationId, body.get<state::edit_tables>()));
                } catch (const json::exception &parseError) {
                    return fail(error_kind::InvalidArgument, "body", parseError.what());
                }
                return {};
            },
            problem);
    if (submitted)
        answerEdit(response, operationId, answer);
    else
        answerError(response, problem);
}

result<std::uint64_t> operator_handlers::currentRevision() const
{
    const control_view view = m_services.control.view();
    if (!view.tables)
        return fail(error_kind::NotReady, "tables",
                    "no confirmed revision is in force at this node; retry at another node");
    return view.tables->revision;
}

void operator_handlers::createKey(const net::http_request &request, net::http_reply &response)
{
    error problem;
    json out;
    const bool created = succeeded(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(body, readBody(request));
                BOOST_LEAF_AUTO(revision, currentRevision());
                const std::string id = body.value("id", "");
                const std::string organisation = body.value("organisation", "");
                BOOST_LEAF_AUTO(key, state::makeKey());
                state::edit_tables edit;
                edit.fromRevision = body.value("fromRevision", revision);
                edit.putKeys.push_back({id, organisation, state::keyDigest(key)});
                // only the key's digest is stored, so a resend creates a new key under a new
                // operation id
                BOOST_LEAF_AUTO(answer, submitEdit("key-" + state::keyDigest(key), edit));
                if (!answer.accepted)
                    return fail(answer.kind, "key/" + id, answer.message);
                m_services.events.record(keyCreated,
                                         {{"key_id", id}, {"organisation", organisation}});
                out = {{"key", key}, {"result", answer}};
                return {};
            },
            problem);
    if (created)
        answerJson(response, 200, out);
    else
        answerError(response, problem);
}

void operator_handlers::status(const net::http_request &, net::http_reply &response)
{
    answerJson(response, 200, m_services.status());
}

void operator_handlers::explain(const net::http_request &request, net::http_reply &response)
{
    const std::string id = net::queryParameter(request.query(), "id");
    if (id.empty()) {
        answerError(response,
                    {error_kind::InvalidArgument, "id",
                     "query parameter missing; send ?id= with a request id, order id or endpoint"});
        return;
    }
    answerJson(response, 200, m_services.explain(id));
}

void operator_handlers::shutdown(const net::http_request &, net::http_reply &response)
{
    m_services.beginShutdown();
    answerJson(response, 202, {{"state", "leaving"}});
}

} // namespace

class operator_interface::implementation
{
public:
    explicit implementation(const operator_services &services)
        : handlers(services)
        , workers(workerThreads, services.workers)
    { }

    operator_handlers handlers;
    runtime::worker_pool workers;
};

operator_interface::operator_interface(const operator_services &services)
    : m_implementation(std::make_unique<implementation>(services))
{ }

operator_interface::~operator_interface() = default;

bool operator_interface::tryServe(const std::shared_ptr<net::http_exchange> &exchange)
{
    if (!exchange->request().path().starts_with(pathPrefix))
        return false;
    // commits block, so they don't run on the loop
    m_implementation->workers.run([this, exchange] {
        net::http_reply response;
        try {
            m_implementation->handlers.answer(exchange->request(), response);
        } catch (const std::exception &problem) {
            answerError(response, {error_kind::Internal, "operator call", problem.what()});
        }
        boost::asio::post(exchange->loop(), [exchange, response = std::move(response)]() mutable {
            exchange->reply(std::move(response));
        });
    });
    return true;
}

} // namespace yuccascale::http
