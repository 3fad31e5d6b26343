#include "fakes/state_commands.hpp"

#include <gtest/gtest.h>

namespace yuccascale::kernel::state {

namespace {

using namespace fakes;

std::string stateOf(const command_result &answer)
{
    return answer.detail.value("state", std::string());
}

} // namespace

TEST(state_claims, firstClaimWinsAndLaterClaimsGetTheRecordedAnswer)
{
    applied_log log;
    const claim_request claim = makeClaim("k", "a/1");
    EXPECT_TRUE(log.apply(claim, "op-1").accepted);
    EXPECT_TRUE(log.apply(claim, "op-1").accepted) << "a resend of the claim that won";
    EXPECT_EQ(stateOf(log.apply(makeClaim("k", "b/1"), "op-2")), "running");
    const std::string answer("ticket 7\0\xff", 10);
    EXPECT_TRUE(log.apply(makeSettlement(claim, "op-1", claim_outcome::Answered, answer), "op-3")
                        .accepted);
    log.restart();
    const command_result repeat = log.apply(makeClaim("k", "b/1"), "op-4");
    EXPECT_FALSE(repeat.accepted);
    EXPECT_EQ(stateOf(repeat), "answered");
    EXPECT_EQ(repeat.detail.at("answer").get<std::string>(), answer);
    EXPECT_FALSE(log.apply(claim, "op-1").accepted) << "it ran; a late resend must not run again";
}

TEST(state_claims, refusesAKeyReusedForADifferentRequest)
{
    applied_log log;
    EXPECT_TRUE(log.apply(makeClaim("k", "a/1"), "op-1").accepted);
    claim_request other = makeClaim("k", "a/1");
    other.fingerprint = "another body";
    EXPECT_EQ(stateOf(log.apply(other, "op-2")), "other_request");
}

TEST(state_claims, onlyTheClaimingEntryMaySettle)
{
    applied_log log;
    claim_request claim = makeClaim("k", "a/1");
    EXPECT_TRUE(log.apply(claim, "op-1").accepted);
    claim.entry = "b/1";
    EXPECT_EQ(log.apply(makeSettlement(claim, "op-1", claim_outcome::NotRun)).kind,
              error_kind::Forbidden);
}

TEST(state_claims, lateSettlementOfAnEarlierClaimDoesNotReleaseTheCurrentOne)
{
    applied_log log;
    const claim_request claim = makeClaim("k", "a/1");
    const settle_claim notRun = makeSettlement(claim, "op-1", claim_outcome::NotRun);
    EXPECT_TRUE(log.apply(claim, "op-1").accepted);
    EXPECT_TRUE(log.apply(notRun).accepted);
    EXPECT_TRUE(log.apply(claim, "op-2").accepted);
    EXPECT_FALSE(log.apply(notRun).accepted);
    EXPECT_EQ(stateOf(log.apply(makeClaim("k", "b/1"), "op-3")), "running");
}

TEST(state_claims, claimsOfARetiredEntryBecomeUnknown)
{
    applied_log log;
    const claim_request claim = makeClaim("k", "a/1");
    EXPECT_TRUE(log.apply(claim, "op-1").accepted);
    EXPECT_TRUE(log.apply(retire_entry{"a/1"}).accepted);
    log.restart();
    EXPECT_EQ(stateOf(log.apply(makeClaim("k", "b/1"), "op-2")), "unknown");
    EXPECT_EQ(log.apply(makeClaim("k2", "a/1"), "op-3").kind, error_kind::Unavailable);
    EXPECT_TRUE(log.apply(makeSettlement(claim, "op-1", claim_outcome::Answered, "late")).accepted);
    EXPECT_EQ(stateOf(log.apply(makeClaim("k", "b/1"), "op-4")), "answered");
}

TEST(state_claims, anExpiredKeyIsRefusedAsTooOldAndNeverRunsAgain)
{
    limits bounds;
    bounds.claims = 2;
    bounds.expiredClaims = 2;
    applied_log log(bounds);
    for (int number = 0; number < 6; ++number) {
        claim_request claim = makeClaim("k" + std::to_string(number), "a/1");
        claim.wallMs += number;
        const std::string operation = "op-" + std::to_string(number);
        ASSERT_TRUE(log.apply(claim, operation).accepted);
        ASSERT_TRUE(
                log.apply(makeSettlement(claim, operation, claim_outcome::Answered, "x")).accepted);
    }
    log.restart();
    EXPECT_EQ(stateOf(log.apply(makeClaim("k3", "b/1"), "op-a")), "too_old");
    claim_request forgotten = makeClaim("k0", "b/1");
    forgotten.issuedMs = firstWindowMs;
    EXPECT_EQ(stateOf(log.apply(forgotten, "op-b")), "too_old");
}

TEST(state_claims, refusesClaimsBeyondTheLimitOfRunningOnes)
{
    limits bounds;
    bounds.claims = 2;
    applied_log log(bounds);
    EXPECT_TRUE(log.apply(makeClaim("k1", "a/1"), "op-1").accepted);
    EXPECT_TRUE(log.apply(makeClaim("k2", "a/1"), "op-2").accepted);
    EXPECT_EQ(log.apply(makeClaim("k3", "a/1"), "op-3").kind, error_kind::Overloaded);
    EXPECT_EQ(stateOf(log.apply(makeClaim("k1", "b/1"), "op-4")), "running");
}

TEST(state_claims, recordedAnswersStayWithinTheByteLimit)
{
    limits bounds;
    bounds.claimAnswerBytes = 100;
    applied_log log(bounds);
    for (int number = 0; number < 3; ++number) {
        const claim_request claim = makeClaim("k" + std::to_string(number), "a/1");
        const std::string operation = "op-" + std::to_string(number);
        EXPECT_TRUE(log.apply(claim, operation).accepted);
        EXPECT_TRUE(log.apply(makeSettlement(claim, operation, claim_outcome::Answered,
                                             std::string(40, 'x')))
                            .accepted);
    }
    const command_result first = log.apply(makeClaim("k0", "b/1"), "op-a");
    EXPECT_EQ(stateOf(first), "answered");
    EXPECT_FALSE(first.detail.contains("answer"));
    EXPECT_TRUE(log.apply(makeClaim("k2", "b/1"), "op-b").detail.contains("answer"));
}

} // namespace yuccascale::kernel::state
