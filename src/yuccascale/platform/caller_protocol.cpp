#include "yuccascale/http/caller_protocol.hpp"

#include "yuccascale/kernel/json.hpp"
#include "yuccascale/platform/names.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>

/// \file
/// \brief How the platform's callers speak to an entry.

namespace yuccascale::platform {

namespace {

using namespace kernel::requests;
using kernel::error_kind;
using kernel::fail;
using kernel::json;
using kernel::result;
using net::header_list;
using net::http_reply;
using net::http_request;

const header_list jsonHeaders{{"Content-Type", "application/json"}};

/// Set by the entry or meant for it, so never passed on as a caller sent them.
constexpr std::array<std::string_view, 15> entryHeaders{headers::timeLeft,
                                                        headers::lastEventId,
                                                        headers::authorization,
                                                        headers::organisation,
                                                        headers::expectedServer,
                                                        headers::urgency,
                                                        "Content-Length",
                                                        headers::stage,
                                                        headers::kvSource,
                                                        "X-Expect-Version",
                                                        "X-Pin-Ms",
                                                        "X-Hold",
                                                        "X-Kv-Backup",
                                                        headers::cacheSource,
                                                        headers::notRun};

[[nodiscard]] bool passedOn(std::string_view name) noexcept
{
    return !net::isHopByHop(name) && std::ranges::none_of(entryHeaders, [&](std::string_view own) {
        return net::sameName(own, name);
    });
}

/// Reads a whole number; \returns false when \a text is none.
template<typename Number>
[[nodiscard]] bool readNumber(std::string_view text, Number &out, int base = 10) noexcept
{
    Number value{};
    const char *end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value, base);
    if (text.empty() || read.ec != std::errc() || read.ptr != end)
        return false;
    out = value;
    return true;
}

[[nodiscard]] std::string_view untilComma(std::string_view &rest) noexcept
{
    const std::string_view item = rest.substr(0, rest.find(','));
    rest.remove_prefix(std::min(item.size() + 1, rest.size()));
    return item;
}

void readPrompt(const http_request &from, request &subject)
{
    std::string_view counts = from.header(headers::tokenCounts);
    subject.promptTokens = 1;
    subject.outputTokens = 1;
    static_cast<void>(readNumber(untilComma(counts), subject.promptTokens));
    static_cast<void>(readNumber(untilComma(counts), subject.outputTokens));
    std::int64_t expected = 0;
    if (readNumber(from.header(headers::expectedOutput), expected) && expected > 0)
        subject.outputTokens = std::min(subject.outputTokens, expected);
    std::string_view parts = from.header(headers::promptParts);
    while (!parts.empty()) {
        const std::string_view item = untilComma(parts);
        const std::size_t colon = std::min(item.find(':'), item.size());
        prompt_part part;
        if (!readNumber(item.substr(0, colon), part.id, 16)
            || !readNumber(item.substr(std::min(colon + 1, item.size())), part.tokens))
            break;
        subject.parts.push_back(part);
    }
}

[[nodiscard]] std::string_view keyOf(const http_request &from) noexcept
{
    const std::string_view text = from.header(headers::authorization);
    return text.starts_with(keyScheme) ? text.substr(keyScheme.size()) : std::string_view();
}

/// The status says more than the error's kind: 503 promises that the request has not run.
[[nodiscard]] int statusOf(const refusal &reason) noexcept
{
    switch (reason.kind) {
    case error_kind::Unauthorized:
        return 401;
    case error_kind::NotFound:
        return 404;
    case error_kind::InvalidArgument:
        return 400;
    case error_kind::DeadlineExceeded:
        return reason.mayHaveRun ? 504 : 503;
    default:
        return reason.mayHaveRun || reason.kind == error_kind::OutcomeUnknown ? 502 : 503;
    }
}

[[nodiscard]] std::string secondsText(kernel::nanoseconds time)
{
    const auto milliseconds = std::chrono::ceil<kernel::milliseconds>(time).count();
    std::string fraction = std::to_string(1000 + milliseconds % 1000).substr(1);
    return std::to_string(milliseconds / 1000) + "." + fraction;
}

[[nodiscard]] header_list answerHeaders(const header_list &given)
{
    header_list out;
    for (const auto &field : given) {
        const bool dropped = net::isHopByHop(field.name)
                || net::sameName(field.name, "Content-Length")
                || net::sameName(field.name, headers::load);
        if (!dropped)
            out.push_back(field);
    }
    return out;
}

class platform_protocol final : public http::caller_protocol
{
public:
    [[nodiscard]] std::string_view driverFor(kernel::state::backend_kind) const override
    {
        return "platform";
    }

    [[nodiscard]] bool pollsLoads() const override { return false; }

    [[nodiscard]] std::optional<http_reply>
    answerHere(http::listener_kind listener, const http_request &from,
               const http::entry_facts &facts) const override
    {
        switch (listener) {
        case http::listener_kind::Callers:
            return std::nullopt;
        case http::listener_kind::Readiness:
            if (from.path() == calls::readiness)
                return http_reply{facts.ready ? 200 : 503, {}, {}};
            break;
        case http::listener_kind::Directory:
            if (from.path() == calls::directory)
                return directoryAnswer(from, facts);
            break;
        }
        return http_reply{404, {}, {}};
    }

