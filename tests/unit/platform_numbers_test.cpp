#include "platform_document_reading.hpp"
#include "yuccascale/kernel/requests/endpoint_driver.hpp"

#include <gtest/gtest.h>

#include <limits>
#include <numeric>

/// \file
/// \brief Numbers in headers of callers and servers that no sound one sends.

namespace yuccascale::platform {

namespace {

using namespace kernel::requests;

constexpr std::int64_t mostTokens = 1'000'000'000;

request readWith(const std::string &header, const std::string &value)
{
    document_holder holder;
    EXPECT_TRUE(holder.put(sampleDocument()));
    const auto protocol = http::caller_protocol_registry::make("platform").value();
    net::http_request httpRequest;
    httpRequest.method = "POST";
    httpRequest.target = "/a/x";
    httpRequest.headers = {{"Host", "h.example"},
                           {"X-Request-Id", "id-9"},
                           {"Authorization", "Bearer key-one"},
                           {header, value}};
    return protocol->readRequest(httpRequest, contextWith(holder.tables())).value();
}

/// \returns three parts of a prompt, of which the second has these tokens.
std::string partsWith(const std::string &tokens)
{
    std::string parts = "5c:800,9f:";
    return parts.append(tokens).append(",a0:5");
}

/// \returns the load that a server's answer reports.
std::optional<endpoint_report> loadOf(const std::string &value)
{
    answer_head head;
    head.status = 200;
    head.headers = {{"X-Server-Load", value}};
    return endpoint_driver_registry::make("platform").value()->pacedLoad(head, {});
}

std::string urgencyAt(int priority)
{
    request subject;
    subject.route.kind = kernel::state::backend_kind::Model;
    subject.route.priority = priority;
    const outbound_request sent
            = endpoint_driver_registry::make("platform").value()->prepare(subject, {});
    const auto found = std::ranges::find(sent.headers, "X-Request-Urgency",
                                         [](const auto &field) { return field.first; });
    return found == sent.headers.end() ? "" : found->second;
}

} // namespace

/// Guards against negative work, and sums of tokens that overflow.
TEST(platform_numbers, tokenCountsThatNoPromptHasAreTakenForMissingOnes)
{
    for (const std::string count :
         {"-1", "1000000001", "9223372036854775807", "9223372036854775808", "1.5", "many", ""}) {
        std::string counts = count;
        counts.append(",").append(count);
        const request of = readWith("X-Token-Counts", counts);
        EXPECT_EQ(of.promptTokens, 1) << count;
        EXPECT_EQ(of.outputTokens, 1) << count;
        EXPECT_EQ(of.statedTokens, std::nullopt) << count;
    }
    EXPECT_EQ(readWith("X-Token-Counts", "0,1000000000").outputTokens, mostTokens);
}

TEST(platform_numbers, promptPartsEndBeforeOneThatNoPromptHas)
{
    for (const std::string tokens : {"-1", "1000000001", "9223372036854775807", "x", ""}) {
        const request of = readWith("X-Prompt-Prefix", partsWith(tokens));
        ASSERT_EQ(of.parts.size(), 1U) << tokens;
        EXPECT_EQ(of.parts.front().tokens, 800);
    }
}

/// Guards against a load that overflows when it is added to that of others.
TEST(platform_numbers, aLoadThatNoServerHasIsNotTakenForOne)
{
    for (const std::string load : {"-1,0,8,100", "0,-1,8,100", "2147483647,0,8,100",
                                   "0,2147483647,8,100", "2147483648,0,8,100", "100001,0,8,100"})
        EXPECT_FALSE(loadOf(load)) << load;
    const auto sound = loadOf("100000,3,8,100");
    ASSERT_TRUE(sound);
    EXPECT_EQ(sound->load.running, 100'000);
}

/// Guards against a priority that a former build stored, whose urgency wraps.
TEST(platform_numbers, theUrgencyOfAnyPriorityIsBetweenNoneAndTheMost)
{
    EXPECT_EQ(urgencyAt(std::numeric_limits<int>::max()), "0");
    EXPECT_EQ(urgencyAt(std::numeric_limits<int>::min()), "9");
    EXPECT_EQ(urgencyAt(0), "3");
}

} // namespace yuccascale::platform
