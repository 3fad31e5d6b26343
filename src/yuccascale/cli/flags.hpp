#pragma once

#include "yuccascale/kernel/clock.hpp"
#include "yuccascale/kernel/error.hpp"

#include <gflags/gflags_declare.h>

#include <string>
#include <vector>

/// \file
/// \brief The flags that several commands share, and the parser in front of gflags.

DECLARE_string(address);
DECLARE_string(operator_key_file);
DECLARE_string(output);
DECLARE_uint64(from_revision);
DECLARE_uint64(revision);
DECLARE_string(timeout);
DECLARE_bool(help);

namespace yuccascale::cli {

/// \brief Sets the flags among \a arguments and returns the other words.
/// \returns error_kind::InvalidArgument with the nearest flag when one is not known.
[[nodiscard]] kernel::result<std::vector<std::string>>
parseFlags(const std::vector<std::string> &arguments);

/// \returns the addresses of --address.
/// \returns error_kind::InvalidArgument when there is none or one is not IP:port.
[[nodiscard]] kernel::result<std::vector<std::string>> addressesFromFlag();

/// \returns --timeout as a duration.
[[nodiscard]] kernel::result<kernel::milliseconds> timeoutFromFlag();

} // namespace yuccascale::cli
