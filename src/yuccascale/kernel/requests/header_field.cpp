#include "yuccascale/kernel/requests/header_field.hpp"

#include <algorithm>
#include <charconv>

namespace yuccascale::kernel::requests {

namespace {

[[nodiscard]] char lowerCase(char character) noexcept
{
    const bool upper = character >= 'A' && character <= 'Z';
    return upper ? static_cast<char>(character - 'A' + 'a') : character;
}

} // namespace

bool sameName(std::string_view left, std::string_view right) noexcept
{
    return std::ranges::equal(left, right, {}, lowerCase, lowerCase);
}

const std::string *findHeader(const header_list &headers, std::string_view name) noexcept
{
    const auto found = std::ranges::find_if(
            headers, [&](const header_field &field) { return sameName(field.name, name); });
    return found == headers.end() ? nullptr : &found->value;
}

std::optional<nanoseconds> parseRetryAfter(std::string_view text) noexcept
{
    constexpr double maxSeconds = 3'600;
    double value = 0;
    const char *end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    if (read.ec != std::errc() || read.ptr != end || !(value >= 0 && value <= maxSeconds))
        return std::nullopt;
    return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(value));
}

} // namespace yuccascale::kernel::requests
