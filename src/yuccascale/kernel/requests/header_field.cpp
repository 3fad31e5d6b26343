#include "yuccascale/kernel/requests/header_field.hpp"

#include <algorithm>

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

} // namespace yuccascale::kernel::requests
