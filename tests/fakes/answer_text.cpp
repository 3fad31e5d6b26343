#include "fakes/answer_text.hpp"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace yuccascale::fakes {

std::string promptOf(const kernel::json &body)
{
    if (body.contains("prompt"))
        return body.value("prompt", "");
    std::string out;
    for (const kernel::json &message : body.value("messages", kernel::json::array())) {
        if (!out.empty())
            out += '\n';
        out += message.value("content", "");
    }
    return out;
}

std::int64_t promptTokens(std::string_view prompt) noexcept
{
    return (static_cast<std::int64_t>(prompt.size()) + bytesPerToken - 1) / bytesPerToken;
}

std::uint64_t promptHash(std::string_view prompt) noexcept
{
    return XXH64(prompt.data(), prompt.size(), 0);
}

std::string answerPiece(std::uint64_t promptHash, std::int64_t index)
{
    const std::uint64_t word = XXH64(&index, sizeof index, promptHash);
    std::array<char, 16> text{};
    const int size = std::snprintf(text.data(), text.size(), "%06x ",
                                   static_cast<unsigned>(word & 0xffffffU));
    return {text.data(), static_cast<std::size_t>(size)};
}

std::string answerText(std::uint64_t promptHash, std::int64_t pieces)
{
    std::string out;
    for (std::int64_t index = 0; index < pieces; ++index)
        out += answerPiece(promptHash, index);
    return out;
}

} // namespace yuccascale::fakes
