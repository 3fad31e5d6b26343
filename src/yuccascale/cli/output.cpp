#include "yuccascale/cli/output.hpp"

#include "yuccascale/cli/flags.hpp"
#include "yuccascale/kernel/json_text.hpp"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <vector>

namespace yuccascale::cli {

using kernel::json;

namespace {

constexpr int jsonIndent = 2;
constexpr std::size_t columnGap = 2;

using text_row = std::vector<std::string>;

std::vector<text_row> toTextRows(const json &rows, std::span<const std::string_view> columns)
{
    std::vector<text_row> out;
    out.emplace_back(columns.begin(), columns.end());
    for (const json &row : rows) {
        text_row &texts = out.emplace_back();
        for (const std::string_view column : columns)
            texts.push_back(plainText(row.value(std::string(column), json())));
    }
    return out;
}

void printAligned(const std::vector<text_row> &rows)
{
    std::vector<std::size_t> widths(rows.front().size());
    for (const text_row &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    for (const text_row &row : rows) {
        for (std::size_t column = 0; column + 1 < row.size(); ++column)
            std::cout << std::left << std::setw(static_cast<int>(widths[column] + columnGap))
                      << row[column];
        std::cout << row.back() << "\n";
    }
}

} // namespace

std::string plainText(const json &value)
{
    if (value.is_null())
        return {};
    if (value.is_array() && !value.empty() && value.front().is_object())
        return std::to_string(value.size());
    return value.is_string() ? value.get<std::string>() : kernel::toText(value);
}

void printRows(const json &rows, std::span<const std::string_view> columns)
{
    if (FLAGS_output == "json")
        std::cout << rows.dump(jsonIndent) << "\n";
    else
        printAligned(toTextRows(rows, columns));
}

void printObject(const json &object)
{
    if (FLAGS_output == "json" || !object.is_object()) {
        std::cout << object.dump(jsonIndent) << "\n";
        return;
    }
    std::vector<text_row> rows;
    for (const auto &[name, value] : object.items()) {
        const bool list = value.is_array() && !value.empty();
        if (!list)
            rows.push_back({name, plainText(value)});
        for (std::size_t index = 0; list && index < value.size(); ++index)
            rows.push_back({index == 0 ? name : "", plainText(value[index])});
    }
    if (!rows.empty())
        printAligned(rows);
}

exit_code reportError(const kernel::error &problem)
{
    using kernel::error_kind;
    std::cerr << "yuccascale: ";
    if (!problem.where.empty())
        std::cerr << problem.where << ": ";
    std::cerr << problem.message << " [" << kernel::errorKindName(problem.kind) << "]\n";
    switch (problem.kind) {
    case error_kind::InvalidArgument:
        return Usage;
    case error_kind::Conflict:
        return Conflict;
    case error_kind::Unavailable:
    case error_kind::NotLeader:
    case error_kind::NotReady:
    case error_kind::OutcomeUnknown:
        return Unreachable;
    default:
        return Failure;
    }
}

} // namespace yuccascale::cli
