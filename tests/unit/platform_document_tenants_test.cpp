#include "fakes/state_commands.hpp"
#include "platform_document_reading.hpp"
#include "yuccascale/kernel/feed/table_history.hpp"

#include <gtest/gtest.h>

/// \file
/// \brief Which documents let requests in without a key, and what the last tenant leaves behind.

namespace yuccascale::platform {

namespace {

using kernel::error_kind;
using kernel::requests::start_check;

json documentWithTenants(std::uint64_t version, const json &tenants)
{
    json document = sampleDocument(version);
    document["tenants"] = tenants;
    return document;
}

json tenant(const std::string &name, const json &keys)
{
    return {{"name", name}, {"api_keys", keys}};
}

/// \returns what a check says of a request that was read with \a before and is sent with \a now.
start_check checkAtSending(const std::shared_ptr<const kernel::state::table_set> &before,
                           const std::shared_ptr<const kernel::state::table_set> &now)
{
    kernel::requests::request waiting;
    waiting.route = before->routes.at("r1");
    waiting.keyDigest = kernel::requests::digestOf("key-one");
    waiting.organisation = "t1";
    const http::reading_context context = contextWith(now);
    return checkStart(context.now, context.view, waiting);
}

} // namespace

/// Guards against a withdrawn key, and any other, that runs once the last tenant is taken away.
TEST(platform_document_tenants, anEmptyListLeavesNoKeyValid)
{
    document_holder holder;
    ASSERT_TRUE(holder.put(sampleDocument(7)));
    const auto before = holder.tables();
    EXPECT_EQ(refusalOf(before, "key-one"), std::nullopt);
    ASSERT_TRUE(holder.put(documentWithTenants(8, json::array())));
    for (const std::string key : {"key-one", "never-held", ""})
        EXPECT_EQ(refusalOf(holder.tables(), key), error_kind::Unauthorized) << key;
    EXPECT_EQ(checkAtSending(before, holder.tables()), start_check::KeyWithdrawn)
            << "a request that waits while the last tenant goes";
}

/// Guards against requests that are refused though the document sets no keys.
TEST(platform_document_tenants, aDocumentThatNamesNoneNeedsNoKeys)
{
    json document = sampleDocument(7);
    document.erase("tenants");
    document_holder holder;
    ASSERT_TRUE(holder.put(document));
    for (const std::string key : {"key-one", ""})
        EXPECT_EQ(refusalOf(holder.tables(), key), std::nullopt) << key;
}

/// Guards against a value that is no list and is taken for the wish to open all routes.
TEST(platform_document_tenants, anythingButAListIsRefused)
{
    for (const json &tenants : {json(nullptr), json::object(), json(""), json(false), json(0)}) {
        const document_reading reading = readDocument(documentWithTenants(8, tenants).dump());
        EXPECT_FALSE(reading.document) << tenants;
        EXPECT_NE(reading.refusal().find("tenants"), std::string::npos) << reading.refusal();
    }
}

/// Guards against an open route that was open only because no tenant was left.
TEST(platform_document_tenants, anAnonymousRouteStaysOpenWithoutThem)
{
    json document = documentWithTenants(8, json::array());
    document["routes"][0]["anonymous"] = true;
    document_holder holder;
    ASSERT_TRUE(holder.put(document));
    EXPECT_EQ(refusalOf(holder.tables(), ""), std::nullopt);
    EXPECT_EQ(refusalOf(holder.tables(), "key-one"), std::nullopt);
}

/// Guards against a step on the way to no tenants, or back, that lets requests in.
TEST(platform_document_tenants, takeTheirKeysWithThemOneAfterTheOtherAndAllAtOnce)
{
    document_holder holder;
    std::uint64_t version = 0;
    const auto servedAfter = [&](const json &tenants) {
        EXPECT_TRUE(holder.put(documentWithTenants(++version, tenants)));
        std::string served;
        for (const std::string key : {"a", "b", "unknown"})
            served += refusalOf(holder.tables(), key) ? "-" : key;
        return served;
    };
    const json both{tenant("t1", {"a"}), tenant("t2", {"b"})};
    EXPECT_EQ(servedAfter(both), "ab-");
    EXPECT_EQ(servedAfter({tenant("t1", json::array()), tenant("t2", {"b"})}), "-b-");
    EXPECT_EQ(servedAfter(json::array({tenant("t2", {"b"})})), "-b-");
    EXPECT_EQ(servedAfter(json::array({tenant("t2", nullptr)})), "---");
    EXPECT_EQ(servedAfter(json::array({{{"name", "t2"}}})), "---") << "no api_keys";
    EXPECT_EQ(servedAfter(json::array()), "---");
    EXPECT_EQ(servedAfter(both), "ab-");
    EXPECT_EQ(servedAfter(json::array()), "---") << "all at once";
}

/// Guards against entries that keep the last tenant's key, since they are sent changes only.
TEST(platform_document_tenants, reachEntriesAsChangesToo)
{
    document_holder holder;
    ASSERT_TRUE(holder.put(sampleDocument(7)));
    auto atEntry = std::make_shared<kernel::state::table_set>(*holder.tables());
    ASSERT_TRUE(holder.put(documentWithTenants(8, json::array())));
    const auto change = kernel::feed::difference(*atEntry, *holder.tables());
    kernel::feed::applyRows(*atEntry, change, holder.tables()->revision);
    EXPECT_EQ(atEntry->routes, holder.tables()->routes);
    EXPECT_EQ(atEntry->organisations, holder.tables()->organisations);
    EXPECT_EQ(atEntry->keys, holder.tables()->keys);
    EXPECT_EQ(refusalOf(atEntry, "key-one"), error_kind::Unauthorized);
}

/// Guards against a snapshot that loses the difference between no tenants and no keys needed.
TEST(platform_document_tenants, stayAwayAfterARestartFromASnapshot)
{
    document_holder holder;
    ASSERT_TRUE(holder.put(documentWithTenants(8, json::array())));
    kernel::state::machine restarted;
    ASSERT_TRUE(restarted.restore(holder.machine().snapshot()));
    EXPECT_EQ(refusalOf(restarted.tables(), "key-one"), error_kind::Unauthorized);
}

/// Guards against the same fault in edits of single rows: a keyed route stays keyed when the last
/// organisation and its last key are removed.
TEST(state_tables_without_keys, keepAKeyedRouteKeyed)
{
    using namespace fakes;
    using kernel::state::key_record;
    applied_log log;
    edit_tables edit = firstEdit();
    edit.putKeys = {key_record{"k1", "swan", kernel::requests::digestOf("key-one")}};
    ASSERT_TRUE(log.apply(edit, "op-1").accepted);
    edit_tables removal;
    removal.fromRevision = 1;
    removal.removeOrganisations = {"swan"};
    removal.removeKeys = {"k1"};
    ASSERT_TRUE(log.apply(removal, "op-2").accepted);
    const auto tables = log.state().tables();
    EXPECT_EQ(tables->routes.at("briefing").access, kernel::state::route_access::Keyed);
    EXPECT_EQ(kernel::requests::organisationOf(*tables, kernel::requests::digestOf("key-one")), "");
}

} // namespace yuccascale::platform
