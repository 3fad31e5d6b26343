#include "yuccascale/cli/operator_client.hpp"

#include "yuccascale/cli/flags.hpp"
#include "yuccascale/kernel/json_text.hpp"
#include "yuccascale/runtime/settings.hpp"

#include <httplib.h>
#include <openssl/rand.h>

#include <array>
#include <thread>

namespace yuccascale::cli {

using kernel::error_kind;
using kernel::fail;
using kernel::json;
using kernel::result;

namespace {

using clock_type = std::chrono::steady_clock;

constexpr int connectTimeoutSeconds = 1;
constexpr kernel::milliseconds retryInterval{200};

/// Errors after which another node, or the same one a little later, may accept the request.
bool isRetryable(error_kind kind)
{
    return kind == error_kind::Unavailable || kind == error_kind::NotLeader
            || kind == error_kind::NotReady || kind == error_kind::OutcomeUnknown
            || kind == error_kind::Overloaded;
}

error_kind errorKindFromName(const std::string &name)
{
    for (int number = 0; number <= static_cast<int>(error_kind::QuotaExceeded); ++number) {
        const auto kind = static_cast<error_kind>(number);
        if (kernel::errorKindName(kind) == name)
            return kind;
    }
    return error_kind::Internal;
}

/// A response holds the result itself, a command_result that was not accepted, or an error.
result<json> parseResponse(const std::string &address, const httplib::Response &response)
{
    json body = json::parse(response.body, nullptr, false);
    if (body.is_object() && body.contains("error")) {
        const json &problem = body["error"];
        return fail(errorKindFromName(problem.value("kind", "")), address,
                    problem.value("message", ""));
    }
    if (response.status / 100 == 2 && !body.is_discarded())
        return body;
    if (body.is_object() && body.contains("accepted")) {
        const auto outcome = body.get<kernel::state::command_result>();
        return fail(outcome.kind, address, outcome.message);
    }
    return fail(
            error_kind::Internal, address,
            "HTTP status " + std::to_string(response.status)
                    + " without a JSON body; check that this is the callers' address of a node");
}

} // namespace

operator_client::operator_client(std::vector<std::string> addresses, std::string operatorKey,
                                 kernel::milliseconds timeout)
    : m_addresses(std::move(addresses))
    , m_operatorKey(std::move(operatorKey))
    , m_timeout(timeout)
{ }

result<operator_client> operator_client::fromFlags()
{
    BOOST_LEAF_AUTO(addresses, addressesFromFlag());
    if (FLAGS_operator_key_file.empty())
        return fail(error_kind::InvalidArgument, "command line",
                    "no operator key; add --operator-key-file=FILE");
    BOOST_LEAF_AUTO(operatorKey, runtime::readSecret(FLAGS_operator_key_file));
    BOOST_LEAF_AUTO(timeout, timeoutFromFlag());
    return operator_client(addresses, operatorKey, timeout);
}

result<kernel::state::table_set> operator_client::tables() const
{
    BOOST_LEAF_AUTO(answer, get("/operator/tables"));
    return answer.get<kernel::state::table_set>();
}

result<kernel::state::table_set> operator_client::tablesAt(const std::string &address) const
{
    BOOST_LEAF_AUTO(answer, sendTo(address, {"GET", "/operator/tables", {}, {}}));
    return answer.get<kernel::state::table_set>();
}

result<kernel::state::command_result> operator_client::edit(const kernel::state::edit_tables &edit,
                                                            const std::string &operationId) const
{
    BOOST_LEAF_AUTO(answer, post("/operator/edit", json(edit), operationId));
    auto outcome = answer.get<kernel::state::command_result>();
    if (!outcome.accepted)
        return fail(outcome.kind, "edit", outcome.message);
    return outcome;
}

result<json> operator_client::get(const std::string &path) const
{
    return send({"GET", path, {}, {}});
}

result<json> operator_client::post(const std::string &path, const json &body,
                                   const std::string &operationId) const
{
    return send({"POST", path, kernel::toText(body), operationId});
}

result<json> operator_client::send(const operator_request &request) const
{
    const clock_type::time_point retryDeadline = clock_type::now() + m_timeout;
    kernel::error problem;
    do {
        for (const std::string &address : m_addresses) {
            json answer;
            const auto attempt = [&]() -> result<void> {
                BOOST_LEAF_ASSIGN(answer, sendTo(address, request));
                return {};
            };
            if (kernel::succeeded(attempt, problem))
                return answer;
            if (!isRetryable(problem.kind))
                return fail(problem.kind, problem.where, problem.message);
        }
        std::this_thread::sleep_for(retryInterval);
    } while (clock_type::now() < retryDeadline);
    return fail(problem.kind, problem.where, problem.message);
}

result<json> operator_client::sendTo(const std::string &address,
                                     const operator_request &request) const
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(connectTimeoutSeconds);
    client.set_read_timeout(m_timeout);
    httplib::Request message;
    message.method = request.method;
    message.path = request.path;
    message.body = request.body;
    message.set_header("Authorization", "Bearer " + m_operatorKey);
    if (!request.operationId.empty())
        message.set_header("Idempotency-Key", request.operationId);
    if (!request.body.empty())
        message.set_header("Content-Type", "application/json");
    const httplib::Result reply = client.send(message);
    if (reply)
        return parseResponse(address, reply.value());
    const bool sent = reply.error() != httplib::Error::Connection
            && reply.error() != httplib::Error::ConnectionTimeout;
    if (sent && request.method != "GET")
        return fail(
                error_kind::OutcomeUnknown, address,
                "the request was sent but no answer arrived; check its outcome with 'yuccascale "
                "status'");
    return fail(
            error_kind::Unavailable, address,
            "no answer from the node; check that it runs and that this is its callers' address");
}

std::string newOperationId()
{
    std::array<unsigned char, 16> bytes{};
    if (RAND_bytes(bytes.data(), bytes.size()) != 1)
        std::abort();
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string out = "op-";
    for (const unsigned char byte : bytes) {
        out += digits[byte >> 4U];
        out += digits[byte & 0xfU];
    }
    return out;
}

} // namespace yuccascale::cli
