#include "fakes/manual_clock.hpp"
#include "yuccascale/kernel/feed/feed_state.hpp"
#include "yuccascale/kernel/feed/list_read_schedule.hpp"
#include "yuccascale/kernel/feed/list_search.hpp"

#include <gtest/gtest.h>

/// \file
/// \brief Which of two lists of endpoints is the newer one, and how old it is.

namespace yuccascale::kernel::feed {

namespace {

constexpr seconds freshness{4};
constexpr list_times times{milliseconds(600), milliseconds(500), seconds(3)};

/// A list that shows the endpoints named, all of one pool.
[[nodiscard]] std::vector<listed_endpoint> listOf(const std::vector<std::string> &names)
{
    std::vector<listed_endpoint> out;
    for (const std::string &name : names) {
        out.emplace_back();
        out.back().pool = "engines";
        out.back().row.name = name;
    }
    return out;
}

/// Two readers, a relay and an entry, with one clock.
class list_age : public testing::Test
{
protected:
    list_age() { m_clock.advance(seconds(100)); }

    [[nodiscard]] instant now() const { return m_clock.now(); }

    void read(feed_state &node, instant askedAt, std::uint64_t fence,
              const std::vector<std::string> &names)
    {
        static_cast<void>(node.readEndpoints({askedAt, fence, listOf(names)}));
    }

    [[nodiscard]] feed_reply answerTo(const feed_state &from, feed_state &to) const
    {
        node_report self;
        self.node = self.link = "poller";
        return to.answer(now(), "poller", from.request(now(), self, false));
    }

    /// Polls; the answer arrives after \a took.
    bool poll(feed_state &from, feed_state &to, nanoseconds took = {})
    {
        const instant requestedAt = now();
        const feed_reply reply = answerTo(from, to);
        m_clock.advance(took);
        return from.install(requestedAt, reply, now());
    }

    [[nodiscard]] static std::vector<std::string> namesIn(const feed_state &node)
    {
        std::vector<std::string> names;
        for (const listed_endpoint &one : node.endpoints()->endpoints)
            names.push_back(one.row.name);
        return names;
    }

    [[nodiscard]] nanoseconds ageAt(const feed_state &node) const
    {
        return now() - node.endpointsAskedAt().value_or(instant{});
    }

