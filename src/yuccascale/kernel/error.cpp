#include "yuccascale/kernel/error.hpp"

#include <array>
#include <utility>

namespace yuccascale::kernel {

namespace {

constexpr std::array<std::string_view, 14> kindNames{
        "invalid_argument", "not_found", "conflict",   "unauthorized",      "forbidden",
        "not_leader",       "not_ready", "overloaded", "deadline_exceeded", "unavailable",
        "outcome_unknown",  "corrupt",   "internal",   "quota_exceeded",
};

} // namespace

std::string_view errorKindName(error_kind kind) noexcept
{
    return kindNames[static_cast<std::size_t>(kind)];
}

boost::leaf::error_id fail(error_kind kind, std::string where, std::string message)
{
    return boost::leaf::new_error(error{kind, std::move(where), std::move(message)});
}

} // namespace yuccascale::kernel
