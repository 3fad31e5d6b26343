#include "fakes/former_load_generated.h"
#include "yuccascale/kernel/json.hpp"
#include "yuccascale/kernel/state/tables.hpp"
#include "yuccascale/wire/load_codec.hpp"

#include <gtest/gtest.h>

#include <limits>

/// \file
/// \brief Load messages and rows of organisations between this build and 30bf086, whose schema is
/// fakes/former_load.fbs.

namespace yuccascale::wire {

namespace {

namespace former = former_30bf086::load::fb;

using kernel::requests::quota_report;

[[nodiscard]] std::string bytesOf(const flatbuffers::FlatBufferBuilder &builder)
{
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

/// What a former build sends that charges one organisation and names one limit.
[[nodiscard]] std::string formerMessage()
{
    flatbuffers::FlatBufferBuilder builder;
    const auto pool = builder.CreateSharedString("engines");
    const auto organisation = builder.CreateSharedString("t1");
    const std::vector<flatbuffers::Offset<former::Charge>> charges{
            former::CreateCharge(builder, pool, organisation, 5)};
    const auto chargeRows = builder.CreateVector(charges);
    const auto placements
            = builder.CreateVector(std::vector<flatbuffers::Offset<former::Placement>>());
    const auto failures = builder.CreateVector(std::vector<flatbuffers::Offset<former::Failure>>());
    const auto leaving = builder.CreateVector(std::vector<flatbuffers::Offset<former::Leaving>>());
    const auto crashes = builder.CreateVector(std::vector<flatbuffers::Offset<former::Crash>>());
    const auto cleared = builder.CreateVector(std::vector<flatbuffers::Offset<former::Cleared>>());
    const auto limits = builder.CreateVector(std::vector<flatbuffers::Offset<former::Limit>>());
    builder.Finish(former::CreateLoad(builder, chargeRows, placements, failures, leaving, crashes,
                                      cleared, limits));
    return bytesOf(builder);
}

} // namespace

TEST(former_load, aMessageOfAFormerBuildIsReadAndTellsOfNoQuota)
{
    const load_message message = decodeLoad(formerMessage());
    ASSERT_EQ(message.charges.size(), 1U);
    EXPECT_EQ(message.charges.front().organisation, "t1");
    EXPECT_TRUE(message.quotas.empty());
}

TEST(former_load, aFormerBuildReadsAMessageWithQuotas)
{
    load_message message;
    message.charges = {{"engines", "t1", 5}};
    message.quotas = {{"t1", 3, 2'000, 1'000, 7'000, 6'000}};
    const std::string bytes = encodeLoad(message);
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                                   bytes.size());
    ASSERT_TRUE(verifier.VerifyBuffer<former::Load>(nullptr));
    const former::Load &read = *flatbuffers::GetRoot<former::Load>(bytes.data());
    ASSERT_EQ(read.charges()->size(), 1U);
    EXPECT_EQ(read.charges()->Get(0)->organisation()->str(), "t1");
    EXPECT_EQ(read.limits()->size(), 0U);
}

/// Guards against messages that grow in deployments without quotas.
TEST(former_load, withoutQuotasAMessageIsByteForByteThatOfAFormerBuild)
{
    load_message message;
    message.charges = {{"engines", "t1", 5}};
    EXPECT_EQ(encodeLoad(message), formerMessage());
}

TEST(former_load, quotasAreDecodedAsTheyWereEncodedAndInvalidOnesIgnored)
{
    const double notANumber = std::numeric_limits<double>::quiet_NaN();
    load_message message;
    message.quotas = {{"t1", 3, 2'000, 1'000, 7'000, 6'000},
                      {"t2", 3, -1, 1'000, 7'000, 6'000},
                      {"t3", 3, 2'000, 1'000, notANumber, 6'000},
                      {"t4", 3, 2'000, notANumber, 7'000, 6'000}};
    const auto read = decodeLoad(encodeLoad(message)).quotas;
    ASSERT_EQ(read.size(), 1U);
    EXPECT_EQ(read.front(), message.quotas.front());
}

/// Guards against nodes of two builds that disagree about the rows they keep.
TEST(former_load, anOrganisationWithoutAQuotaIsWrittenAsAFormerBuildWritesIt)
{
    using kernel::json;
    kernel::state::organisation row;
    row.name = "t1";
    row.ranked = true;
    row.priority = -2;
    EXPECT_EQ(json(row),
              json({{"name", "t1"}, {"weight", 1.0}, {"ranked", true}, {"priority", -2}}));
    EXPECT_EQ(json(row).get<kernel::state::organisation>(), row);
    EXPECT_EQ(json({{"name", "t1"}}).get<kernel::state::organisation>().quota.size(), 0U);
    row.quota = {{1'000, 2'000, true, 200}};
    EXPECT_EQ(json(row).get<kernel::state::organisation>(), row);
}

} // namespace yuccascale::wire
