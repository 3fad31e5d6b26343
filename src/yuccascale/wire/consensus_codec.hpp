#pragma once

#include "yuccascale/kernel/consensus/messages.hpp"

#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Codec of the messages between replicas.

namespace yuccascale::wire {

/// \returns the message encoded as a FlatBuffer.
[[nodiscard]] std::string encodeConsensus(const kernel::consensus::message &message);

/// \brief Decodes and verifies a message.
/// \returns nothing when \a bytes are not a valid message.
[[nodiscard]] std::optional<kernel::consensus::message> decodeConsensus(std::string_view bytes);

} // namespace yuccascale::wire
