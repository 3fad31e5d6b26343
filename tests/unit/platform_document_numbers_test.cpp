#include "platform_document_reading.hpp"
#include "yuccascale/kernel/state/table_rules.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <limits>

/// \file
/// \brief Members of documents are what was sent, the nearest bound, or refused by name; never
/// another value.

namespace yuccascale::platform {

namespace {

using kernel::state::edit_tables;
using pointer = json::json_pointer;

/// \returns the sample document with one member replaced by the value of \a text.
std::string with(const std::string &place, const std::string &text)
{
    constexpr const char *marker = "replaced by the text";
    json document = sampleDocument();
    document[pointer(place)] = marker;
    std::string out = document.dump();
    const std::string quoted = "\"" + std::string(marker) + "\"";
    return out.replace(out.find(quoted), quoted.size(), text);
}

/// Guards against a value that is taken for another one.
void expectRefused(const std::string &place, const std::string &text, const std::string &field)
{
    const document_reading reading = readDocument(with(place, text));
    EXPECT_FALSE(reading.document) << place << " " << text;
    EXPECT_EQ(reading.problem.where, field) << text;
    EXPECT_NE(reading.problem.message.find("send"), std::string::npos) << reading.refusal();
}

edit_tables tablesWith(const std::string &place, const std::string &text)
{
    const document_reading reading = readDocument(with(place, text));
    EXPECT_TRUE(reading.document) << place << " " << text << " " << reading.refusal();
    return reading.document ? reading.document->tables : edit_tables();
}

/// Members that hold whole numbers, and where a refusal finds them.
const std::vector<std::pair<std::string, std::string>> wholeMembers{
        {"/version", "version"},
        {"/routes/0/timeout_ms", "routes[0].timeout_ms"},
        {"/routes/0/target_latency_ms", "routes[0].target_latency_ms"},
        {"/routes/0/max_attempts", "routes[0].max_attempts"},
        {"/routes/0/priority", "routes[0].priority"},
        {"/services/0/max_connections", "services[0].max_connections"},
        {"/services/0/scaling/min", "services[0].scaling.min"},
        {"/services/0/scaling/max", "services[0].scaling.max"},
        {"/services/0/engine/kv_token_bytes", "services[0].engine.kv_token_bytes"},
        {"/limits/max_header_bytes", "limits.max_header_bytes"},
        {"/limits/max_body_bytes", "limits.max_body_bytes"},
        {"/limits/header_timeout_ms", "limits.header_timeout_ms"},
        {"/limits/idle_timeout_ms", "limits.idle_timeout_ms"},
        {"/tenants/0/priority", "tenants[0].priority"},
};

} // namespace

/// Guards against a negative version that hides all later documents, and a fraction that passes for
/// a whole version.
TEST(platform_document_numbers, aVersionThatIsNoWholeNumberUpTo64BitsIsRefused)
{
    for (const std::string version :
         {"-1", "-1.5", "-0.5", "1.5", "12.7", "18446744073709551616", "1e30", "-1e30",
          "-9223372036854775809", "9007199254740994.0", "\"8\"", "true", "null", "[8]", "{}"}) {
        document_holder holder;
        ASSERT_TRUE(holder.put(sampleDocument(7)));
        expectRefused("/version", version, "version");
        EXPECT_FALSE(holder.put(with("/version", version)));
        EXPECT_EQ(holder.tables()->documentVersion, 7U) << version;
        ASSERT_TRUE(holder.put(sampleDocument(8)));
        EXPECT_EQ(holder.tables()->documentVersion, 8U) << "after " << version;
    }
}

/// Guards against a refusal of a version that the page allows, and against another one in its
/// place.
TEST(platform_document_numbers, anyWholeVersionUpTo64BitsIsTheOneThatWasSent)
{
    const std::vector<std::pair<std::string, std::uint64_t>> versions{
            {"0", 0},
            {"-0", 0},
            {"12.0", 12},
            {"1.2e1", 12},
            {"9007199254740993", 9'007'199'254'740'993U},
            {"9223372036854775808", std::uint64_t{1} << 63U},
            {"18446744073709551615", std::numeric_limits<std::uint64_t>::max()}};
    for (const auto &[text, version] : versions) {
        const document_reading reading = readDocument(with("/version", text));
        ASSERT_TRUE(reading.document) << text << " " << reading.refusal();
        EXPECT_EQ(reading.document->version, version) << text;
        EXPECT_EQ(reading.document->bytes, with("/version", text)) << "read back as sent";
    }
}

TEST(platform_document_numbers, aValueThatIsNoWholeNumberIsRefusedByItsName)
{
    for (const auto &[place, field] : wholeMembers) {
        for (const std::string value : {"1.5", "\"1\"", "true", "[1]", "{}", "-1e30"})
            expectRefused(place, value, field);
    }
}

TEST(platform_document_numbers, anAmountBelowZeroIsRefusedByItsName)
{
    for (const auto &[place, field] : wholeMembers) {
        if (field.ends_with("priority"))
            continue;
        for (const std::string value : {"-1", "-9223372036854775808", "-9223372036854775809"})
            expectRefused(place, value, field);
    }
    for (const std::string member : {"spot_price", "zone_prices/perth"}) {
        std::string field = "services[0].scaling." + member;
        std::ranges::replace(field, '/', '.');
        expectRefused("/services/0/scaling/" + member, "-0.5", field);
    }
    expectRefused("/services/0/engine/link_mbps", "-1", "services[0].engine.link_mbps");
    expectRefused("/routes/0/priority", "-2147483648", "routes[0].priority");
    expectRefused("/tenants/0/priority", "-2147483648", "tenants[0].priority");
}

/// Guards against a number of more than 32 or 63 bits that becomes a small or negative one.
TEST(platform_document_numbers, aNumberAboveTheGreatestCountsAsTheGreatest)
{
    constexpr std::int64_t greatest = std::numeric_limits<std::int64_t>::max();
    for (const std::string text : {"2147483648", "4294967296", "4294967297", "9223372036854775808",
                                   "18446744073709551616", "1e30"}) {
        const auto route = [&](const std::string &member) {
            return tablesWith("/routes/0/" + member, text).putRoutes.front();
        };
        EXPECT_EQ(route("max_attempts").maxAttempts, kernel::state::maxRouteAttempts) << text;
        EXPECT_EQ(route("priority").priority, -kernel::state::maxRoutePriority) << text;
        EXPECT_EQ(tablesWith("/tenants/0/priority", text).putOrganisations.front().priority,
                  -1'000'000)
                << text;
        const auto service = [&](const std::string &member) {
            return tablesWith("/services/0/" + member, text).putPools.front();
        };
        EXPECT_EQ(service("max_connections").maxConnections, std::numeric_limits<int>::max());
        EXPECT_EQ(service("scaling/max").scaling.front().most, 100'000) << text;
        EXPECT_GE(service("engine/kv_token_bytes").kvTokenBytes, std::int64_t{1} << 30) << text;
    }
    for (const std::string text : {"9223372036854775808", "18446744073709551615", "1e30"}) {
        const auto limits = [&](const std::string &member) {
            return tablesWith("/limits/" + member, text).putLimits.front();
        };
        EXPECT_EQ(limits("max_header_bytes").headerBytes, greatest) << text;
        EXPECT_EQ(limits("max_body_bytes").bodyBytes, greatest) << text;
        EXPECT_EQ(limits("header_timeout_ms").readTimeoutMs, greatest) << text;
        EXPECT_EQ(limits("idle_timeout_ms").idleTimeoutMs, greatest) << text;
    }
}

TEST(platform_document_numbers, usualNumbersAreTheOnesThatWereSent)
{
    EXPECT_EQ(tablesWith("/routes/0/max_attempts", "0").putRoutes.front().maxAttempts, 1);
    EXPECT_EQ(tablesWith("/routes/0/max_attempts", "3").putRoutes.front().maxAttempts, 3);
    EXPECT_EQ(tablesWith("/routes/0/priority", "-3").putRoutes.front().priority, 3);
    EXPECT_EQ(tablesWith("/tenants/0/priority", "200").putOrganisations.front().priority, -200);
    EXPECT_FALSE(tablesWith("/tenants/0/priority", "null").putOrganisations.front().ranked);
    EXPECT_EQ(tablesWith("/limits/max_body_bytes", "0").putLimits.front().bodyBytes, 0);
    EXPECT_EQ(tablesWith("/limits/max_body_bytes", "50.0").putLimits.front().bodyBytes, 50);
    EXPECT_EQ(tablesWith("/services/0/max_connections", "null").putPools.front().maxConnections, 0);
}

/// Guards against more servers than the maximum that bounds their cost.
TEST(platform_document_numbers, aMinimumAboveTheMaximumCountsAsTheMaximum)
{
    const auto scaling = tablesWith("/services/0/scaling", R"({"min":5,"max":2})")
                                 .putPools.front()
                                 .scaling.front();
    EXPECT_EQ(scaling.least, 2);
    EXPECT_EQ(scaling.most, 2);
}

/// Guards against a part that is passed over because it is of another type.
TEST(platform_document_parts, ofAnotherTypeAreRefusedByTheirNames)
{
    const std::vector<std::pair<std::string, std::string>> objects{
            {"/limits", "limits"},
            {"/services/0/scaling", "services[0].scaling"},
            {"/services/0/engine", "services[0].engine"},
            {"/services/0", "services[0]"},
            {"/routes/0", "routes[0]"},
            {"/tenants/0", "tenants[0]"}};
    for (const auto &[place, field] : objects) {
        for (const std::string value : {"[]", "\"text\"", "7", "false"})
            expectRefused(place, value, field);
    }
    for (const std::string list : {"routes", "services", "tenants"}) {
        for (const std::string value : {"{}", "\"text\"", "7", "null"})
            expectRefused("/" + list, value, list);
    }
    expectRefused("/routes/0/traffic_split", "{}", "routes[0].traffic_split");
    expectRefused("/tenants/0/api_keys", "\"key\"", "tenants[0].api_keys");
    expectRefused("/routes/0/anonymous", "1", "routes[0].anonymous");
    expectRefused("/routes/0/resumable", "\"yes\"", "routes[0].resumable");
    expectRefused("/services/0/engine/models", "[7]", "services[0].engine.models[0]");
}

/// Guards against null that is taken for anything but a part that is not there.
TEST(platform_document_parts, thatAreNullCountAsMissing)
{
    EXPECT_TRUE(tablesWith("/limits", "null").putLimits.empty());
    EXPECT_TRUE(tablesWith("/services/0/scaling", "null").putPools.front().scaling.empty());
    EXPECT_TRUE(tablesWith("/services/0/scaling/zone_prices/perth", "null")
                        .putPools.front()
                        .scaling.front()
                        .zonePrices.empty());
    EXPECT_EQ(tablesWith("/services/0/engine", "null").putPools.front().kind,
              kernel::state::backend_kind::Service);
    EXPECT_TRUE(tablesWith("/tenants/0/api_keys", "null").putKeys.empty());
    EXPECT_EQ(tablesWith("/routes/0/traffic_split", "null").putRoutes.front().pool, "s1");
    EXPECT_EQ(tablesWith("/routes/0/traffic_split", "[]").putRoutes.front().pool, "s1");
}

/// Guards against a route that names an unknown service and is accepted since it has a split too.
TEST(platform_document_parts, anUnknownServiceBesideASplitIsRefused)
{
    json document = sampleDocument();
    document["routes"][0]["traffic_split"] = {{{"service", "s1"}, {"weight", 1}}};
    EXPECT_TRUE(readDocument(document.dump()).document) << "the service is known";
    document["routes"][0]["service"] = "nowhere";
    const document_reading reading = readDocument(document.dump());
    EXPECT_FALSE(reading.document);
    EXPECT_EQ(reading.problem.where, "routes[0].service");
    document["routes"][0].erase("service");
    EXPECT_TRUE(readDocument(document.dump()).document);
}

/// Guards against a text that is no JSON and is read back as it is.
TEST(platform_document_text, followedByAnythingIsRefused)
{
    const std::string text = sampleDocument().dump();
    for (const std::string &behind :
         {std::string(1, '\0'), std::string("\0x", 2), std::string("x"), std::string("{}")})
        EXPECT_FALSE(readDocument(text + behind).document);
    EXPECT_FALSE(readDocument(std::string(1, '\0') + text).document);
    EXPECT_TRUE(readDocument(text + " \r\n\t").document);
}

/// Guards against a member whose value depends on which of its two places a reader takes.
TEST(platform_document_text, thatNamesAMemberTwiceIsRefusedByThatName)
{
    const std::string text = sampleDocument().dump();
    const auto doubled = [&](const std::string &before, const std::string &member) {
        std::string out = text;
        const std::size_t at = out.find(before);
        EXPECT_NE(at, std::string::npos) << before;
        return out.insert(at, member + ",");
    };
    for (const auto &[before, member] : std::vector<std::pair<std::string, std::string>>{
                 {"\"tenants\":", "\"tenants\":[]"},
                 {"\"version\":", "\"version\":9"},
                 {"\"max_attempts\":", "\"max_attempts\":2"},
                 {"\"api_keys\":", "\"api_keys\":[]"},
                 {"\"idle_timeout_ms\":", "\"idle_timeout_ms\":1"}}) {
        const document_reading reading = readDocument(doubled(before, member));
        EXPECT_FALSE(reading.document) << member;
        EXPECT_NE(reading.problem.message.find(before.substr(0, before.size() - 1)),
                  std::string::npos)
                << reading.refusal();
    }
    EXPECT_TRUE(readDocument(doubled("\"version\":", R"("a":{"b":1,"b":2},"a":3)")).document)
            << "of members that are not read, nothing is asked";
}

/// Guards against a key in a refusal, which is logged.
TEST(platform_document_text, ofARefusalHoldsNoKey)
{
    for (const std::string keys : {"\"secret\"", "[\"secret\",7]", "{\"secret\":1}"}) {
        const document_reading reading = readDocument(with("/tenants/0/api_keys", keys));
        EXPECT_FALSE(reading.document);
        EXPECT_EQ(reading.refusal().find("secret"), std::string::npos) << reading.refusal();
    }
}

/// Guards against a fleet that stays with a document that a former build stored under the number
/// that it made of a negative version.
TEST(platform_document_stored, underAVersionThatItDoesNotNameIsFoundOut)
{
    const auto protocol = http::operator_protocol_registry::make("platform").value();
    constexpr std::uint64_t greatest = std::numeric_limits<std::uint64_t>::max();
    EXPECT_FALSE(protocol->namesVersion(with("/version", "-1"), greatest));
    EXPECT_FALSE(protocol->namesVersion(with("/version", "-1.5"), greatest));
    EXPECT_FALSE(protocol->namesVersion(with("/version", "1e30"), greatest));
    EXPECT_FALSE(protocol->namesVersion(with("/version", "-7"), greatest - 6));
    EXPECT_TRUE(protocol->namesVersion(with("/version", "18446744073709551615"), greatest));
    EXPECT_TRUE(protocol->namesVersion(with("/version", "12.7"), 12));
    EXPECT_TRUE(protocol->namesVersion(with("/version", "8"), 8));
}

/// Guards against such a document that is no longer served, or never replaced.
TEST(platform_document_stored, underAWrongVersionIsServedUntilTheNextReplacesIt)
{
    kernel::state::machine machine;
    kernel::state::put_document wrong = *readDocument(sampleDocument(7).dump()).document;
    wrong.version = std::numeric_limits<std::uint64_t>::max();
    EXPECT_TRUE(machine.apply(1, {"d1", wrong}).accepted);
    EXPECT_EQ(refusalOf(machine.tables(), "key-one"), std::nullopt);
    kernel::state::put_document next = *readDocument(sampleDocument(8).dump()).document;
    EXPECT_FALSE(machine.apply(2, {"d2", next}).detail.at("changed")) << "as former builds decide";
    next.replacesRevision = {machine.tables()->revision};
    EXPECT_TRUE(machine.apply(3, {"d3", next}).detail.at("changed"));
    EXPECT_EQ(machine.tables()->documentVersion, 8U);
    EXPECT_EQ(*machine.document(), next.bytes);
}

} // namespace yuccascale::platform
