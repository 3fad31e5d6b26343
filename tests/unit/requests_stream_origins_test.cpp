#include "yuccascale/kernel/requests/stream_origins.hpp"
#include "yuccascale/wire/stream_codec.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace yuccascale::kernel::requests {

namespace {

constexpr instant start{seconds(100)};
constexpr seconds lookback{16};

[[nodiscard]] stream_record recordOf(const std::string &id, const std::string &version)
{
    return {id, {"engines", version}, lookback};
}

/// The answer of an entry that has watched the route for the whole lookback.
[[nodiscard]] origin_answer saw(std::vector<std::string> versions)
{
    return {std::nullopt, {{{"engines"}, true}, {std::move(versions), true}}};
}

/// The answer of an entry that has just started.
[[nodiscard]] origin_answer startedWith(std::vector<std::string> versions)
{
    return {std::nullopt, {{{"engines"}, false}, {std::move(versions), false}}};
}

[[nodiscard]] std::vector<std::string> linksOf(int count)
{
    std::vector<std::string> links;
    links.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        links.push_back("10.1.0." + std::to_string(number) + ":7660");
    return links;
}

} // namespace

TEST(stream_origins, aRecordIsKeptForItsTimeAndNoLonger)
{
    stream_origins origins;
    origins.record(start, recordOf("a", "v1"));
    EXPECT_EQ(origins.find(start + seconds(15), "a"), (stream_origin{"engines", "v1"}));
    EXPECT_FALSE(origins.find(start + lookback, "a"));
    EXPECT_FALSE(origins.find(start, "b"));
    EXPECT_EQ(origins.recordsOf(start, "engines").size(), 1U);
    EXPECT_TRUE(origins.recordsOf(start, "others").empty());
}

