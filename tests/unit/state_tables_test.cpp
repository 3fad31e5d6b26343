#include "fakes/state_commands.hpp"
#include "yuccascale/kernel/state/key_digest.hpp"

#include <gtest/gtest.h>
#include <xxhash.h>

namespace yuccascale::kernel::state {

namespace {

using namespace fakes;

/// \returns the message of the refusal of an edit that follows firstEdit().
std::string refusalOf(const std::function<void(edit_tables &)> &change)
{
    applied_log log;
    EXPECT_TRUE(log.apply(firstEdit(), "op-1").accepted);
    edit_tables edit;
    edit.fromRevision = 1;
    change(edit);
    const command_result answer = log.apply(edit, "op-2");
    EXPECT_FALSE(answer.accepted);
    EXPECT_EQ(log.state().tables()->revision, 1U);
    return answer.message;
}

} // namespace

TEST(state_tables, editFromAnOldRevisionIsRefusedWithTheCurrentOne)
{
    applied_log log;
    EXPECT_TRUE(log.apply(firstEdit(), "op-a").accepted);
    edit_tables late;
    late.putOrganisations = {organisation{"mehta", 2.0}};
    const command_result answer = log.apply(late, "op-b");
    EXPECT_FALSE(answer.accepted);
    EXPECT_EQ(answer.kind, error_kind::Conflict);
    EXPECT_EQ(answer.revision, 1U);
    EXPECT_EQ(answer.message, "the tables are at revision 1; read them and edit again");
}

TEST(state_tables, resendGetsTheFirstAnswerAlsoAfterARestart)
{
    applied_log log;
    const command_result first = log.apply(firstEdit(), "op-a");
    edit_tables second;
    second.fromRevision = 1;
    second.removeRoutes = {"briefing"};
    EXPECT_TRUE(log.apply(second, "op-b").accepted);
    log.restart();
    edit_tables resent = firstEdit();
    resent.wallMs += 5;
    const command_result again = log.apply(resent, "op-a");
    EXPECT_EQ(json(again), json(first));
    EXPECT_EQ(log.state().tables()->revision, 2U);
}

/// Guards against replicas of two builds that take a resent edit for another one.
TEST(state_tables, theDigestOfAnEditIsThatOfFormerBuilds)
{
    applied_log log;
    EXPECT_TRUE(log.apply(firstEdit(), "op-a").accepted);
    edit_tables withoutTime = firstEdit();
    withoutTime.wallMs = 0;
    json asBefore = withoutTime;
    asBefore.erase("removeLimits");
    const std::string bytes = toCbor(asBefore);
    const std::string digest = toCbor(XXH3_64bits(bytes.data(), bytes.size()));
    EXPECT_NE(log.state().snapshot().find(digest), std::string::npos);
}

TEST(state_tables, refusesAnOperationIdReusedForADifferentEdit)
{
    applied_log log;
    EXPECT_TRUE(log.apply(firstEdit(), "op-a").accepted);
    edit_tables other = firstEdit();
    other.fromRevision = 1;
    EXPECT_EQ(log.apply(other, "op-a").kind, error_kind::InvalidArgument);
}

TEST(state_tables, resendWhoseAnswerWasDroppedIsRefusedAsUnknown)
{
    limits bounds;
    bounds.operationAnswers = 2;
    applied_log log(bounds);
    EXPECT_TRUE(log.apply(firstEdit(), "op-0").accepted);
    for (std::uint64_t revision = 1; revision <= 3; ++revision) {
        edit_tables edit;
        edit.fromRevision = revision;
        edit.putOrganisations = {organisation{"o" + std::to_string(revision), 1.0}};
        EXPECT_TRUE(log.apply(edit, "op-" + std::to_string(revision)).accepted);
    }
    log.restart();
    const command_result answer = log.apply(firstEdit(), "op-0");
    EXPECT_EQ(answer.kind, error_kind::OutcomeUnknown);
    EXPECT_NE(answer.message.find("results of edits made before revision"), std::string::npos);
}

TEST(state_tables, refusesAWholeEditAndNamesTheInvalidRow)
{
    EXPECT_EQ(refusalOf([](edit_tables &edit) {
                  edit.putOrganisations = {organisation{"fine", 1.0}};
                  edit.putRoutes = {makeRoute("lost", "nowhere")};
              }),
              "route/lost.pool: there is no pool 'nowhere'; create it in this edit or point the"
              " route to another pool");
    EXPECT_EQ(refusalOf([](edit_tables &edit) { edit.removePools = {"brief"}; }),
              "route/briefing.pool: there is no pool 'brief'; create it in this edit or point the"
              " route to another pool");
    EXPECT_EQ(refusalOf([](edit_tables &edit) {
                  edit.putOrganisations = {organisation{"swan", 0.0}};
              }),
              "organisation/swan.weight: must be above 0 and at most 1000000; set a weight in this "
              "range");
    EXPECT_EQ(refusalOf([](edit_tables &edit) {
                  edit.putPools = {makePool("other", {makeEndpoint("e1")})};
              }),
              "pool/other/e1.name: already in pool 'brief'; list each endpoint once, in one pool");
}

TEST(state_tables, refusesToRemoveAnOrganisationThatHasKeys)
{
    applied_log log;
    edit_tables edit = firstEdit();
    edit.putKeys = {key_record{"k1", "swan", keyDigest("yk_x")}};
    EXPECT_TRUE(log.apply(edit, "op-1").accepted);
    edit_tables removal;
    removal.fromRevision = 1;
    removal.removeOrganisations = {"swan"};
    const command_result answer = log.apply(removal, "op-2");
    EXPECT_NE(answer.message.find("key/k1.organisation"), std::string::npos) << answer.message;
}

TEST(state_tables, nonIdempotentRouteNeedsASteadyEndpoint)
{
    const std::string message = refusalOf([](edit_tables &edit) {
        edit.putPools = {makePool("cheap", {makeEndpoint("c1", endpoint_tenure::Cheap)})};
        route row = makeRoute("tickets", "cheap");
        row.idempotent = false;
        edit.putRoutes = {row};
    });
    EXPECT_NE(message.find("needs a steady endpoint"), std::string::npos) << message;
}

TEST(state_tables, anOpenOrderDrainsItsEndpointAndAnOlderEditDoesNotUndoIt)
{
    applied_log log;
    EXPECT_TRUE(log.apply(firstEdit(), "op-1").accepted);
    const command_result order
            = log.apply(open_order{"e1", order_kind::ChangeRole, "decode", 1, "mix", ""});
    EXPECT_TRUE(log.state().tables()->pools.at("brief").endpoints[0].draining);
    edit_tables edit = firstEdit();
    edit.fromRevision = 1;
    EXPECT_TRUE(log.apply(edit, "op-2").accepted);
    EXPECT_TRUE(log.state().tables()->pools.at("brief").endpoints[0].draining);
    EXPECT_TRUE(log.apply(settle_order{order.index, order_outcome::Done, "", 0, {}}).accepted);
    EXPECT_FALSE(log.state().tables()->pools.at("brief").endpoints[0].draining);
}

TEST(state_keys, digestAndComparison)
{
    EXPECT_EQ(keyDigest("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_TRUE(sameDigest("ab", "ab"));
    EXPECT_FALSE(sameDigest("ab", "ac"));
    EXPECT_FALSE(sameDigest("ab", "abc"));
    const std::string one = makeKey().value();
    EXPECT_EQ(one.size(), 67U);
    EXPECT_NE(one, makeKey().value());
}

TEST(state_snapshot, refusesTruncatedSnapshotsAndKeepsTheState)
{
    applied_log log;
    EXPECT_TRUE(log.apply(firstEdit(), "op-1").accepted);
    const std::string bytes = log.state().snapshot();
    for (std::size_t length = 0; length < bytes.size(); length += 7) {
        error problem;
        EXPECT_FALSE(
                succeeded([&] { return log.state().restore(bytes.substr(0, length)); }, problem));
        EXPECT_EQ(problem.kind, error_kind::Corrupt);
    }
    EXPECT_EQ(log.state().snapshot(), bytes);
}

} // namespace yuccascale::kernel::state
