#include "yuccascale/platform/document_part.hpp"

#include "yuccascale/kernel/json_text.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccascale::platform {

namespace {

using kernel::error_kind;
using kernel::fail;
using kernel::json;
using kernel::result;

/// Up to here each whole number has a floating-point form of its own.
constexpr double mostExactWhole = 9'007'199'254'740'992.0;

[[nodiscard]] bool isWholeFloat(const json &value)
{
    if (!value.is_number_float())
        return false;
    const auto number = value.get<double>();
    return std::isfinite(number) && std::trunc(number) == number;
}

/// \returns a whole number in the range; nothing when the value is below it or no whole number.
[[nodiscard]] std::optional<std::int64_t> wholeIn(const json &value, const whole_range &range)
{
    if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        if (range.most >= 0 && number > static_cast<std::uint64_t>(range.most))
            return range.most;
    }
    if (isWholeFloat(value)) {
        const auto number = value.get<double>();
        if (number >= static_cast<double>(range.most))
            return range.most;
        if (number < static_cast<double>(range.least))
            return std::nullopt;
        return static_cast<std::int64_t>(number);
    }
    if (!value.is_number_integer())
        return std::nullopt;
    const auto number = value.get<std::int64_t>();
    return number < range.least ? std::nullopt : std::optional(std::min(number, range.most));
}

[[nodiscard]] std::optional<std::uint64_t> versionFrom(const json &value)
{
    if (value.is_number_unsigned())
        return value.get<std::uint64_t>();
    if (value.is_number_integer()) // "-0"
        return value.get<std::int64_t>() == 0 ? std::optional<std::uint64_t>(0) : std::nullopt;
    if (!isWholeFloat(value))
        return std::nullopt;
    const auto number = value.get<double>();
    const bool exact = number >= 0 && number <= mostExactWhole;
    return exact ? std::optional(static_cast<std::uint64_t>(number)) : std::nullopt;
}

} // namespace

std::string described(const json &value)
{
    if (value.is_number())
        return kernel::toText(value);
    if (value.is_object())
        return "an object";
    if (value.is_array())
        return "a list";
    if (value.is_string())
        return "a text";
    return value.is_null() ? "null" : "true or false";
}

result<document_part> document_part::element(const json &value, const std::string &list,
                                             std::size_t index)
{
    document_part out(value, list + "[" + std::to_string(index) + "]");
    if (!value.is_object())
        return fail(error_kind::InvalidArgument, out.m_where,
                    "found " + described(value) + "; send an object");
    return out;
}

std::string document_part::where(std::string_view name) const
{
    return m_where.empty() ? std::string(name) : m_where + "." + std::string(name);
}

std::vector<std::string> document_part::names() const
{
    std::vector<std::string> out;
    for (const auto &[name, value] : m_object->items())
        out.push_back(name);
    return out;
}

const json *document_part::find(std::string_view name) const
{
    const auto found = m_object->find(name);
    return found == m_object->end() || found->is_null() ? nullptr : &*found;
}

boost::leaf::error_id document_part::refuse(std::string_view name, std::string_view wanted) const
{
    const auto found = m_object->find(name);
    const std::string what = found == m_object->end() ? "missing" : "found " + described(*found);
    return fail(error_kind::InvalidArgument, where(name), what + "; send " + std::string(wanted));
}

result<std::string> document_part::text(std::string_view name) const
{
    const json *value = find(name);
    if (value == nullptr || !value->is_string())
        return refuse(name, "a text");
    return value->get<std::string>();
}

result<std::string> document_part::text(std::string_view name, std::string_view fallback) const
{
    if (!has(name))
        return std::string(fallback);
    return text(name);
}

result<bool> document_part::flag(std::string_view name, bool fallback) const
{
    const json *value = find(name);
    if (value == nullptr)
        return fallback;
    if (!value->is_boolean())
        return refuse(name, "true or false");
    return value->get<bool>();
}

result<std::int64_t> document_part::whole(std::string_view name, const whole_range &range) const
{
    const json *value = find(name);
    const auto number = value == nullptr ? std::nullopt : wholeIn(*value, range);
    if (!number)
        return refuse(name, "a whole number of " + std::to_string(range.least) + " or more");
    return *number;
}

result<std::int64_t> document_part::whole(std::string_view name, const whole_range &range,
                                          std::int64_t fallback) const
{
    if (!has(name))
        return fallback;
    return whole(name, range);
}

result<std::uint64_t> document_part::version(std::string_view name) const
{
    const json *value = find(name);
    const auto number = value == nullptr ? std::nullopt : versionFrom(*value);
    if (!number)
        return refuse(name, "a whole number from 0 to 18446744073709551615, without an exponent");
    return *number;
}

result<double> document_part::number(std::string_view name) const
{
    const json *value = find(name);
    if (value == nullptr || !value->is_number())
        return refuse(name, "a number");
    return value->get<double>();
}

result<double> document_part::amount(std::string_view name, double fallback) const
{
    if (!has(name))
        return fallback;
    BOOST_LEAF_AUTO(value, number(name));
    if (!std::isfinite(value) || value < 0)
        return refuse(name, "a number of 0 or more");
    return value;
}

result<std::span<const json>> document_part::optionalList(std::string_view name) const
{
    if (!has(name))
        return std::span<const json>();
    return list(name);
}

result<std::span<const json>> document_part::list(std::string_view name) const
{
    const json *value = find(name);
    if (value == nullptr || !value->is_array())
        return refuse(name, "a list");
    return std::span<const json>(value->get_ref<const json::array_t &>());
}

result<std::optional<document_part>> document_part::object(std::string_view name) const
{
    const json *value = find(name);
    if (value == nullptr)
        return std::optional<document_part>();
    if (!value->is_object())
        return refuse(name, "an object");
    return std::optional(document_part(*value, where(name)));
}

} // namespace yuccascale::platform
