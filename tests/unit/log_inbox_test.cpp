#include "yuccascale/runtime/log_inbox.hpp"

#include <gtest/gtest.h>

namespace yuccascale::runtime {

/// Guards against a process that does not end because it was stopped as its data folder opened
/// again.
TEST(log_inbox, staysClosedOnceStopped)
{
    log_inbox inbox("a");
    inbox.open();
    inbox.stop();
    inbox.open();
    log_inbox::content taken;
    EXPECT_FALSE(inbox.take(taken, kernel::milliseconds(1)));
}

} // namespace yuccascale::runtime
