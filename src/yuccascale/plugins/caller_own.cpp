#include "yuccascale/http/caller_protocol.hpp"
#include "yuccascale/kernel/requests/event_stream.hpp"
#include "yuccascale/kernel/requests/resume_token.hpp"

#include <array>

/// \file
/// \brief Caller protocol "own", defined by this project (docs/interfaces.md).

namespace yuccascale::plugins {

namespace {

using namespace http;
using namespace kernel::requests;
using net::header_list;
using net::http_reply;
using net::http_request;

constexpr std::string_view servicePrefix = "/s/";
constexpr std::string_view streamEndMarker = "[DONE]";
const header_list jsonHeaders{{"Content-Type", "application/json"}};
const header_list textHeaders{{"Content-Type", "text/plain; version=0.0.4"}};

[[nodiscard]] std::vector<std::string> parametersOf(std::string_view query)
{
    std::vector<std::string> out;
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(pair.size() + 1, query.size()));
        const std::string_view name = pair.substr(0, pair.find('='));
        out.push_back(std::string(name) + "=" + net::queryParameter(pair, name));
    }
    return out;
}

/// \returns the message without its body.
[[nodiscard]] caller_message messageFrom(const http_request &request)
{
    caller_message message;
    message.method = request.method;
    message.target = request.target;
    message.path = std::string(request.path());
    message.parameters = parametersOf(request.query());
    message.authorization = std::string(request.header("Authorization"));
    message.contentType = std::string(request.header("Content-Type"));
    message.idempotencyKey = std::string(request.header("Idempotency-Key"));
    message.requestId = std::string(request.header("X-Request-Id"));
    message.resumeToken = std::string(request.header("X-Resume-Token"));
    message.resumeFrom = std::string(request.header("X-Resume-From"));
    return message;
}

[[nodiscard]] bool isModelPath(std::string_view path) noexcept
{
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

[[nodiscard]] header_list retryHeaders(const refusal &reason, const std::string &id)
{
    header_list headers = jsonHeaders;
    headers.push_back({"X-Request-Id", id});
    if (reason.retryAfter > kernel::nanoseconds::zero()) {
        const auto wholeSeconds = std::chrono::ceil<kernel::seconds>(reason.retryAfter).count();
        headers.push_back({"Retry-After", std::to_string(wholeSeconds)});
    }
    return headers;
}

class native_protocol final : public caller_protocol
{
public:
    [[nodiscard]] std::string_view driverFor(kernel::state::backend_kind kind) const override
    {
        return kind == kernel::state::backend_kind::Model ? "engine" : "service";
    }

    [[nodiscard]] bool pollsEndpointLoad() const override { return true; }

    [[nodiscard]] std::optional<http_reply> answerLocally(listener_kind,
                                                          const http_request &httpRequest,
                                                          const entry_status &status) const override
    {
        const std::string_view path = httpRequest.path();
        if (httpRequest.method == "GET" && path == "/v1/addresses")
            return http_reply{200, jsonHeaders,
                              addressesBody(status.revision, status.addressTtl,
                                            status.addresses(allAddresses))};
        if (httpRequest.method == "GET" && path == "/metrics")
            return http_reply{200, textHeaders, status.metrics()};
        if (httpRequest.method == "GET" && path == "/health")
            return http_reply{200, jsonHeaders, R"({"alive":true})"};
        if (httpRequest.method == "GET" && path == "/ready")
            return http_reply{status.ready ? 200 : 503, jsonHeaders,
                              status.ready ? R"({"ready":true})" : R"({"ready":false})"};
        const bool routed = (isModelPath(path) && httpRequest.method == "POST")
                || (path.starts_with(servicePrefix) && path.size() > servicePrefix.size());
        if (routed)
            return std::nullopt;
        const refusal reason{kernel::error_kind::NotFound,
                             "this path does not exist; docs/interfaces.md lists the paths",
                             false,
                             {}};
        return errorReply(reason, std::string(httpRequest.header("X-Request-Id")),
                          status.addresses(allAddresses));
    }

    [[nodiscard]] kernel::result<request> readRequest(http_request &httpRequest,
                                                      const reading_context &context) const override
    {
        caller_message message = messageFrom(httpRequest);
        message.body = std::move(httpRequest.body);
        auto read = isModelPath(message.path) ? readModelRequest(message, context)
                                              : readServiceRequest(message, context);
        if (!read)
            httpRequest.body = std::move(message.body); // it may be read again
        return read;
    }

    [[nodiscard]] std::string callerRequestId(const http_request &httpRequest,
                                              const reading_context &context) const override
    {
        return requestIdOf(messageFrom(httpRequest), context);
    }

    [[nodiscard]] http_reply
    errorReply(const refusal &reason, const std::string &id,
               std::span<const offered_address> otherAddresses) const override
    {
        return {statusOf(reason.kind), retryHeaders(reason, id),
                errorBody(reason, id, otherAddresses)};
    }

    [[nodiscard]] http_reply wholeReply(const request &callerRequest,
                                        complete_answer answer) const override
    {
        header_list headers{{"X-Request-Id", callerRequest.id}};
        if (!answer.contentType.empty())
            headers.push_back({"Content-Type", answer.contentType});
        return {answer.status, std::move(headers), std::move(answer.body)};
    }

    [[nodiscard]] stream_head streamHead(const reading_context &context,
                                         const request &callerRequest,
                                         const stream_head *) const override
    {
        const std::string token
                = issueResumeToken(context.secret,
                                   {callerRequest.organisation, callerRequest.id,
                                    callerRequest.fingerprint, callerRequest.resumeFrom});
        return {200,
                {{"Content-Type", "text/event-stream"},
                 {"X-Request-Id", callerRequest.id},
                 {"X-Resume-Token", token}}};
    }

    [[nodiscard]] std::string streamPiece(const std::string &payload) const override
    {
        return formatSseEvent(payload);
    }

    [[nodiscard]] std::string streamEnd(const std::string &payload) const override
    {
        return formatSseEvent(payload) + formatSseEvent(streamEndMarker);
    }

    [[nodiscard]] std::optional<std::string>
    brokenStreamEnd(const refusal &reason, const std::string &id,
                    std::span<const offered_address> otherAddresses) const override
    {
        return formatSseEvent(errorBody(reason, id, otherAddresses));
    }
};

const caller_protocol_registry::registration addNative{
        "own", [] { return std::make_unique<native_protocol>(); }};

} // namespace

} // namespace yuccascale::plugins
