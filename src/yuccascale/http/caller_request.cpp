#include "yuccascale/http/caller_request.hpp"

#include "yuccascale/kernel/json_members.hpp"
#include "yuccascale/kernel/requests/key_check.hpp"
#include "yuccascale/kernel/requests/resume_token.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace yuccascale::http {

namespace {

using kernel::error_kind;
using kernel::fail;
using kernel::json;
using kernel::result;
using namespace kernel::requests;

constexpr std::string_view bearerScheme = "Bearer ";
constexpr std::string_view keyPrefix = "yk_";
constexpr std::string_view servicePrefix = "/s/";
constexpr std::array<std::string_view, 4> keyParameters{
        "access_token=", "api_key=", "apikey=", "authorization="};
constexpr std::size_t maxRequestIdBytes = 128;
constexpr std::size_t maxIdempotencyKeyBytes = 255;
constexpr std::int64_t bytesPerToken = 4;
constexpr std::int64_t defaultOutputTokens = 256;
constexpr std::size_t digestDigits = 8;
/// Of a name that a caller sent, in an error.
constexpr std::size_t maxNameBytesInError = 128;
constexpr std::array<std::string_view, 3> modelMembers{"model", "stream", "max_tokens"};

[[nodiscard]] bool isValidRequestId(const std::string &id)
{
    const auto isAllowed = [](char character) {
        const bool alphanumeric = (character >= '0' && character <= '9')
                || (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        return alphanumeric || character == '-' || character == '_' || character == '.';
    };
    return !id.empty() && id.size() <= maxRequestIdBytes && std::ranges::all_of(id, isAllowed);
}

/// Two callers may choose the same id; the ids sent to endpoints must differ.
[[nodiscard]] std::string endpointIdOf(const std::string &id, const reading_context &context)
{
    const std::string digest
            = digestOf(context.entry + "/" + std::to_string(context.requestNumber));
    return id + "~" + digest.substr(0, digestDigits);
}

[[nodiscard]] std::string bearerKeyOf(const caller_message &message)
{
    const std::string_view text = message.authorization;
    if (!text.starts_with(bearerScheme))
        return {};
    return std::string(text.substr(bearerScheme.size()));
}

[[nodiscard]] std::string lowerCase(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return text;
}

/// \returns whether a parameter holds a key; queries are logged by servers along the way.
[[nodiscard]] bool containsKey(const std::string &parameter, const kernel::control_view &view)
{
    const std::string name = lowerCase(parameter.substr(0, parameter.find('=') + 1));
    if (std::ranges::find(keyParameters, name) != keyParameters.end())
        return true;
    const std::string value = parameter.substr(parameter.find('=') + 1);
    return value.starts_with(keyPrefix) || !organisationOf(*view.tables, digestOf(value)).empty();
}

[[nodiscard]] result<void> refuseLeakedKey(const caller_message &message, const std::string &key,
                                           const kernel::control_view &view)
{
    for (const std::string &parameter : message.parameters) {
        if (containsKey(parameter, view)) {
            return fail(error_kind::InvalidArgument, "query",
                        "the query contains a key; replace the key, since queries are logged, and "
                        "send it in the Authorization header only");
        }
    }
    if (key.empty())
        return {};
    const std::array<const std::string *, 6> forwardedFields{
            &message.path,        &message.target,         &message.body,
            &message.contentType, &message.idempotencyKey, &message.requestId};
    for (const std::string *text : forwardedFields) {
        if (text->find(key) != std::string::npos) {
            return fail(error_kind::InvalidArgument, "key",
                        "the key appears outside the Authorization header; send it only there");
        }
    }
    return {};
}

[[nodiscard]] result<void> setOrganisation(request &callerRequest, const caller_message &message,
                                           const reading_context &context)
{
    const std::string key = bearerKeyOf(message);
    BOOST_LEAF_CHECK(refuseLeakedKey(message, key, context.view));
    return authorise(callerRequest, key, context);
}

[[nodiscard]] result<kernel::state::route>
findRoute(const reading_context &context, const std::string &name, kernel::state::backend_kind kind)
{
    if (!context.view.tables) {
        return fail(error_kind::NotReady, "tables",
                    "this entry has no tables yet; retry at another entry address");
    }
    const auto found = context.view.tables->routes.find(name);
    if (found == context.view.tables->routes.end() || found->second.kind != kind)
        return fail(error_kind::NotFound, "route/" + name.substr(0, maxNameBytesInError),
                    "no such route; check its name");
    return found->second;
}

[[nodiscard]] result<void> setCommonFields(request &callerRequest, const caller_message &message,
                                           const reading_context &context)
{
    if (message.idempotencyKey.size() > maxIdempotencyKeyBytes) {
        return fail(error_kind::InvalidArgument, "Idempotency-Key",
                    "longer than 255 bytes; use a shorter one");
    }
    callerRequest.id = requestIdOf(message, context);
    callerRequest.endpointId = endpointIdOf(callerRequest.id, context);
    callerRequest.method = message.method;
    callerRequest.contentType = message.contentType;
    callerRequest.idempotencyKey = message.idempotencyKey;
    callerRequest.receivedAt = context.now;
    callerRequest.deadline = context.now + kernel::milliseconds(callerRequest.route.deadlineMs);
    return {};
}

[[nodiscard]] std::string fingerprintOf(const request &callerRequest, std::string_view body)
{
    std::string text = callerRequest.route.name + "\n" + callerRequest.method + "\n"
            + callerRequest.path + "\n";
    text += body;
    return digestOf(text);
}

[[nodiscard]] result<void> resume(request &callerRequest, const caller_message &message,
                                  const reading_context &context)
{
    if (message.resumeToken.empty())
        return {};
    BOOST_LEAF_AUTO(token,
                    readResumeToken(context.secret, message.resumeToken, callerRequest.organisation,
                                    callerRequest.fingerprint));
    const std::string &text = message.resumeFrom;
    std::int64_t resumeFrom = token.delivered;
    std::from_chars(text.data(), text.data() + text.size(), resumeFrom);
    if (resumeFrom < token.delivered) {
        return fail(error_kind::InvalidArgument, "X-Resume-From",
                    "lower than the number of pieces that the resume token was issued for; send "
                    "the number that arrived");
    }
    callerRequest.id = token.requestId;
    callerRequest.endpointId = endpointIdOf(callerRequest.id, context);
    callerRequest.resumeFrom = resumeFrom;
    callerRequest.sentBefore = true;
    return {};
}

} // namespace

result<void> authorise(request &callerRequest, std::string_view key, const reading_context &context)
{
    if (callerRequest.route.access == kernel::state::route_access::Open)
        return {};
    if (!context.view.fresh(context.now)) {
        return fail(error_kind::NotReady, "tables",
                    "this entry cannot confirm that its tables are current; retry at another entry "
                    "address");
    }
    callerRequest.keyDigest = digestOf(key);
    callerRequest.organisation = organisationOf(*context.view.tables, callerRequest.keyDigest);
    if (key.empty() || callerRequest.organisation.empty()) {
        return fail(error_kind::Unauthorized, "Authorization",
                    "no valid key; send 'Authorization: Bearer KEY'");
    }
    return {};
}

std::string requestIdOf(const caller_message &message, const reading_context &context)
{
    if (isValidRequestId(message.requestId))
        return message.requestId;
    const std::string digest
            = digestOf(context.entry + "#" + std::to_string(context.requestNumber));
    return "r-" + digest.substr(0, 2 * digestDigits);
}

double organisationWeight(const kernel::control_view &view, const std::string &organisation)
{
    if (!view.tables)
        return 1.0;
    const auto found = view.tables->organisations.find(organisation);
    return found == view.tables->organisations.end() ? 1.0 : found->second.weight;
}

result<request> readModelRequest(caller_message &message, const reading_context &context)
{
    auto members = kernel::readScalarMembers(message.body, modelMembers);
    if (!members || !(*members)["model"].is_string()) {
        return fail(error_kind::InvalidArgument, "body",
                    "not a JSON object with a string 'model'; set it to the name of a route");
    }
    request callerRequest;
    BOOST_LEAF_ASSIGN(callerRequest.route,
                      findRoute(context, (*members)["model"].get_ref<const std::string &>(),
                                kernel::state::backend_kind::Model));
    BOOST_LEAF_CHECK(setOrganisation(callerRequest, message, context));
    BOOST_LEAF_CHECK(setCommonFields(callerRequest, message, context));
    callerRequest.path = message.path;
    callerRequest.streamed = (*members)["stream"] == json(true);
    callerRequest.promptTokens = static_cast<std::int64_t>(message.body.size()) / bytesPerToken + 1;
    const json &maxTokens = (*members)["max_tokens"];
    callerRequest.outputTokens = maxTokens.is_number_integer()
            ? std::max<std::int64_t>(1, maxTokens.get<std::int64_t>())
            : defaultOutputTokens;
    callerRequest.fingerprint = fingerprintOf(callerRequest, message.body);
    BOOST_LEAF_CHECK(resume(callerRequest, message, context));
    callerRequest.body = std::move(message.body);
    return callerRequest;
}

result<request> readServiceRequest(caller_message &message, const reading_context &context)
{
    const std::string_view afterPrefix
            = std::string_view(message.target).substr(servicePrefix.size());
    const std::size_t nameEnd = std::min(afterPrefix.find_first_of("/?"), afterPrefix.size());
    request callerRequest;
    BOOST_LEAF_ASSIGN(callerRequest.route,
                      findRoute(context, std::string(afterPrefix.substr(0, nameEnd)),
                                kernel::state::backend_kind::Service));
    BOOST_LEAF_CHECK(setOrganisation(callerRequest, message, context));
    BOOST_LEAF_CHECK(setCommonFields(callerRequest, message, context));
    callerRequest.path = std::string(afterPrefix.substr(nameEnd));
    if (!callerRequest.path.starts_with('/'))
        callerRequest.path.insert(0, "/");
    callerRequest.promptTokens = 1;
    callerRequest.outputTokens = 1;
    callerRequest.fingerprint = fingerprintOf(callerRequest, message.body);
    callerRequest.body = std::move(message.body);
    return callerRequest;
}

} // namespace yuccascale::http
