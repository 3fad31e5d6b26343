#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Checksummed frames of records in a file, and their recovery after a crash.

namespace yuccascale::store {

/// \brief Largest record in bytes.
inline constexpr std::uint32_t maxRecordBytes = 1U << 30U;

/// \returns \a record in a frame. Frames of a file are numbered, so that a missing one is detected.
[[nodiscard]] std::string frameRecord(std::uint64_t sequence, std::string_view record);

/// \brief Result of reading a file of frames.
struct frame_scan
{
    std::vector<std::string_view> records; ///< views into the scanned bytes
    std::uint64_t completeBytes = 0;       ///< length of the complete frames at the start
    bool tornTail = false;                 ///< bytes follow that are not a complete frame
    bool corruptMiddle = false; ///< a complete frame follows damaged bytes: durable data is lost
};

/// \brief Reads frames from the start of \a bytes, numbered from \a firstSequence on.
[[nodiscard]] frame_scan scanFrames(std::string_view bytes, std::uint64_t firstSequence);

} // namespace yuccascale::store
