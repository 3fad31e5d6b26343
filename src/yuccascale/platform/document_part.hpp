#pragma once

#include "yuccascale/kernel/json.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// \brief Reads members of an operator's document as what they were sent, or refuses them.

namespace yuccascale::platform {

/// \brief Whole numbers that a member may have. One above \a most counts as \a most, one below
/// \a least is refused.
struct whole_range
{
    std::int64_t least = 0;
    std::int64_t most = 0;
};

/// \brief One object of a document. A member that is null counts as missing.
///
/// Each read fails with error_kind::InvalidArgument, the member's place in error::where, and in the
/// message what was found and what to send. Texts are not repeated there, since they may be keys.
///
/// \example
///     const document_part route(json, "routes[2]");
///     BOOST_LEAF_ASSIGN(row.deadlineMs, route.whole("timeout_ms", {1, longestMs}));
class document_part
{
public:
    /// \param object must outlive this
    document_part(const kernel::json &object, std::string where)
        : m_object(&object)
        , m_where(std::move(where))
    { }

    /// \returns an element of a list, named by its index; an error when it is no object.
    [[nodiscard]] static kernel::result<document_part>
    element(const kernel::json &value, const std::string &list, std::size_t index);

    /// \returns where the object, or one of its members, stands in the document.
    [[nodiscard]] const std::string &where() const noexcept { return m_where; }
    [[nodiscard]] std::string where(std::string_view name) const;

    [[nodiscard]] bool has(std::string_view name) const { return find(name) != nullptr; }

    /// \returns the names of the members, null ones too.
    [[nodiscard]] std::vector<std::string> names() const;

    [[nodiscard]] kernel::result<std::string> text(std::string_view name) const;
    [[nodiscard]] kernel::result<std::string> text(std::string_view name,
                                                   std::string_view fallback) const;
    [[nodiscard]] kernel::result<bool> flag(std::string_view name, bool fallback) const;

    /// \brief Reads a whole number; 12.0 is one, 12.5 is not.
    [[nodiscard]] kernel::result<std::int64_t> whole(std::string_view name,
                                                     const whole_range &range) const;
    [[nodiscard]] kernel::result<std::int64_t>
    whole(std::string_view name, const whole_range &range, std::int64_t fallback) const;

    /// \brief Reads a whole number from 0 to 2^64 - 1, exactly as it was sent.
    [[nodiscard]] kernel::result<std::uint64_t> version(std::string_view name) const;

    [[nodiscard]] kernel::result<double> number(std::string_view name) const;

    /// \brief Reads a number of 0 or more.
    [[nodiscard]] kernel::result<double> amount(std::string_view name, double fallback) const;

    /// \returns the elements of a list; none when it is missing.
    [[nodiscard]] kernel::result<std::span<const kernel::json>>
    optionalList(std::string_view name) const;

    /// \returns the elements of a list, which must be there.
    [[nodiscard]] kernel::result<std::span<const kernel::json>> list(std::string_view name) const;

    /// \returns an object; nothing when it is missing.
    [[nodiscard]] kernel::result<std::optional<document_part>> object(std::string_view name) const;

private:
    /// \returns null when the member is missing or null.
    [[nodiscard]] const kernel::json *find(std::string_view name) const;
    [[nodiscard]] boost::leaf::error_id refuse(std::string_view name,
                                               std::string_view wanted) const;

    const kernel::json *m_object;
    std::string m_where; ///< empty for the document itself
};

/// \returns what a refusal says of a value: a number as it was read, of any other value its type.
[[nodiscard]] std::string described(const kernel::json &value);

} // namespace yuccascale::platform
