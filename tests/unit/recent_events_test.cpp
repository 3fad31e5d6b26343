#include "fakes/manual_clock.hpp"
#include "fakes/null_event_sink.hpp"
#include "yuccascale/runtime/decision_memory.hpp"

#include <gtest/gtest.h>

#include <string>

/// \file
/// \brief Events keep a bounded part of what callers name.

namespace yuccascale::runtime {

namespace {

const kernel::event_kind testEvent{1, "test_event", kernel::severity::Info, "For a test."};

} // namespace

/// Guards against events that hold long names of callers without a bound.
TEST(recent_events, cutLongValuesAndFindThemByTheWholeName)
{
    fakes::manual_clock clock;
    fakes::null_event_sink log;
    recent_events events(clock, log);
    const std::string id(12'000, 'i');
    events.record(testEvent, {{"request_id", id}, {"count", 1}});
    const kernel::json found = events.find(id);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0]["fields"]["request_id"], std::string(kernel::maxFieldBytes, 'i'));
}

} // namespace yuccascale::runtime
