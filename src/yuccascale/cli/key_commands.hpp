#pragma once

#include "yuccascale/cli/command.hpp"

/// \file
/// \brief Commands for the API keys of organisations.

namespace yuccascale::cli {

/// \brief Creates a key for an organisation and shows it once.
[[nodiscard]] kernel::result<void> createKey(command_arguments arguments);

/// \brief Lists the keys' ids and organisations; the keys themselves are not stored.
[[nodiscard]] kernel::result<void> listKeys(command_arguments arguments);

/// \brief Withdraws a key; it stops working everywhere within seconds.
[[nodiscard]] kernel::result<void> withdrawKey(command_arguments arguments);

} // namespace yuccascale::cli