    fakes::manual_clock m_clock;
    feed_state m_first{freshness};
    feed_state m_second{freshness};
    feed_state m_relay{freshness};
    feed_state m_entry{freshness};
};

using names = std::vector<std::string>;

} // namespace

/// Guards against a list that looks young at each node that it comes to.
TEST_F(list_age, countsFromWhenTheReaderBeganToAskThroughARelay)
{
    const instant askedAt = now();
    m_clock.advance(milliseconds(700));
    read(m_first, askedAt, 5, {"a"});
    m_clock.advance(milliseconds(200));
    poll(m_relay, m_first);
    m_clock.advance(milliseconds(400));
    poll(m_entry, m_relay);
    EXPECT_EQ(namesIn(m_entry), names{"a"});
    EXPECT_EQ(ageAt(m_entry), milliseconds(1'300));
}

/// Guards against a list that grows old at the entries while the platform shows the same again and
/// again, and against its bytes in each answer.
TEST_F(list_age, isRenewedWithoutTheListWhileItIsUnchanged)
{
    read(m_first, now(), 5, {"a"});
    poll(m_entry, m_first);
    const std::uint64_t version = m_entry.endpoints()->version;
    m_clock.advance(seconds(2));
    read(m_first, now(), 5, {"a"});
    EXPECT_TRUE(answerTo(m_entry, m_first).endpoints.empty());
    EXPECT_FALSE(poll(m_entry, m_first));
    EXPECT_EQ(ageAt(m_entry), nanoseconds::zero());
    EXPECT_EQ(m_entry.endpoints()->version, version);
}

/// Guards against an answer that took long and makes the list look younger than it is.
TEST_F(list_age, aSlowAnswerMakesNoListYounger)
{
    read(m_first, now(), 5, {"a"});
    m_clock.advance(milliseconds(500));
    poll(m_entry, m_first, milliseconds(900));
    EXPECT_GE(ageAt(m_entry), milliseconds(1'400));
}

/// Guards against an election whose new leader begins with an older list than the entries have.
TEST_F(list_age, aHigherFenceMakesNoListNewerThatWasAskedForEarlier)
{
    const instant early = now();
    m_clock.advance(seconds(1));
    read(m_first, now(), 5, {"a", "b"});
    poll(m_entry, m_first);
    read(m_second, early, 6, {"a"});
    EXPECT_FALSE(poll(m_entry, m_second));
    EXPECT_EQ(namesIn(m_entry), (names{"a", "b"}));
    m_clock.advance(seconds(1));
    read(m_second, now(), 6, {"b"});
    EXPECT_TRUE(poll(m_entry, m_second));
    EXPECT_EQ(namesIn(m_entry), names{"b"});
}

/// Guards against two elections in a row, in which nobody's list counts but the last leader's.
TEST_F(list_age, aReaderThatDoesNotLeadIsBelievedForItsTime)
{
    read(m_first, now(), 5, {"a", "b"});
    poll(m_second, m_first);
    poll(m_entry, m_first);
    m_clock.advance(seconds(2));
    read(m_second, now(), 0, {"b"});
    EXPECT_TRUE(poll(m_entry, m_second));
    EXPECT_EQ(namesIn(m_entry), names{"b"});
    EXPECT_FALSE(poll(m_entry, m_first)) << "nor back to the former leader's";
    EXPECT_EQ(namesIn(m_entry), names{"b"});
}

/// Guards against a leader that reads slowly and takes back what another reader has seen meanwhile.
TEST_F(list_age, aReadingThatTookLongReplacesNothingThatWasAskedForAfterIt)
{
    const instant early = now();
    m_clock.advance(milliseconds(300));
    read(m_second, now(), 0, {"b"});
    poll(m_first, m_second);
    m_clock.advance(seconds(1));
    read(m_first, early, 5, {"a", "b"});
    EXPECT_EQ(namesIn(m_first), names{"b"});
}

/// Guards against an entry that goes back and forth between readers whose times it cannot tell
/// apart.
TEST_F(list_age, aListIsReplacedOnlyByOneThatWasCertainlyAskedForLater)
{
    read(m_first, now(), 5, {"a"});
    poll(m_entry, m_first, milliseconds(800)); // asked for up to 0.8 s later, for all that it knows
    read(m_second, now() - milliseconds(400), 6, {"b"});
    EXPECT_FALSE(poll(m_entry, m_second));
    m_clock.advance(milliseconds(500));
    read(m_second, now(), 6, {"b"});
    EXPECT_TRUE(poll(m_entry, m_second));
}

/// Guards against lists that are sent again and again while several nodes read the same.
TEST_F(list_age, theSameListOfAnotherReaderIsNotSentAgain)
{
    read(m_first, now(), 5, {"a", "b"});
    poll(m_entry, m_first);
    m_clock.advance(seconds(1));
    read(m_second, now(), 0, {"a", "b"});
    EXPECT_TRUE(answerTo(m_entry, m_second).endpoints.empty());
    EXPECT_FALSE(poll(m_entry, m_second));
    EXPECT_EQ(ageAt(m_entry), nanoseconds::zero());
}

/// Guards against a former build that takes no list after one of a reader without a fence.
TEST_F(list_age, versionsRiseAtEachNodeForFormerBuilds)
{
    std::uint64_t last = 0;
    const auto expectRise = [&](const feed_state &node) {
        EXPECT_GT(node.endpoints()->version, last);
        last = node.endpoints()->version;
        m_clock.advance(seconds(1));
    };
    read(m_first, now(), 5, {"a"});
    expectRise(m_first);
    read(m_first, now(), 0, {"b"});
    expectRise(m_first);
    read(m_first, now(), 6, {"c"});
    expectRise(m_first);
    EXPECT_EQ(last >> 32U, 6U);
    read(m_second, now(), 5, {"d"}); // a version below the one that the first has
    poll(m_first, m_second);
    expectRise(m_first);
    EXPECT_EQ(namesIn(m_first), names{"d"});
}

/// Guards against taking an answer of a former build for one about a list that was just read.
TEST_F(list_age, anAnswerOfAFormerBuildSaysNothingOfItsAge)
{
    feed_reply former;
    former.endpoints.push_back(makeEncoded(endpoint_list{7, listOf({"a"})}));
    EXPECT_TRUE(m_entry.install(now(), former));
    EXPECT_EQ(namesIn(m_entry), names{"a"});
    EXPECT_FALSE(m_entry.endpointsAskedAt());
    EXPECT_TRUE(times.tooOld(now(), m_entry.endpointsAskedAt()));
    EXPECT_FALSE(m_entry.install(now(), former)) << "told apart by its version";
    m_clock.advance(seconds(1));
    read(m_first, now(), 5, {"a"});
    static_cast<void>(poll(m_entry, m_first));
    EXPECT_EQ(ageAt(m_entry), nanoseconds::zero());
}

/// Guards against a former build that gets no list, as its request names no digest.
TEST_F(list_age, aFormerBuildGetsTheListByItsVersion)
{
    read(m_first, now(), 5, {"a"});
    feed_request former;
    EXPECT_EQ(m_first.answer(now(), "former", former).endpoints.size(), 1U);
    former.haveEndpointsVersion = m_first.endpoints()->version;
    EXPECT_TRUE(m_first.answer(now(), "former", former).endpoints.empty());
}

/// Guards against reads of every control node in calm, and against none without a leader.
TEST(list_read_schedule, aFollowerReadsOnceItsCopyIsOlderThanInCalm)
{
    const instant start(seconds(100));
    list_read_schedule schedule(times, start);
    EXPECT_TRUE(schedule.due(start, true, std::nullopt));
    EXPECT_FALSE(schedule.due(start, false, std::nullopt)) << "its copy may be on its way";
    EXPECT_TRUE(schedule.due(start + times.ownReadAge(), false, std::nullopt));
    const instant later = start + seconds(60);
    const nanoseconds inCalm = times.listInterval + times.feedInterval;
    EXPECT_FALSE(schedule.due(later, false, later - inCalm));
    EXPECT_TRUE(schedule.due(later, false, later - times.ownReadAge()));
    schedule.asked(later);
    EXPECT_FALSE(schedule.due(later + milliseconds(50), false, std::nullopt)) << "platform is down";
    EXPECT_FALSE(schedule.due(later + milliseconds(50), true, std::nullopt));
    EXPECT_TRUE(schedule.due(later + times.listInterval, true, std::nullopt)) << "elected";
}

TEST(list_read_schedule, onlyTheLeaderReadsWithoutABound)
{
    const instant start(seconds(100));
    const list_read_schedule schedule({milliseconds(600), milliseconds(500), {}}, start);
    EXPECT_FALSE(schedule.due(start + seconds(60), false, std::nullopt));
    EXPECT_TRUE(schedule.due(start + seconds(60), true, std::nullopt));
}

/// Guards against a bound that holds only for one interval, or only for one platform.
TEST(list_times, everyStepFitsIntoTheBoundAndNoneIsTakenInCalm)
{
    for (const milliseconds notice :
         {milliseconds(2'700), milliseconds(3'000), milliseconds(10'000)}) {
        for (const milliseconds interval : {milliseconds(200), milliseconds(600)}) {
            const list_times derived{interval, milliseconds(500), notice};
            EXPECT_GT(derived.ownReadAge(), derived.listInterval + interval);
            EXPECT_LE(derived.ownReadAge(), derived.longestLag());
            EXPECT_LE(derived.longestLag() + interval, notice);
        }
    }
}

/// Guards against entries that ask every control node in every round while the platform is down.
TEST(list_search, asksEachNodeOnceInTheTimeOfTheBound)
{
    list_search search(times);
    const names nodes{"a", "b", "c", "d"};
    const instant start(seconds(100));
    const instant old = start - seconds(3);
    EXPECT_TRUE(search.next(start, start - times.longestLag(), nodes).empty());
    EXPECT_EQ(search.next(start, old, nodes), (names{"a", "b"}));
    EXPECT_EQ(search.next(start, old, nodes), (names{"c", "d"}));
    EXPECT_TRUE(search.next(start + seconds(2), old, nodes).empty());
    EXPECT_EQ(search.next(start + seconds(3), std::nullopt, nodes), (names{"a", "b"}));
    EXPECT_TRUE(search.next(start + seconds(4), start + seconds(4), nodes).empty());
    EXPECT_EQ(search.next(start + seconds(4), old, nodes), (names{"a", "b"}))
            << "they had a younger one";
}

} // namespace yuccascale::kernel::feed
