#include "yuccascale/cli/node_command.hpp"

#include <gflags/gflags.h>

DEFINE_string(settings, "", "settings file of the node");

namespace yuccascale::cli {

kernel::result<void> runNode(command_words)
{
    return kernel::fail(kernel::error_kind::Internal, "node",
                        "this build has no node; take a later one");
}

} // namespace yuccascale::cli
