#include "platform_document_reading.hpp"
#include "yuccascale/http/caller_limits.hpp"
#include "yuccascale/kernel/feed/table_history.hpp"

#include <gtest/gtest.h>

#include <limits>

/// \file
/// \brief Which limits an entry sets on callers, by its settings and by the documents in force.

namespace yuccascale::http {

namespace {

using kernel::json;
using platform::document_holder;
using platform::sampleDocument;

constexpr std::uint64_t settingsBodyBytes = 4'000'000;

net::http_limits limitsWith(const kernel::state::table_set &tables)
{
    runtime::http_settings settings;
    settings.maxBodyBytes = settingsBodyBytes;
    return limitsInForce(settings, tables);
}

json documentWithLimits(std::uint64_t version, const json &limits)
{
    json document = sampleDocument(version);
    document["limits"] = limits;
    return document;
}

} // namespace

/// Guards against limits of a former document that stay in force at entries when the next one has
/// none.
TEST(caller_limits, areThoseOfTheSettingsOnceADocumentHasNone)
{
    for (const std::string next : {"missing", "null"}) {
        document_holder holder;
        ASSERT_TRUE(holder.put(documentWithLimits(1, {{"max_body_bytes", 10}})));
        kernel::state::table_set atEntry = *holder.tables();
        EXPECT_EQ(limitsWith(atEntry).bodyBytes, 10U);
        json without = documentWithLimits(2, nullptr);
        if (next == "missing")
            without.erase("limits");
        ASSERT_TRUE(holder.put(without));
        const auto change = kernel::feed::difference(atEntry, *holder.tables());
        const auto sent = kernel::fromCbor<kernel::state::edit_tables>(kernel::toCbor(change), "");
        kernel::feed::applyRows(atEntry, sent.value(), holder.tables()->revision);
        EXPECT_TRUE(atEntry.limits.empty()) << next;
        EXPECT_EQ(limitsWith(atEntry).bodyBytes, settingsBodyBytes) << next;
    }
}

/// Guards against limits that go because an edit says nothing of them, as former builds' edits do.
TEST(caller_limits, stayWhenAChangeSaysNothingOfThem)
{
    document_holder holder;
    ASSERT_TRUE(holder.put(documentWithLimits(1, {{"max_body_bytes", 10}})));
    kernel::state::table_set atEntry = *holder.tables();
    ASSERT_TRUE(holder.put(documentWithLimits(2, {{"max_body_bytes", 10}})));
    const auto change = kernel::feed::difference(atEntry, *holder.tables());
    EXPECT_FALSE(change.removeLimits);
    kernel::feed::applyRows(atEntry, change, holder.tables()->revision);
    EXPECT_EQ(limitsWith(atEntry).bodyBytes, 10U);
    json ofFormerBuild = change;
    ofFormerBuild.erase("removeLimits");
    EXPECT_FALSE(ofFormerBuild.get<kernel::state::edit_tables>().removeLimits);
}

/// Guards against a great limit that wraps when it is converted, so that every request is refused.
TEST(caller_limits, thatAreGreatStayGreat)
{
    constexpr std::uint64_t greatest = std::numeric_limits<std::int64_t>::max();
    for (const std::uint64_t value : {std::uint64_t{1} << 32U, greatest}) {
        document_holder holder;
        ASSERT_TRUE(holder.put(documentWithLimits(1,
                                                  {{"max_header_bytes", value},
                                                   {"max_body_bytes", value},
                                                   {"header_timeout_ms", value},
                                                   {"idle_timeout_ms", value}})));
        const net::http_limits limits = limitsWith(*holder.tables());
        EXPECT_EQ(limits.bodyBytes, value);
        EXPECT_GT(static_cast<std::uint32_t>(limits.headerBytes), 1U << 30U);
        const auto now = std::chrono::steady_clock::now();
        EXPECT_GT(now + limits.readTimeout, now) << value;
        EXPECT_GT(now + limits.idleTimeout, now) << value;
    }
}

} // namespace yuccascale::http
