#include "fakes/manual_clock.hpp"
#include "fakes/null_event_sink.hpp"
#include "yuccascale/runtime/edit_answers.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <future>

/// \file
/// \brief Answers to edits while their node stops.

namespace yuccascale::runtime {

/// Guards against an answer that is given after what it uses is gone.
TEST(edit_answers, stopWaitsForAnAnswerThatIsBeingGiven)
{
    fakes::manual_clock clock;
    fakes::null_event_sink events;
    std::atomic<std::uint64_t> settled{0};
    edit_answers answers(clock, events,
                         {[&] { return settled.load(); }, [] { return std::string(); }});
    std::promise<void> begun;
    std::promise<void> mayEnd;
    committed_edit edit;
    edit.revision = 7;
    edit.settledBy = kernel::instant::max();
    edit.deadline = kernel::instant::max();
    edit.answer = [&](bool) {
        begun.set_value();
        mayEnd.get_future().wait();
    };
    answers.add(std::move(edit));
    settled = 7;
    auto checking = std::async(std::launch::async, [&] { answers.check(); });
    begun.get_future().wait();
    auto stopping = std::async(std::launch::async, [&] { answers.stop(); });
    EXPECT_EQ(stopping.wait_for(kernel::milliseconds(200)), std::future_status::timeout);
    mayEnd.set_value();
    stopping.wait();
    checking.wait();
}

} // namespace yuccascale::runtime
