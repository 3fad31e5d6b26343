#include "yuccascale/kernel/json_bounds.hpp"
#include "yuccascale/kernel/json_members.hpp"
#include "yuccascale/kernel/json_text.hpp"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <string_view>

/// \file
/// \brief Parts of JSON texts are read as a parser of the whole text would read them.

namespace yuccascale::kernel {

namespace {

constexpr std::array<std::string_view, 2> names{"model", "stream"};

std::string nested(std::size_t lists)
{
    return std::string(lists, '[') + std::string(lists, ']');
}

/// \returns a discarded value when the text is refused.
json boundedOrDiscarded(std::string_view text, const json_bounds &bounds)
{
    json value(json::value_t::discarded);
    error problem;
    const auto read = [&]() -> result<void> {
        BOOST_LEAF_ASSIGN(value, readBounded(text, bounds));
        return {};
    };
    const bool refused = !succeeded(read, problem);
    EXPECT_TRUE(!refused || problem.kind == error_kind::InvalidArgument);
    return value;
}

} // namespace

TEST(json_members, readsTheOutermostOnes)
{
    const auto members = readScalarMembers(
            R"({"messages":[{"model":"inner"}],"model":"chat","other":{"stream":false},"stream":true})",
            names);
    ASSERT_TRUE(members);
    EXPECT_EQ(members->size(), 2U);
    EXPECT_EQ(members->at("model"), json("chat"));
    EXPECT_EQ(members->at("stream"), json(true));
}

TEST(json_members, takeTheLastOfARepeatedName)
{
    const auto members = readScalarMembers(R"({"model":"a","model":"b"})", names);
    ASSERT_TRUE(members);
    EXPECT_EQ(members->at("model"), json("b"));
}

TEST(json_members, areNullWhenTheyAreObjectsOrLists)
{
    const auto members = readScalarMembers(R"({"model":{"model":"inner"},"stream":[true]})", names);
    ASSERT_TRUE(members);
    EXPECT_TRUE(members->at("model").is_null());
    EXPECT_TRUE(members->at("stream").is_null());
}

/// Guards against taking a text for a request that another parser would not.
TEST(json_members, needAWellFormedObject)
{
    for (const char *text :
         {"", "1", "\"model\"", "[]", R"([{"model":"a"}])", R"({"model":"a")", R"({"model":"a"}x)",
          R"({"model":})", R"({"messages":[1,],"model":"a"})"})
        EXPECT_FALSE(readScalarMembers(text, names)) << text;
    EXPECT_TRUE(readScalarMembers("{}", names));
}

/// Guards against recursion over what a caller nests.
TEST(json_members, passOverWhatNestsDeeply)
{
    const auto members
            = readScalarMembers(R"({"messages":)" + nested(500'000) + R"(,"model":"a"})", names);
    ASSERT_TRUE(members);
    EXPECT_EQ(members->at("model"), json("a"));
}

TEST(json_bounds, readsTheMembersThatAreNamed)
{
    const json value = boundedOrDiscarded(
            R"({"a":[1,[2]],"model":{"x":[1,"2"]},"b":3,"stream":null})", {names, 4, 10});
    EXPECT_EQ(value, json::parse(R"({"model":{"x":[1,"2"]},"stream":null})"));
}

TEST(json_bounds, countNothingOfOtherMembers)
{
    const std::string text = R"({"other":)" + nested(100'000) + R"(,"more":[1,2,3,4,5],"model":1})";
    EXPECT_EQ(boundedOrDiscarded(text, {names, 2, 3}), json({{"model", 1}}));
}

TEST(json_bounds, refuseWhatExceedsThem)
{
    const std::string text = R"({"model":[[1,2]]})"; // three objects and lists, two numbers
    EXPECT_FALSE(boundedOrDiscarded(text, {names, 3, 5}).is_discarded());
    EXPECT_TRUE(boundedOrDiscarded(text, {names, 3, 4}).is_discarded());
    EXPECT_TRUE(boundedOrDiscarded(text, {names, 2, 5}).is_discarded());
    EXPECT_TRUE(boundedOrDiscarded(R"({"model":)" + nested(500'000) + "}", {names, 32, 9})
                        .is_discarded());
}

TEST(json_bounds, refuseWhatIsNoObject)
{
    for (const char *text : {"", "[]", "1", "{", R"({"model":1)", R"({"model":1}})"})
        EXPECT_TRUE(boundedOrDiscarded(text, {names, 4, 10}).is_discarded()) << text;
}

/// Guards against a text that each reader would take for another value.
TEST(json_bounds, refuseAMemberThatIsNamedTwice)
{
    for (const char *text : {R"({"model":1,"model":2})", R"({"model":{"x":1,"y":2,"x":3}})",
                             R"({"model":[{"x":1},{"x":2,"x":2}]})"})
        EXPECT_TRUE(boundedOrDiscarded(text, {names, 4, 20}).is_discarded()) << text;
    for (const char *text :
         {R"({"model":{"x":1},"stream":{"x":1}})", R"({"model":[{"x":1},{"x":2}]})",
          R"({"a":1,"a":2,"model":1})", R"({"a":{"x":1,"x":2},"model":1})"})
        EXPECT_FALSE(boundedOrDiscarded(text, {names, 4, 20}).is_discarded()) << text;
}

/// Guards against a text that is followed by bytes that the parser does not look at.
TEST(json_texts, withANulByteAreNoJson)
{
    const std::string text = R"({"model":"a"})";
    const std::string behind = text + std::string("\0 more", 6);
    EXPECT_TRUE(boundedOrDiscarded(behind, {names, 4, 20}).is_discarded());
    EXPECT_FALSE(readScalarMembers(behind, names));
    EXPECT_TRUE(readForeign(behind).is_discarded());
    EXPECT_FALSE(readForeign(text).is_discarded());
}

} // namespace yuccascale::kernel
