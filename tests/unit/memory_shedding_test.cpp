#include "yuccascale/kernel/requests/memory_shedding.hpp"

#include <gtest/gtest.h>

namespace yuccascale::kernel::requests {

namespace {

constexpr std::size_t megabyte = 1U << 20U;
const instant now{std::chrono::seconds(1'000)};

memory_holder holder(std::uint64_t id, std::size_t bytes, milliseconds age, milliseconds idle)
{
    return {id, bytes, now - age, now - idle};
}

using ids = std::vector<std::uint64_t>;

} // namespace

/// Guards against refusing anybody while there is room.
TEST(memory_shedding, shedsNobodyWithinTheLimit)
{
    EXPECT_EQ(holdersToShed({8 * megabyte, 8 * megabyte, megabyte},
                            {holder(1, megabyte, milliseconds(5'000), milliseconds(5'000))}, now),
              ids());
}

/// Guards against a crowd that keeps what it holds while those who come later are refused.
TEST(memory_shedding, shedsWhatIsHeldLongestWithoutProgressFirst)
{
    const std::vector<memory_holder> holders{
            holder(1, 4 * megabyte, milliseconds(100), milliseconds(0)),
            holder(2, 4 * megabyte, milliseconds(3'000), milliseconds(2'900)),
            holder(3, 1'000, milliseconds(9'000), milliseconds(9'000)),
            holder(4, 4 * megabyte, milliseconds(3'000), milliseconds(10))};
    EXPECT_EQ(holdersToShed({10 * megabyte, 12 * megabyte + 1'000, 4 * megabyte}, holders, now),
              ids{2});
    EXPECT_EQ(holdersToShed({4 * megabyte, 12 * megabyte + 1'000, 4 * megabyte}, holders, now),
              (ids{2, 4, 1}));
}

/// Guards against shedding those whose bytes cannot make room, and against shedding all of them for
/// a reserve that cannot be reached.
TEST(memory_shedding, shedsNoMoreThanHelps)
{
    const std::vector<memory_holder> holders{
            holder(1, megabyte, milliseconds(5'000), milliseconds(5'000)),
            holder(2, megabyte, milliseconds(3'000), milliseconds(3'000))};
    EXPECT_EQ(holdersToShed({16 * megabyte, 19 * megabyte, 4 * megabyte}, holders, now), ids());
    EXPECT_EQ(holdersToShed({16 * megabyte, 17 * megabyte, 4 * megabyte}, holders, now), ids{1});
}

/// Guards against a caller that seems to progress by sending a byte now and then.
TEST(memory_shedding, aByteNowAndThenDoesNotMakeAConnectionYoung)
{
    const std::vector<memory_holder> holders{
            holder(1, 4 * megabyte, milliseconds(500), milliseconds(400)),
            holder(2, 4 * megabyte, milliseconds(8'000), milliseconds(1))};
    EXPECT_EQ(holdersToShed({6 * megabyte, 8 * megabyte, 4 * megabyte}, holders, now), ids{2});
}

/// Guards against a budget that is smaller than a legal request and refuses it in calm.
TEST(memory_shedding, keepsASingleRequestThatExceedsTheLimitAlone)
{
    const std::vector<memory_holder> holders{
            holder(1, 8 * megabyte, milliseconds(5'000), milliseconds(0)),
            holder(2, 1'000, milliseconds(0), milliseconds(0))};
    EXPECT_EQ(holdersToShed({2 * megabyte, 8 * megabyte + 1'000, 8 * megabyte}, holders, now),
              ids());
    EXPECT_FALSE(memorySuffices({2 * megabyte, 16 * megabyte, 8 * megabyte}));
}

} // namespace yuccascale::kernel::requests