TEST(stream_origins, holdsABoundedNumberOfRecords)
{
    stream_origins origins;
    for (int number = 0; number < 60'000; ++number)
        origins.record(start, recordOf(std::to_string(number), "v1"));
    EXPECT_LE(origins.recordsOf(start, "engines").size(), 50'000U);
    EXPECT_TRUE(origins.find(start, "59999"));
    EXPECT_FALSE(origins.find(start, "0"));
}

/// Guards against ids of callers that are kept at any length.
TEST(stream_origins, keepsLongIdsAsDigests)
{
    const std::string id(12'000, 'i');
    stream_origins origins;
    const instant now{seconds(10)};
    origins.record(now, {id, {"chat", "v1"}, seconds(5)});
    EXPECT_TRUE(origins.find(now, id));
    EXPECT_FALSE(origins.find(now, id + "i"));
    const auto records = origins.recordsOf(now, "chat");
    ASSERT_EQ(records.size(), 1U);
    EXPECT_LT(records.front().requestId.size(), 100U);
    // another entry that is told of it finds it, and asks those who keep it
    stream_origins other;
    other.record(now, records.front());
    EXPECT_TRUE(other.find(now, id));
    const std::vector<std::string> links{"a:1", "b:1", "c:1", "d:1"};
    EXPECT_EQ(keepersOf(id, links, 2), keepersOf(records.front().requestId, links, 2));
}

TEST(stream_origins, aRecordGoesBeforeTheOnlyVersionOfAnEntryWhoseListIsOld)
{
    const std::vector<origin_answer> answers{saw({"v1"}), {stream_origin{"engines", "v2"}, {}}};
    EXPECT_EQ(decideOrigin("engines", answers, 2), (stream_origin{"engines", "v2"}));
}

TEST(stream_origins, withoutARecordAStreamGoesOnOnlyAtTheOneVersionThatAllSaw)
{
    const origin_answer sawNothing;
    const std::vector<origin_answer> agreed{sawNothing, saw({"v1"}), saw({"v1"})};
    const std::vector<origin_answer> disagreed{saw({"v1"}), saw({"v2"})};
    const std::vector<origin_answer> mixed{saw({"v1", "v2"}), saw({"v1", "v2"})};
    const std::vector<origin_answer> contradicted{saw({"v1", "v2"}), saw({"v1"}), saw({"v1"})};
    const std::vector<origin_answer> alone{saw({"v1"})};
    const std::vector<origin_answer> aloneWithNewEntries{saw({"v1"}), sawNothing, sawNothing};
    EXPECT_EQ(decideOrigin("engines", agreed, 2), (stream_origin{"engines", "v1"}));
    EXPECT_FALSE(decideOrigin("engines", disagreed, 2));
    EXPECT_FALSE(decideOrigin("engines", mixed, 2));
    EXPECT_FALSE(decideOrigin("engines", contradicted, 2));
    EXPECT_FALSE(decideOrigin("engines", aloneWithNewEntries, 2));
    EXPECT_FALSE(decideOrigin("engines", alone, 2)) << "no other entry answered";
    EXPECT_TRUE(decideOrigin("engines", alone, 0)) << "there is no other entry";
}

TEST(stream_origins, anEntryThatHasJustStartedContradictsButProvesNothing)
{
    const std::vector<origin_answer> confirmed{startedWith({"v1"}), saw({"v1"})};
    const std::vector<origin_answer> contradicted{saw({"v1"}), saw({"v1"}), startedWith({"v2"})};
    const std::vector<origin_answer> allStarted{startedWith({"v1"}), startedWith({"v1"})};
    EXPECT_EQ(decideOrigin("engines", confirmed, 2), (stream_origin{"engines", "v1"}));
    EXPECT_FALSE(decideOrigin("engines", contradicted, 2));
    EXPECT_FALSE(decideOrigin("engines", allStarted, 2));
}

TEST(stream_origins, withoutARecordAStreamGoesOnOnlyInTheOnePoolThatTheRouteLedTo)
{
    origin_answer moved = saw({"v1"});
    moved.seen.pools = {{"engines", "others"}, true};
    const std::vector<origin_answer> allMoved{moved, moved};
    const std::vector<origin_answer> oneMoved{saw({"v1"}), moved};
    const std::vector<origin_answer> unmoved{saw({"v1"}), saw({"v1"})};
    EXPECT_FALSE(decideOrigin("engines", allMoved, 2));
    EXPECT_FALSE(decideOrigin("engines", oneMoved, 2));
    EXPECT_FALSE(decideOrigin("others", unmoved, 2)) << "the list of this entry is older";
}

TEST(stream_origins, entriesThatAreAskedIncludeTheKeepersThoughAnEntryWasLostOrStarted)
{
    for (const int count : {3, 7, 300}) {
        const std::vector<std::string> all = linksOf(count);
        std::map<std::string, int> kept;
        for (int number = 0; number < 500; ++number) {
            const std::string id = "stream-" + std::to_string(number);
            std::vector<std::string> others(all.begin() + 1, all.end()); // of the first entry
            const auto keepers = keepersOf(id, others, 2);
            for (const std::string &keeper : keepers)
                ++kept[keeper];
            // the second entry asks; a new entry is there, and the first is lost but still listed
            std::vector<std::string> seen = all;
            seen.erase(seen.begin() + 1);
            seen.push_back("10.9.0.1:7660");
            const auto asked = keepersOf(id, seen, 4);
            for (const std::string &keeper : keepers) {
                EXPECT_TRUE(keeper == all[1] || std::ranges::find(asked, keeper) != asked.end())
                        << id << " of " << count;
            }
        }
        for (const auto &[link, streams] : kept)
            EXPECT_LE(streams, std::max(4 * 1'000 / count, 12)) << link << " of " << count;
    }
}

TEST(stream_codec, messagesAndAnswersAreDecodedAsTheyWereEncoded)
{
    const auto message = wire::decodeStreamMessage(
            wire::encodeStreamMessage({{recordOf("a", "v1"), recordOf("b", "")},
                                       wire::stream_query{"c", "briefing", "engines", lookback}}));
    ASSERT_EQ(message.records.size(), 2U);
    EXPECT_EQ(message.records[0].requestId, "a");
    EXPECT_EQ(message.records[0].origin, (stream_origin{"engines", "v1"}));
    EXPECT_EQ(message.records[0].kept, lookback);
    ASSERT_TRUE(message.query);
    EXPECT_EQ(message.query->requestId, "c");
    EXPECT_EQ(message.query->route, "briefing");
    EXPECT_EQ(message.query->pool, "engines");
    EXPECT_EQ(message.query->lookback, lookback);
    const auto recorded = wire::decodeStreamAnswer(
            wire::encodeStreamAnswer({stream_origin{"engines", "v2"}, {}}));
    ASSERT_TRUE(recorded);
    EXPECT_EQ(recorded->origin, (stream_origin{"engines", "v2"}));
    EXPECT_EQ(recorded->seen, origins_seen());
    const origins_seen seen{{{"engines", "others"}, false}, {{"", "v1"}, true}};
    const auto unrecorded = wire::decodeStreamAnswer(wire::encodeStreamAnswer({{}, seen}));
    ASSERT_TRUE(unrecorded);
    EXPECT_FALSE(unrecorded->origin);
    EXPECT_EQ(unrecorded->seen, seen) << "an endpoint may name no version";
    EXPECT_TRUE(wire::decodeStreamMessage("nonsense").records.empty());
    EXPECT_FALSE(wire::decodeStreamAnswer("nonsense"));
}

} // namespace yuccascale::kernel::requests
