#include "processes/caller_crowd.hpp"
#include "processes/crowd_check.hpp"
#include "processes/crowd_target.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>

/// \file
/// \brief A process stays within its memory whatever names, headers and documents a crowd of
/// callers
///        sends, all of legal size.

namespace yuccascale::processes {

namespace {

constexpr std::size_t documentBytes = 4'000'000; ///< the documents allow 4 MB
constexpr std::size_t nameBytes = 12'000;        ///< a head may have 16 KB
constexpr std::size_t endpointNameBytes = 6'000; ///< the stand-in endpoint reads lines of 8 KB
constexpr std::size_t pipelinedRequests = 40;    ///< on one connection
constexpr std::size_t nestedLists = 200'000;
/// More than the documents allow, so that a small crowd holds as much as a large one.
constexpr std::size_t raisedHeadBytes = 1'048'576;
constexpr std::size_t largeHeadBytes = 1'000'000;
constexpr std::size_t headerFields = 100;
constexpr std::size_t callers = 60;

std::string repeated(std::size_t count, const std::string &text)
{
    std::string out;
    out.reserve(count * text.size());
    for (std::size_t number = 0; number < count; ++number)
        out += text;
    return out;
}

/// \returns a JSON list of the shortest strings, whose parsed form is many times as large.
std::string listOfStrings()
{
    const std::string element = "\"\",";
    return "[" + repeated(documentBytes / element.size(), element) + "\"\"]";
}

std::string nestedList()
{
    return repeated(nestedLists, "[") + repeated(nestedLists, "]");
}

/// \returns request line and headers of several requests; the last one lacks the line that ends it.
std::string pipelined(const std::string &request)
{
    return repeated(pipelinedRequests - 1, request + "\r\n") + request + "Connection: close\r\n";
}

/// \returns a plan of callers that read their answers to the end.
crowd_plan completePlan()
{
    crowd_plan plan;
    plan.callers = callers;
    plan.completeEvery = 1;
    plan.readsToClose = true;
    return plan;
}

/// Sends documents that are read to their end, and reads the answers.
void sendDocuments(const crowd_target &target, const std::string &path, const std::string &document)
{
    crowd_plan plan = completePlan();
    plan.content = document;
    plan.bodyBytes = document.size();
    plan.headOf = [&](std::size_t number) {
        return target.head(target.bodyMethod(), path, number) + "Connection: close\r\n";
    };
    crowd_check(target).run(std::move(plan));
}

class caller_crowd_documents : public testing::TestWithParam<std::string>
{ };

} // namespace

/// Guards against names that callers choose and that are kept in logs, histories and records.
TEST(caller_crowd_names, longRequestIdsLeaveMemoryForOthers)
{
    const auto target = startTarget(called_side::PlatformEntry);
    crowd_plan plan = completePlan();
    plan.requestsOfCaller = 6;
    plan.headOf = [](std::size_t number) {
        return pipelined("GET /missing/x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: "
                         + std::to_string(number) + std::string(nameBytes, 'i') + "\r\n");
    };
    crowd_check(*target).run(std::move(plan));
}

/// Guards against paths of calls without the operators' key.
TEST(caller_crowd_names, longPathsLeaveMemoryForOthers)
{
    const auto target = startTarget(called_side::OwnEntry);
    crowd_plan plan = completePlan();
    plan.requestsOfCaller = 6;
    plan.headOf = [](std::size_t number) {
        return pipelined("GET /operator/" + std::to_string(number) + std::string(nameBytes, 'p')
                         + " HTTP/1.1\r\nHost: soak.example\r\n");
    };
    crowd_check(*target).run(std::move(plan));
}

/// Guards against names of routes in bodies.
TEST(caller_crowd_names, longModelNamesLeaveMemoryForOthers)
{
    const auto target = startTarget(called_side::OwnEntry);
    sendDocuments(*target, "/v1/chat/completions",
                  R"({"model":")" + std::string(documentBytes, 'm') + R"("})");
}

/// Guards against parsed bodies that are many times as large as their text.
TEST(caller_crowd_chats, ofManyShortMessagesLeaveMemoryForOthers)
{
    const auto target = startTarget(called_side::OwnEntry);
    sendDocuments(*target, "/v1/chat/completions",
                  R"({"model":"chat","messages":)" + listOfStrings() + "}");
}

/// Guards against recursion over what callers nest.
TEST(caller_crowd_chats, thatNestDeeplyLeaveTheProcessAlive)
{
    const auto target = startTarget(called_side::OwnEntry);
    sendDocuments(*target, "/v1/chat/completions",
                  R"({"model":"chat","messages":)" + nestedList() + "}");
}

/// Guards against parsed documents that are many times as large as their text.
TEST_P(caller_crowd_documents, ofManyShortEntriesLeaveMemoryForOthers)
{
    const auto target = startTarget(called_side::DocumentInterface);
    sendDocuments(*target, "/config",
                  R"({"version":2,")" + GetParam() + R"(":)" + listOfStrings() + "}");
}

/// Guards against recursion over what a document nests.
TEST_P(caller_crowd_documents, thatNestDeeplyLeaveTheProcessAlive)
{
    const auto target = startTarget(called_side::DocumentInterface);
    sendDocuments(*target, "/config",
                  R"({"version":2,")" + GetParam() + R"(":)" + nestedList() + "}");
}

/// Guards against many rows in one entry of a document.
TEST(caller_crowd_document_rows, ofManyKeysLeaveMemoryForOthers)
{
    const auto target = startTarget(called_side::DocumentInterface);
    sendDocuments(*target, "/config",
                  R"({"version":2,"services":[],"routes":[],"tenants":[{"name":"a","api_keys":)"
                          + listOfStrings() + "}]}");
}

INSTANTIATE_TEST_SUITE_P(in, caller_crowd_documents,
                         testing::Values("tenants", "services", "routes", "unknown"),
                         [](const auto &member) { return member.param; });

/// Guards against the headers of requests whose bodies are never completed.
TEST(caller_crowd_heads, ofUnfinishedBodiesLeaveMemoryForOthers)
{
    target_options asked;
    asked.headBytes = raisedHeadBytes;
    const auto target = startTarget(called_side::PlatformEntry, asked);
    const std::string field(largeHeadBytes / headerFields, 'h');
    std::string fields;
    for (std::size_t number = 0; number < headerFields; ++number)
        fields += "X-Field-" + std::to_string(number) + ": " + field + "\r\n";
    crowd_plan plan;
    plan.bodyBytes = 1'000;
    plan.callers = 90;
    plan.headOf = [&](std::size_t number) {
        return target->head("POST", target->bodyPath(), number) + fields;
    };
    crowd_check(*target).run(std::move(plan));
}

/// Guards against what is derived from the headers of requests that run or wait.
TEST(caller_crowd_heads, ofManyPromptPartsLeaveMemoryForOthers)
{
    target_options asked;
    asked.connections = 1'000;
    const auto target = startTarget(called_side::PlatformEntry, asked);
    const std::string part = "1:1,";
    const std::string parts = repeated(endpointNameBytes / part.size(), part);
    crowd_plan plan = completePlan();
    plan.callers = 900;
    plan.requestsOfCaller = 1;
    plan.headOf = [&](std::size_t number) {
        return target->head("GET", "/plain/slow", number) + "X-Prompt-Prefix: " + parts
                + "\r\nConnection: close\r\n";
    };
    crowd_check(*target, asked).run(std::move(plan));
}

} // namespace yuccascale::processes
