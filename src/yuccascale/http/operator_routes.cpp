#include "yuccascale/http/operator_routes.hpp"

#include "yuccascale/http/caller_answers.hpp"
#include "yuccascale/http/events.hpp"
#include "yuccascale/kernel/state/key_digest.hpp"

#include <httplib.h>
#include <openssl/crypto.h>

#include <utility>

namespace yuccascale::http {

using namespace kernel;

namespace {

constexpr seconds submitTimeout{5};

void answerJson(httplib::Response &response, int status, const json &body)
{
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

void answerError(httplib::Response &response, const error &problem)
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
public:
    explicit operator_handlers(operator_services services)
        : m_services(std::move(services))
    { }

    [[nodiscard]] httplib::Server::Handler
    guarded(void (operator_handlers::*handler)(const httplib::Request &, httplib::Response &));

    void tables(const httplib::Request &request, httplib::Response &response);
    void edit(const httplib::Request &request, httplib::Response &response);
    void createKey(const httplib::Request &request, httplib::Response &response);
    void status(const httplib::Request &request, httplib::Response &response);
    void explain(const httplib::Request &request, httplib::Response &response);
    void shutdown(const httplib::Request &request, httplib::Response &response);

private:
    [[nodiscard]] bool authorised(const httplib::Request &request) const;
    [[nodiscard]] result<state::command_result> submitEdit(const std::string &operationId,
                                                           state::edit_tables edit);
    [[nodiscard]] result<json> readBody(const httplib::Request &request) const;
    [[nodiscard]] result<std::uint64_t> currentRevision() const;
    void answerEdit(httplib::Response &response, const std::string &operationId,
                    const state::command_result &answer);

    operator_services m_services;
};

bool operator_handlers::authorised(const httplib::Request &request) const
{
    const std::string given = request.get_header_value("Authorization");
    const std::string wanted = "Bearer " + m_services.operatorKey;
    return given.size() == wanted.size()
            && CRYPTO_memcmp(given.data(), wanted.data(), wanted.size()) == 0;
}

httplib::Server::Handler operator_handlers::guarded(
        void (operator_handlers::*handler)(const httplib::Request &, httplib::Response &))
{
    return [this, handler](const httplib::Request &request, httplib::Response &response) {
        if (authorised(request)) {
            (this->*handler)(request, response);
            return;
        }
        m_services.events.record(operatorRefused, {{"path", request.path}});
        answerError(response,
                    {error_kind::Unauthorized, "Authorization",
                     "send 'Authorization: Bearer OPERATOR_KEY'"});
    };
}

void operator_handlers::tables(const httplib::Request &, httplib::Response &response)
{
    const control_view view = m_services.control.view();
    if (view.tables)
        answerJson(response, 200, *view.tables);
    else
        answerError(response,
                    {error_kind::NotReady, "tables",
                     "no confirmed revision is in force here yet; ask another node"});
}

result<json> operator_handlers::readBody(const httplib::Request &request) const
{
    json body = json::parse(request.body, nullptr, false);
    if (body.is_discarded() || !body.is_object())
        return fail(error_kind::InvalidArgument, "body", "send a JSON object");
    return body;
}

result<state::command_result> operator_handlers::submitEdit(const std::string &operationId,
                                                            state::edit_tables edit)
{
    edit.wallMs = m_services.clock.wallNow().time_since_epoch().count();
    return m_services.control.submit({operationId, std::move(edit)},
                                     m_services.clock.now() + submitTimeout);
}

void operator_handlers::answerEdit(httplib::Response &response, const std::string &operationId,
                                   const state::command_result &answer)
{
    m_services.events.record(editAnswered,
                             {{"operation", operationId},
                              {"accepted", answer.accepted ? "yes" : "no"},
                              {"revision", answer.revision},
                              {"message", answer.message}});
    answerJson(response, answer.accepted ? 200 : statusOf(answer.kind), answer);
}

void operator_handlers::edit(const httplib::Request &request, httplib::Response &response)
{
    const std::string operationId = request.get_header_value("Idempotency-Key");
    error problem;
    state::command_result answer;
    const bool submitted = succeeded(
            [&]() -> result<void> {
                if (operationId.empty()) {
                    return fail(error_kind::InvalidArgument, "Idempotency-Key",
                                "send an operation id in this header, and the same on a resend");
                }
                BOOST_LEAF_AUTO(body, readBody(request));
                if (!body.contains("fromRevision")) {
                    return fail(error_kind::InvalidArgument, "fromRevision",
                                "name the revision that was edited");
                }
                try {
                    BOOST_LEAF_ASSIGN(answer,
                                      submitEdit(operationId, body.get<state::edit_tables>()));
                } catch (const json::exception &wrong) {
                    return fail(error_kind::InvalidArgument, "body", wrong.what());
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
        return fail(error_kind::NotReady, "tables", "no confirmed revision here; ask another node");
    return view.tables->revision;
}

void operator_handlers::createKey(const httplib::Request &request, httplib::Response &response)
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
                // the key exists nowhere else, so a resend is a new key under a new operation id
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

void operator_handlers::status(const httplib::Request &, httplib::Response &response)
{
    answerJson(response, 200, m_services.status());
}

void operator_handlers::explain(const httplib::Request &request, httplib::Response &response)
{
    const std::string id = request.get_param_value("id");
    if (id.empty()) {
        answerError(response,
                    {error_kind::InvalidArgument, "id",
                     "name a request id, an order id or an endpoint: ?id=..."});
        return;
    }
    answerJson(response, 200, m_services.explain(id));
}

void operator_handlers::shutdown(const httplib::Request &, httplib::Response &response)
{
    m_services.beginShutdown();
    answerJson(response, 202, {{"state", "leaving"}});
}

} // namespace

void addOperatorRoutes(httplib::Server &server, const operator_services &services)
{
    const auto handlers = std::make_shared<operator_handlers>(services);
    const auto keep = [handlers](httplib::Server::Handler handler) {
        return [handlers, handler = std::move(handler)](const httplib::Request &request,
                                                        httplib::Response &response) {
            handler(request, response);
        };
    };
    server.Get("/operator/tables", keep(handlers->guarded(&operator_handlers::tables)));
    server.Post("/operator/edit", keep(handlers->guarded(&operator_handlers::edit)));
    server.Post("/operator/keys", keep(handlers->guarded(&operator_handlers::createKey)));
    server.Get("/operator/status", keep(handlers->guarded(&operator_handlers::status)));
    server.Get("/operator/explain", keep(handlers->guarded(&operator_handlers::explain)));
    server.Post("/operator/shutdown", keep(handlers->guarded(&operator_handlers::shutdown)));
}

} // namespace yuccascale::http