    [[nodiscard]] result<request> read(http_request &from,
                                       const http::reading_context &context) const override
    {
        request subject;
        BOOST_LEAF_CHECK(findRoute(from, context, subject));
        BOOST_LEAF_CHECK(http::authorise(subject, keyOf(from), context));
        subject.id = std::string(from.header(headers::requestId));
        if (subject.id.empty()) {
            return fail(error_kind::InvalidArgument, std::string(headers::requestId),
                        "missing; give each request an id");
        }
        subject.endpointId = subject.id;
        subject.method = from.method;
        subject.path = from.target;
        subject.streamed = subject.route.streamed;
        subject.usageCommitPoint = usage_commit_point::AtStart;
        subject.lastPieceId = std::string(from.header(headers::lastEventId));
        readPrompt(from, subject);
        subject.receivedAt = context.now;
        subject.deadline = context.now + kernel::milliseconds(timeLimitMs(from, subject.route));
        for (auto &field : from.headers) {
            if (passedOn(field.name))
                subject.headers.push_back(std::move(field));
        }
        subject.body = std::move(from.body);
        subject.fingerprint = fingerprintOf(subject);
        return subject;
    }

    [[nodiscard]] std::string idOf(const http_request &from,
                                   const http::reading_context &) const override
    {
        return std::string(from.header(headers::requestId));
    }

    [[nodiscard]] http_reply refused(const refusal &reason, const std::string &id,
                                     std::span<const http::offered_address>) const override
    {
        const json body{{"error",
                         {{"kind", kernel::errorKindName(reason.kind)},
                          {"message", reason.message},
                          {"may_have_run", reason.mayHaveRun}}}};
        http_reply reply{statusOf(reason), jsonHeaders, body.dump()};
        if (!id.empty())
            reply.headers.push_back({std::string(headers::requestId), id});
        if (reply.status == 503 && reason.retryAfter > kernel::nanoseconds::zero())
            reply.headers.push_back(
                    {std::string(headers::retryAfter), secondsText(reason.retryAfter)});
        return reply;
    }

    [[nodiscard]] http_reply whole(const request &, const complete_answer &answer) const override
    {
        return {answer.status, answerHeaders(answer.headers), answer.body};
    }

    [[nodiscard]] stream_head head(const http::reading_context &, const request &subject,
                                   const stream_head *given) const override
    {
        if (given == nullptr)
            return {502, {{std::string(headers::requestId), subject.id}}};
        return {given->status, answerHeaders(given->headers)};
    }

    [[nodiscard]] std::string piece(const std::string &payload) const override { return payload; }
    [[nodiscard]] std::string last(const std::string &payload) const override { return payload; }

    [[nodiscard]] std::optional<std::string>
    broken(const refusal &, const std::string &,
           std::span<const http::offered_address>) const override
    {
        return std::nullopt;
    }

private:
    [[nodiscard]] static http_reply directoryAnswer(const http_request &,
                                                    const http::entry_facts &facts)
    {
        if (facts.addresses.empty())
            return {503, {}, {}};
        json addresses = json::array();
        for (const http::offered_address &one : facts.addresses)
            addresses.push_back(one.address);
        const double ttl = std::chrono::duration<double>(facts.addressTtl).count();
        return {200, jsonHeaders, json{{"addresses", addresses}, {"ttl_s", ttl}}.dump()};
    }

    [[nodiscard]] static result<void>
    findRoute(const http_request &from, const http::reading_context &context, request &subject)
    {
        if (!context.view.tables || !context.view.fresh(context.now)) {
            return fail(error_kind::NotReady, "tables",
                        "this entry cannot confirm its tables now; try another address");
        }
        const std::string_view host = from.header("Host");
        const state_route *route
                = context.routes->find(host.substr(0, host.find(':')), from.path());
        if (route == nullptr)
            return fail(error_kind::NotFound, "route", "no route for this host and path");
        subject.route = *route;
        const std::string_view id = from.header(headers::requestId);
        subject.route.pool = selectPool(*route, XXH3_64bits(id.data(), id.size()));
        return {};
    }

    using state_route = kernel::state::route;

    [[nodiscard]] static std::int64_t timeLimitMs(const http_request &from,
                                                  const state_route &route) noexcept
    {
        std::int64_t left = route.deadlineMs;
        std::int64_t stated = 0;
        if (readNumber(from.header(headers::timeLeft), stated))
            left = std::min(left, std::max<std::int64_t>(stated, 0));
        return left;
    }

    /// The same path, caller and body make the same request, whatever its id.
    [[nodiscard]] static std::string fingerprintOf(const request &subject)
    {
        const std::string text = subject.route.name + "\n" + subject.method + "\n" + subject.path
                + "\n" + subject.organisation + "\n";
        const auto head = XXH3_128bits(text.data(), text.size());
        const auto body = XXH3_128bits_withSeed(subject.body.data(), subject.body.size(),
                                                head.low64 ^ head.high64);
        return std::to_string(body.high64) + "-" + std::to_string(body.low64);
    }
};

const http::caller_protocol_registry::registration addPlatform{
        "platform", [] { return std::make_unique<platform_protocol>(); }};

} // namespace

} // namespace yuccascale::platform
