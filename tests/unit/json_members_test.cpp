#include "yuccascale/kernel/json_bounds.hpp"
#include "yuccascale/kernel/json_members.hpp"

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
    const json value = readBounded(R"({"a":[1,[2]],"model":{"x":[1,"2"]},"b":3,"stream":null})",
                                   {names, 4, 10});
    EXPECT_EQ(value, json::parse(R"({"model":{"x":[1,"2"]},"stream":null})"));
}

TEST(json_bounds, countNothingOfOtherMembers)
{
    const std::string text = R"({"other":)" + nested(100'000) + R"(,"more":[1,2,3,4,5],"model":1})";
    EXPECT_EQ(readBounded(text, {names, 2, 3}), json({{"model", 1}}));
}

TEST(json_bounds, refuseWhatExceedsThem)
{
    const std::string text = R"({"model":[[1,2]]})"; // three objects and lists, two numbers
    EXPECT_FALSE(readBounded(text, {names, 3, 5}).is_discarded());
    EXPECT_TRUE(readBounded(text, {names, 3, 4}).is_discarded());
    EXPECT_TRUE(readBounded(text, {names, 2, 5}).is_discarded());
    EXPECT_TRUE(readBounded(R"({"model":)" + nested(500'000) + "}", {names, 32, 9}).is_discarded());
}

TEST(json_bounds, refuseWhatIsNoObject)
{
    for (const char *text : {"", "[]", "1", "{", R"({"model":1)", R"({"model":1}})"})
        EXPECT_TRUE(readBounded(text, {names, 4, 10}).is_discarded()) << text;
}

} // namespace yuccascale::kernel
