#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Checksummed frames in a file, and what can be read back after a crash.

namespace yuccascale::store {

/// \brief Largest record in bytes.
inline constexpr std::uint32_t maxRecordBytes = 1U << 30U;

/// \returns \a record in a frame. Frames of a file are numbered, so that none can be missing.
[[nodiscard]] std::string frameRecord(std::uint64_t sequence, std::string_view record);

/// \brief What a file of frames holds.
struct frame_scan
{
    std::vector<std::string_view> records; ///< views into the scanned bytes
    std::uint64_t completeBytes = 0;       ///< length of the whole frames at the start
    bool tornTail = false;                 ///< bytes follow that are not a whole frame
    bool corruptMiddle = false; ///< a whole frame follows bytes that are none: durable data is lost
};

/// \brief Reads frames from the start of \a bytes, numbered from \a firstSequence on.
[[nodiscard]] frame_scan scanFrames(std::string_view bytes, std::uint64_t firstSequence);

} // namespace yuccascale::store
