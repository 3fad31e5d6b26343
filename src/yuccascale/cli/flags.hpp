#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/error.hpp"

#include <gflags/gflags_declare.h>

#include <string>
#include <vector>

/// \file
/// \brief The flags that commands share, and the parser of the command line, which sets them
///        through gflags.

DECLARE_string(address);
DECLARE_string(operator_key_file);
DECLARE_string(output);
DECLARE_uint64(from_revision);
DECLARE_uint64(revision);
DECLARE_string(timeout);
DECLARE_bool(help);

namespace yuccascale::cli {

/// \brief Sets the flags among \a arguments and returns the positional arguments.
/// \returns error_kind::InvalidArgument when a flag is unknown, with the nearest known one, or when
///          a value does not fit its flag.
[[nodiscard]] kernel::result<std::vector<std::string>>
parseFlags(const std::vector<std::string> &arguments);

/// \returns the addresses of --address; error_kind::InvalidArgument when there is none or one of
///          them is not IP:port.
[[nodiscard]] kernel::result<std::vector<std::string>> addressesFromFlag();

/// \returns --timeout as a duration; error_kind::InvalidArgument when it has no known unit.
[[nodiscard]] kernel::result<kernel::milliseconds> timeoutFromFlag();

} // namespace yuccascale::cli
