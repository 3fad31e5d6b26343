#include "yuccascale/store/record_frames.hpp"

#include <xxhash.h>

#include <array>
#include <cstring>
#include <optional>

namespace yuccascale::store {

namespace {

constexpr std::uint32_t frameMagic = 0x46435559; // "YUCF"

struct frame_header
{
    std::uint32_t magic = frameMagic;
    std::uint32_t length = 0;
    std::uint64_t sequence = 0;
    std::uint64_t checksum = 0; ///< of the record and the fields above
};

std::uint64_t checksumOf(std::uint64_t sequence, std::string_view record) noexcept
{
    constexpr unsigned lengthShift = 32;
    const std::uint64_t seed
            = sequence ^ (static_cast<std::uint64_t>(record.size()) << lengthShift);
    return XXH3_64bits_withSeed(record.data(), record.size(), seed);
}

struct parsed_frame
{
    std::uint64_t sequence = 0;
    std::string_view record;
};

/// \returns the frame that starts \a bytes, or nothing when that is not a complete frame.
std::optional<parsed_frame> parseFrame(std::string_view bytes) noexcept
{
    frame_header header;
    if (bytes.size() < sizeof header)
        return std::nullopt;
    std::memcpy(&header, bytes.data(), sizeof header);
    const std::string_view rest = bytes.substr(sizeof header);
    if (header.magic != frameMagic || header.length > rest.size())
        return std::nullopt;
    const std::string_view record = rest.substr(0, header.length);
    if (checksumOf(header.sequence, record) != header.checksum)
        return std::nullopt;
    return parsed_frame{header.sequence, record};
}

/// \returns true when a complete frame starts anywhere in \a bytes.
bool containsFrame(std::string_view bytes) noexcept
{
    std::array<char, sizeof frameMagic> magic{};
    std::memcpy(magic.data(), &frameMagic, sizeof frameMagic);
    const std::string_view magicBytes(magic.data(), magic.size());
    for (std::size_t offset = bytes.find(magicBytes); offset != std::string_view::npos;
         offset = bytes.find(magicBytes, offset + 1)) {
        if (parseFrame(bytes.substr(offset)))
            return true;
    }
    return false;
}

} // namespace

std::string frameRecord(std::uint64_t sequence, std::string_view record)
{
    const frame_header header{frameMagic, static_cast<std::uint32_t>(record.size()), sequence,
                              checksumOf(sequence, record)};
    std::string frame(sizeof header, '\0');
    std::memcpy(frame.data(), &header, sizeof header);
    frame += record;
    return frame;
}

frame_scan scanFrames(std::string_view bytes, std::uint64_t firstSequence)
{
    frame_scan scan;
    std::uint64_t sequence = firstSequence;
    std::string_view rest = bytes;
    while (!rest.empty()) {
        const std::optional<parsed_frame> frame = parseFrame(rest);
        if (!frame || frame->sequence != sequence) {
            // a write starts only after the previous one is durable, so only the last write can be
            // torn
            scan.tornTail = true;
            scan.corruptMiddle = containsFrame(rest);
            break;
        }
        scan.records.push_back(frame->record);
        rest.remove_prefix(sizeof(frame_header) + frame->record.size());
        ++sequence;
    }
    scan.completeBytes = bytes.size() - rest.size();
    return scan;
}

} // namespace yuccascale::store
