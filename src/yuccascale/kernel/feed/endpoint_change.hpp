#pragma once

#include "yuccascale/kernel/feed/endpoint_list.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// \file
/// \brief Changes of the list of endpoints, and the encoded form of its rows.

namespace yuccascale::kernel::feed {

/// \brief Turns the list with one digest into the list with another one. The digest depends on the
/// order of the rows, so that a change names positions.
struct endpoint_change
{
    std::uint64_t from = 0;             ///< digest of the former list
    std::uint64_t to = 0;               ///< digest of the result
    std::uint64_t version = 0;          ///< of the result at the sender
    std::vector<std::uint32_t> removed; ///< positions in the former list, rising
    std::vector<std::uint32_t> putAt;   ///< positions in the result, rising
    std::vector<listed_endpoint> put;   ///< the rows at these positions

    /// \returns how many rows it touches.
    [[nodiscard]] std::size_t rows() const noexcept { return removed.size() + put.size(); }

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(endpoint_change, from, to, version, removed, putAt,
                                                put)
};

/// \returns the rows to remove and to put that turn \a from into \a to, without digests.
[[nodiscard]] endpoint_change difference(const std::vector<listed_endpoint> &from,
                                         const std::vector<listed_endpoint> &to);

/// \returns \a rows with \a change applied; nothing when its positions do not fit.
[[nodiscard]] std::optional<std::vector<listed_endpoint>>
withChange(std::vector<listed_endpoint> rows, const endpoint_change &change);

/// \brief The CBOR form of each row of a list, from which its digest is made without encoding rows
/// again. Not thread-safe.
class endpoint_encodings
{
public:
    explicit endpoint_encodings(const std::vector<listed_endpoint> &rows = {});

    /// \brief Encodes the rows that \a change puts.
    /// \returns false when its positions do not fit; the encodings are void then.
    [[nodiscard]] bool apply(const endpoint_change &change);

    /// \returns the hash of the CBOR form of all rows, which former builds compare too; never 0.
    [[nodiscard]] std::uint64_t digest() const;

private:
    std::vector<std::string> m_rows;
};

} // namespace yuccascale::kernel::feed
