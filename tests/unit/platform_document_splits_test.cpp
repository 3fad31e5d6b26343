#include "platform_document_reading.hpp"

#include <gtest/gtest.h>

/// \file
/// \brief Routes that are split between services of different kinds.

namespace yuccascale::platform {

namespace {

using kernel::state::backend_kind;

json service(const std::string &name, bool engine)
{
    json row{{"name", name}};
    if (engine)
        row["engine"] = {{"models", {{{"name", "m"}}}}};
    return row;
}

json split(const std::string &name, const std::vector<std::string> &services)
{
    json row = sampleDocument()["routes"][0];
    row["name"] = name;
    row["path_prefix"] = "/" + name + "/";
    row.erase("service");
    for (const std::string &share : services)
        row["traffic_split"].push_back({{"service", share}, {"weight", 1}});
    return row;
}

json documentOf(const json &services, const json &routes)
{
    json document = sampleDocument();
    document["services"] = services;
    document["routes"] = routes;
    return document;
}

} // namespace

/// Guards against a refusal of a route that the page gives as its own example.
TEST(platform_document_splits, mayNameEngineAndPlainServicesInAnyOrder)
{
    const json services{service("plain", false), service("engine", true)};
    for (const std::vector<std::string> &order :
         std::vector<std::vector<std::string>>{{"engine", "plain"}, {"plain", "engine"}}) {
        document_holder holder;
        ASSERT_TRUE(holder.put(documentOf(services, json::array({split("a", order)}))));
        EXPECT_EQ(holder.tables()->routes.at("a").kind, backend_kind::Model);
        EXPECT_EQ(holder.tables()->routes.at("a").split.size(), 2U);
        EXPECT_EQ(refusalOf(holder.tables(), "key-one"), std::nullopt);
    }
}

/// Guards against a service that is of one kind for one route and of another for the next.
TEST(platform_document_splits, makeAllServicesThatTheyConnectOfOneKind)
{
    const json services{service("p1", false), service("p2", false), service("p3", false),
                        service("engine", true)};
    document_holder holder;
    ASSERT_TRUE(holder.put(documentOf(services,
                                      {split("a", {"p1", "p2"}), split("b", {"p2", "engine"}),
                                       split("c", {"p3"}), split("d", {"p1"})})));
    const auto tables = holder.tables();
    for (const std::string pool : {"p1", "p2", "engine"})
        EXPECT_EQ(tables->pools.at(pool).kind, backend_kind::Model) << pool;
    EXPECT_EQ(tables->pools.at("p3").kind, backend_kind::Service) << "no split connects it";
    EXPECT_EQ(tables->pools.at("engine").model, "m");
    for (const std::string route : {"a", "b", "d"})
        EXPECT_EQ(tables->routes.at(route).kind, backend_kind::Model) << route;
    EXPECT_EQ(tables->routes.at("c").kind, backend_kind::Service);
}

/// Guards against a document that is read in another way than before.
TEST(platform_document_splits, ofOneKindLeaveTheServicesAsTheyAre)
{
    const json services{service("p1", false), service("p2", false), service("engine", true)};
    document_holder holder;
    ASSERT_TRUE(
            holder.put(documentOf(services, {split("a", {"p1", "p2"}), split("b", {"engine"})})));
    EXPECT_EQ(holder.tables()->pools.at("p1").kind, backend_kind::Service);
    EXPECT_EQ(holder.tables()->pools.at("p2").kind, backend_kind::Service);
    EXPECT_EQ(holder.tables()->routes.at("a").kind, backend_kind::Service);
    EXPECT_FALSE(holder.put(documentOf(services, {split("a", {"p1", "nowhere"})})));
}

} // namespace yuccascale::platform
