#include "yuccascale/http/caller_protocol.hpp"
#include "yuccascale/http/operator_protocol.hpp"
#include "yuccascale/kernel/requests/endpoint_driver.hpp"
#include "yuccascale/kernel/requests/key_check.hpp"
#include "yuccascale/kernel/state/machine.hpp"

#include <gtest/gtest.h>

namespace yuccascale::platform {

namespace {

using namespace kernel::requests;
using kernel::error_kind;
using kernel::json;
using kernel::milliseconds;

const char *const documentText = R"({"version":7,
 "routes":[
  {"name":"r1","host":"h.example","path_prefix":"/a/","kind":"streaming","timeout_ms":8000,
   "target_latency_ms":600,"priority":1,"max_attempts":2,"resumable":true,
   "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]},
  {"name":"r2","host":"h.example","path_prefix":"/a/b/","kind":"unsafe","timeout_ms":1500,
   "service":"s3","max_attempts":1}],
 "services":[{"name":"s1","engine":{"models":[{"name":"m"}]}},
             {"name":"s2","engine":{"models":[{"name":"m"}]}},
             {"name":"s3","max_connections":110}],
 "limits":{"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["key-one"],"priority":1}]})";

kernel::state::put_document documentFrom(const std::string &text)
{
    const auto protocol = http::operator_protocol_registry::make("platform").value();
    kernel::state::put_document document;
    kernel::error problem;
    const bool read = kernel::succeeded(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_ASSIGN(document, protocol->readDocument(text));
                return {};
            },
            problem);
    if (!read)
        document.version = 0;
    return document;
}

request subjectOf(bool streamed, bool idempotent)
{
    request subject;
    subject.id = subject.endpointId = "id-1";
    subject.streamed = streamed;
    subject.route.idempotent = idempotent;
    subject.route.claimed = false;
    subject.method = "POST";
    subject.path = "/a/x";
    subject.organisation = "t1";
    return subject;
}

answer_head headOf(int status, header_list headers)
{
    answer_head head;
    head.status = status;
    head.headers = std::move(headers);
    const std::string *id = findHeader(head.headers, "X-Request-Id");
    head.requestId = id ? *id : "";
    head.delimited = true;
    return head;
}

std::unique_ptr<endpoint_driver> driver()
{
    return endpoint_driver_registry::make("platform").value();
}

/// \returns the events that the answer reader creates from one answer.
std::vector<event> eventsOf(const request &subject, const answer_head &head,
                            const std::string &body,
                            head_decision expectedVerdict = head_decision::Take)
{
    const auto reader = driver()->reader(subject, {1, 0, milliseconds(500)});
    std::vector<event> out;
    EXPECT_EQ(reader->head(head, out), expectedVerdict);
    if (expectedVerdict == head_decision::Take) {
        static_cast<void>(reader->feed(body, out));
        reader->end(out);
    }
    return out;
}

const header_list signedHeaders{{"X-Request-Id", "id-1"}, {"X-Server-Seal", "s"}};

http::reading_context contextOf(const std::shared_ptr<const kernel::state::table_set> &tables)
{
    http::reading_context context;
    context.view.tables = tables;
    context.view.freshUntil = kernel::instant(kernel::seconds(10));
    context.now = kernel::instant(kernel::seconds(1));
    context.routes = std::make_shared<route_index>(tables);
    return context;
}

std::shared_ptr<const kernel::state::table_set> tables()
{
    kernel::state::machine machine;
    EXPECT_TRUE(machine.apply(1, {"d", documentFrom(documentText)}).accepted);
    return machine.tables();
}

net::http_request callerRequest(const std::string &target, const std::string &key)
{
    net::http_request httpRequest;
    httpRequest.method = "POST";
    httpRequest.target = target;
    httpRequest.headers = {{"Host", "h.example"},
                           {"X-Request-Id", "id-9"},
                           {"Authorization", "Bearer " + key},
                           {"X-Tenant", "forged"},
                           {"X-Hold", "h"},
                           {"X-Request-Deadline", "700"},
                           {"X-Token-Counts", "1460,80"},
                           {"X-Prompt-Prefix", "5c1e07a2:800,9f:410"},
                           {"X-Model", "m"}};
    return httpRequest;
}

} // namespace

TEST(platform_protocol, readsRouteKeyDeadlineAndPromptAndDropsEntryOnlyHeaders)
{
    const auto protocol = http::caller_protocol_registry::make("platform").value();
    net::http_request httpRequest = callerRequest("/a/b/x?q=1", "key-one");
    const request subject = protocol->readRequest(httpRequest, contextOf(tables())).value();
    EXPECT_EQ(subject.route.name, "r2") << "the route with the longest prefix";
    EXPECT_EQ(subject.organisation, "t1");
    EXPECT_EQ(subject.path, "/a/b/x?q=1");
    EXPECT_EQ(subject.deadline - subject.receivedAt, milliseconds(700));
    EXPECT_FALSE(subject.route.idempotent);
    EXPECT_FALSE(subject.claimed());
    EXPECT_EQ(subject.promptTokens, 1'460);
    ASSERT_EQ(subject.parts.size(), 2U);
    EXPECT_EQ(subject.parts[0].id, 0x5c1e07a2U);
    for (const header_field &field : subject.headers) {
        EXPECT_EQ(field.value.find("key-one"), std::string::npos);
        EXPECT_NE(field.name, "X-Tenant");
        EXPECT_NE(field.name, "X-Hold");
    }
    const outbound_request sent
            = driver()->prepare(subject, {1, 0, milliseconds(650), "12", "i-7"});
    const auto valueOf = [&](std::string_view name) {
        const auto found = std::ranges::find(sent.headers, name, [](const auto &field) {
            return std::string_view(field.first);
        });
        return found == sent.headers.end() ? std::string() : found->second;
    };
    EXPECT_EQ(valueOf("X-Tenant"), "t1");
    EXPECT_EQ(valueOf("X-Expect-Instance"), "i-7");
    EXPECT_EQ(valueOf("X-Request-Deadline"), "650");
    EXPECT_EQ(valueOf("Last-Event-Id"), "12");
    EXPECT_EQ(valueOf("X-Model"), "m");
}

TEST(platform_protocol, refusesUnknownKeysAndRoutesOnlyWhileItsTablesAreFresh)
{
    const auto protocol = http::caller_protocol_registry::make("platform").value();
    const auto kindOf = [&](const std::string &target, const std::string &key, bool fresh) {
        net::http_request httpRequest = callerRequest(target, key);
        http::reading_context context = contextOf(tables());
        if (!fresh)
            context.view.freshUntil = context.now;
        kernel::error problem;
        EXPECT_FALSE(kernel::succeeded([&] { return protocol->readRequest(httpRequest, context); },
                                       problem));
        return problem.kind;
    };
    EXPECT_EQ(kindOf("/a/x", "key-two", true), error_kind::Unauthorized);
    EXPECT_EQ(kindOf("/b/x", "key-one", true), error_kind::NotFound);
    EXPECT_EQ(kindOf("/a/x", "key-two", false), error_kind::NotReady);
    EXPECT_EQ(kindOf("/b/x", "key-one", false), error_kind::NotReady);
}

TEST(platform_protocol, neverAnswers503WhenTheRequestMayHaveRun)
{
    const auto protocol = http::caller_protocol_registry::make("platform").value();
    for (const error_kind kind :
         {error_kind::Overloaded, error_kind::Unavailable, error_kind::NotReady,
          error_kind::DeadlineExceeded, error_kind::Forbidden, error_kind::OutcomeUnknown}) {
        const int ran = protocol->errorReply({kind, "m", true, {}}, "id", {}).status;
        EXPECT_TRUE(ran == 502 || ran == 504) << ran;
    }
    const auto refused = protocol->errorReply(
            {error_kind::Overloaded, "m", false, milliseconds(1'250)}, "id", {});
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(*findHeader(refused.headers, "Retry-After"), "1.250");
}

TEST(platform_protocol, aRequestBeyondTheQuotaGets429AndWhenToReturn)
{
    const auto protocol = http::caller_protocol_registry::make("platform").value();
    const auto refused = protocol->errorReply(
            {error_kind::QuotaExceeded, "m", false, milliseconds(1'250)}, "id", {});
    EXPECT_EQ(refused.status, 429);
    EXPECT_EQ(*findHeader(refused.headers, "Retry-After"), "1.250");
}

/// Guards against a caller that gets more than its quota by a hint, or by counts that cannot be
/// read.
TEST(platform_protocol, statedTokensAreTheSumOfBothCountsWhateverTheHint)
{
    const auto protocol = http::caller_protocol_registry::make("platform").value();
    const auto statedOf = [&](const std::string &counts) {
        net::http_request httpRequest = callerRequest("/a/b/x", "key-one");
        for (auto &field : httpRequest.headers) {
            if (field.name == "X-Token-Counts")
                field.value = counts;
        }
        httpRequest.headers.push_back({"X-Length-Hint", "1"});
        return protocol->readRequest(httpRequest, contextOf(tables())).value().statedTokens;
    };
    EXPECT_EQ(statedOf("1460,80"), 1'540);
    EXPECT_EQ(statedOf(""), std::nullopt);
    EXPECT_EQ(statedOf("1460"), std::nullopt);
    EXPECT_EQ(statedOf("-1460,80"), std::nullopt);
    EXPECT_EQ(statedOf("1460,many"), std::nullopt);
}

namespace {

[[nodiscard]] std::string documentWithTenant(const std::string &fields)
{
    return R"({"version":7,"routes":[],"services":[],"tenants":[{"name":"t1",)" + fields + "}]}";
}

[[nodiscard]] std::vector<kernel::state::token_quota> quotaOf(const std::string &fields)
{
    const auto document = documentFrom(documentWithTenant(fields));
    EXPECT_EQ(document.version, 7U) << fields;
    return document.tables.putOrganisations.front().quota;
}

} // namespace

TEST(platform_document, readsQuotasInTokensAndInRequests)
{
    using kernel::state::token_quota;
    const auto tokens
            = quotaOf(R"("unit":"generate","plain_tokens":200,"rate_per_s":545473,"burst":545473)");
    ASSERT_EQ(tokens.size(), 1U);
    EXPECT_EQ(tokens.front(), (token_quota{545'473, 545'473, true, 200}));
    const auto requests = quotaOf(R"("unit":"request","rate_per_s":20.5,"burst":40)");
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests.front(), (token_quota{20.5, 40, false, 1}));
    EXPECT_EQ(quotaOf(R"("rate_per_s":20)").front(), (token_quota{20, 0, false, 1}));
    EXPECT_TRUE(quotaOf(R"("unit":"generate","rate_per_s":0,"burst":0)").empty());
    EXPECT_TRUE(quotaOf(R"("unit":"generate")").empty());
}

/// Guards against a document that takes effect in part.
TEST(platform_document, aQuotaThatIsNoNumberOrNegativeRefusesTheWholeDocument)
{
    for (const std::string fields :
         {R"("rate_per_s":-1)", R"("rate_per_s":"fast")", R"("rate_per_s":5,"burst":-1)",
          R"("rate_per_s":5,"burst":[1])", R"("unit":7,"rate_per_s":5)", R"("rate_per_s":1e999)",
          R"("unit":"generate","rate_per_s":5,"plain_tokens":-200)"})
        EXPECT_EQ(documentFrom(documentWithTenant(fields)).version, 0U) << fields;
}

TEST(platform_driver, classifiesAnswersByStatusSignatureAndRequestId)
{
    const request plain = subjectOf(false, true);
    EXPECT_TRUE(std::holds_alternative<answer_arrived>(
            eventsOf(plain, headOf(200, signedHeaders), "ok").at(0)));
    const auto failureOf = [&](const answer_head &head, head_decision expectedVerdict) {
        return std::get<attempt_failed>(eventsOf(plain, head, "x", expectedVerdict).at(0)).failure;
    };
    EXPECT_EQ(failureOf(headOf(200, {{"X-Request-Id", "id-1"}}), head_decision::Stop),
              attempt_failure::InvalidAnswer)
            << "a success without a signature is not trusted";
    answer_head rejection = headOf(503, {{"X-Not-Executed", "1"}});
    EXPECT_EQ(failureOf(rejection, head_decision::Stop), attempt_failure::InvalidAnswer)
            << "without an id, it may be a late copy of the rejection of another request";
    rejection.firstOnConnection = true;
    EXPECT_EQ(failureOf(rejection, head_decision::Take), attempt_failure::ReportedNotRun);
    EXPECT_EQ(failureOf(headOf(421, signedHeaders), head_decision::Take),
              attempt_failure::Replaced);
    EXPECT_EQ(failureOf(headOf(500, signedHeaders), head_decision::Take),
              attempt_failure::Answered);
    const header_list encoded{
            {"X-Request-Id", "id-1"}, {"X-Server-Seal", "s"}, {"Content-Encoding", "gzip"}};
    EXPECT_EQ(failureOf(headOf(200, encoded), head_decision::Stop), attempt_failure::InvalidAnswer);
    EXPECT_TRUE(eventsOf(plain, headOf(200, {{"X-Request-Id", "id-0"}}), "", head_decision::Skip)
                        .empty());
}

TEST(platform_driver, forwardsCompleteEventsAndNeverATruncatedOne)
{
    const request streamed = subjectOf(true, true);
    const auto whole = eventsOf(streamed, headOf(200, signedHeaders),
                                "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    ASSERT_EQ(whole.size(), 4U);
    EXPECT_TRUE(std::holds_alternative<stream_began>(whole[0]));
    EXPECT_EQ(std::get<piece_arrived>(whole[2]).pieceId, "2");
    EXPECT_EQ(std::get<piece_arrived>(whole[2]).payload, "id: 2\ndata: b\n\n");
    EXPECT_TRUE(std::holds_alternative<stream_finished>(whole[3]));
    const auto truncated
            = eventsOf(streamed, headOf(200, signedHeaders), "id: 1\ndata: a\n\nid: 2\nda");
    ASSERT_EQ(truncated.size(), 3U);
    EXPECT_EQ(std::get<attempt_failed>(truncated[2]).failure, attempt_failure::InvalidAnswer);
}

/// Guards against another answer, or the beginning of the same one, in the middle of a stream that
/// broke off.
TEST(platform_driver, aStreamGoesOnOnlyWithAStreamThatBeginsAfterItsLastEvent)
{
    const auto eventsOf = [](int status, const std::string &type, const std::string &body) {
        request subject;
        subject.id = subject.endpointId = "id-1";
        subject.streamed = true;
        attempt_context context;
        context.attempt = 2;
        context.resumeFrom = 3;
        context.lastPieceId = "3";
        const auto reader = driver()->reader(subject, context);
        answer_head head = headOf(status, {{"X-Request-Id", "id-1"}, {"X-Server-Seal", "s"}});
        head.contentType = type;
        std::vector<event> out;
        if (reader->head(head, out) == head_decision::Take && reader->feed(body, out))
            reader->end(out);
        return out;
    };
    const auto failsWith = [](const std::vector<event> &events) {
        const auto *failed = events.empty() ? nullptr : std::get_if<attempt_failed>(&events.back());
        return failed != nullptr && failed->failure == attempt_failure::InvalidAnswer;
    };
    const std::string stream = "text/event-stream";
    const auto sound = eventsOf(200, stream, "id: 4\ndata: d\n\n");
    ASSERT_FALSE(sound.empty());
    EXPECT_TRUE(std::holds_alternative<stream_finished>(sound.back()));
    EXPECT_TRUE(failsWith(eventsOf(200, stream, "id: 1\ndata: a\n\n"))) << "from the first event";
    EXPECT_TRUE(failsWith(eventsOf(200, stream, "id: 3\ndata: c\n\n"))) << "the last one again";
    EXPECT_TRUE(failsWith(eventsOf(200, "application/json", "{\"error\":1}\n\n")));
    EXPECT_TRUE(failsWith(eventsOf(204, "", "")));
}

TEST(platform_driver, readsTheKvHandleOfAPromptPrefilledByAnotherServer)
{
    const std::string body = R"({"kv_handle":"3fa","tokens":9,"version":1})";
    const std::string address = "10.0.0.9:80";
    const answer_head head = headOf(200, {{"X-Request-Id", "id-1"}});
    const auto filled = driver()->readPrefillAnswer("id-1", head, body, address);
    ASSERT_TRUE(filled);
    EXPECT_EQ(filled->header.second, "10.0.0.9:80/3fa");
    EXPECT_EQ(filled->release->path, "/kv-handle/3fa");
    EXPECT_FALSE(driver()->readPrefillAnswer("id-1", headOf(503, {{"X-Request-Id", "id-1"}}), "{}",
                                             address));
    EXPECT_FALSE(driver()->readPrefillAnswer("id-1", head, "{", address));
    EXPECT_FALSE(driver()->readPrefillAnswer("id-2", head, body, address))
            << "the handle of another request";
    EXPECT_FALSE(driver()->readPrefillAnswer("id-1", headOf(200, {}), body, address))
            << "an answer that names no request";
}

TEST(platform_driver, readsThatAServerIsLeavingOrWantsAPauseAndIgnoresUnreadableValues)
{
    const auto noticeOf = [](int status, const header_list &headers) {
        return driver()->notice(headOf(status, headers));
    };
    EXPECT_TRUE(noticeOf(200, {{"Server-Leaving", "1"}}).leaving);
    EXPECT_TRUE(noticeOf(503, {{"Server-Leaving", "1"}}).leaving);
    EXPECT_FALSE(noticeOf(200, {}).leaving);
    EXPECT_EQ(noticeOf(503, {{"Retry-After", "1.5"}}).pause, milliseconds(1'500));
    EXPECT_EQ(noticeOf(503, {{"Retry-After", "0"}}).pause, milliseconds(0));
    EXPECT_EQ(noticeOf(429, {{"Retry-After", "2"}}).pause, milliseconds(0))
            << "only a 503 asks for a pause";
    EXPECT_TRUE(noticeOf(503, {{"Retry-After", "0"}}).unreadableHeaders.empty());
    for (const std::string value : {"", "soon", "-1", "inf", "nan", "1e300", "2 s"}) {
        const endpoint_notice notice = noticeOf(503, {{"Retry-After", value}});
        EXPECT_EQ(notice.pause, milliseconds(0)) << value;
        EXPECT_EQ(notice.unreadableHeaders, std::vector<std::string>{"Retry-After"}) << value;
    }
    const endpoint_notice notice = noticeOf(200, {{"Server-Leaving", "perhaps"}});
    EXPECT_FALSE(notice.leaving);
    EXPECT_EQ(notice.unreadableHeaders, std::vector<std::string>{"Server-Leaving"});
}

TEST(platform_driver, readsTheLimitThatAServerNamesInAnyOfItsAnswersAndIgnoresUnreadableValues)
{
    const auto noticeOf = [](int status, const header_list &headers) {
        return driver()->notice(headOf(status, headers));
    };
    for (const int status : {200, 400, 429, 500, 503})
        EXPECT_EQ(noticeOf(status, {{"Server-Limit", "1.75"}}).requestLimit, 1.75) << status;
    EXPECT_EQ(noticeOf(200, {{"Server-Limit", "0"}}).requestLimit, 0);
    EXPECT_EQ(noticeOf(200, {}).requestLimit, noRequestLimit);
    EXPECT_EQ(noticeOf(421, {}).requestLimit, std::nullopt) << "another server answered";
    EXPECT_EQ(noticeOf(421, {{"Server-Limit", "1"}}).requestLimit, std::nullopt);
    for (const std::string value : {"", "few", "-1", "inf", "nan", "1e3", "2 s"}) {
        const endpoint_notice notice = noticeOf(200, {{"Server-Limit", value}});
        EXPECT_EQ(notice.requestLimit, std::nullopt) << value;
        EXPECT_EQ(notice.unreadableHeaders, std::vector<std::string>{"Server-Limit"}) << value;
    }
}

TEST(platform_document, isConvertedToTables)
{
    const auto now = tables();
    const kernel::state::route &streaming = now->routes.at("r1");
    EXPECT_TRUE(streaming.idempotent) << "a resumable stream";
    EXPECT_EQ(streaming.priority, -1) << "the platform serves 0 first, the tables the greatest";
    EXPECT_EQ(streaming.split.size(), 2U);
    EXPECT_EQ(now->pools.at("s1").kind, kernel::state::backend_kind::Model);
    EXPECT_EQ(organisationOf(*now, digestOf("key-one")), "t1");
    EXPECT_EQ(now->limits.front().idleTimeoutMs, 15'000);
}

TEST(platform_document, isRefusedWhenTruncatedOrAFieldIsMissingOrUnknown)
{
    const std::string text = documentText;
    EXPECT_EQ(documentFrom(text.substr(0, text.size() / 2)).version, 0U);
    json wrong = json::parse(text);
    wrong["routes"][0]["kind"] = "sometimes";
    EXPECT_EQ(documentFrom(wrong.dump()).version, 0U);
    wrong = json::parse(text);
    wrong["routes"][1].erase("timeout_ms");
    EXPECT_EQ(documentFrom(wrong.dump()).version, 0U);
}

TEST(state_document, highestVersionWinsAndAnInvalidDocumentChangesNothing)
{
    kernel::state::machine machine;
    std::uint64_t index = 0;
    const auto put = [&](std::uint64_t version, const json &text) {
        kernel::state::put_document document = documentFrom(text.dump());
        document.version = version;
        ++index;
        return machine.apply(index, {"d" + std::to_string(index), document});
    };
    const json good = json::parse(documentText);
    json other = good;
    other["routes"].erase(1);
    EXPECT_TRUE(put(7, good).accepted);
    const std::string acceptedDocument = *machine.document();
    EXPECT_TRUE(put(7, other).accepted) << "a resend of the version in force";
    EXPECT_TRUE(put(3, other).accepted) << "older than the version in force";
    EXPECT_EQ(*machine.document(), acceptedDocument);
    EXPECT_EQ(machine.tables()->routes.size(), 2U);
    json bad = good;
    bad["routes"][1]["service"] = "nowhere";
    EXPECT_FALSE(put(9, bad).accepted);
    EXPECT_FALSE(put(2, bad).accepted) << "invalid whatever its version";
    bad = good;
    bad["routes"][1]["path_prefix"] = "/a/";
    EXPECT_FALSE(put(9, bad).accepted) << "two routes with one prefix";
    bad = good;
    bad["tenants"].push_back({{"name", "t2"}, {"api_keys", {"key-one"}}});
    EXPECT_FALSE(put(9, bad).accepted) << "two organisations with one key";
    bad = good;
    bad["routes"][0]["traffic_split"][0]["weight"] = 0;
    bad["routes"][0]["traffic_split"][1]["weight"] = 0;
    EXPECT_FALSE(put(9, bad).accepted) << "weights of 0";
    EXPECT_EQ(machine.tables()->documentVersion, 7U);
    EXPECT_TRUE(put(9, other).accepted);
    EXPECT_EQ(machine.tables()->routes.size(), 1U);
    kernel::state::machine copy;
    ASSERT_TRUE(copy.restore(machine.snapshot()));
    EXPECT_EQ(*copy.document(), *machine.document());
}

} // namespace yuccascale::platform
