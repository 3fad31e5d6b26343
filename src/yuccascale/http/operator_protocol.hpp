#pragma once

#include "yuccascale/kernel/plugin_registry.hpp"
#include "yuccascale/kernel/state/commands.hpp"
#include "yuccascale/net/http_message.hpp"

#include <optional>
#include <string_view>

/// \file
/// \brief Interface of the HTTP protocols for an operator that keeps all tables in one document.

namespace yuccascale::http {

/// \brief What a request of such an operator does.
enum class document_call { Put, Get };

/// \brief Parses the operator's requests and document; contains no policy. Stateless, thread-safe.
class operator_protocol
{
public:
    virtual ~operator_protocol() = default;

    /// \returns which call a request is; nothing when it is none.
    [[nodiscard]] virtual std::optional<document_call>
    callOf(const net::http_request &httpRequest) const = 0;

    /// \brief Parses a document.
    /// \returns error_kind::InvalidArgument naming the field when a part cannot be parsed.
    [[nodiscard]] virtual kernel::result<kernel::state::put_document>
    readDocument(std::string_view bytes) const = 0;

    /// \returns whether a document that was accepted, maybe by a former build, is stored under the
    ///          version that its text names. Otherwise it hides documents of higher versions.
    [[nodiscard]] virtual bool namesVersion(std::string_view bytes,
                                            std::uint64_t storedVersion) const = 0;
};

using operator_protocol_registry = kernel::plugin_registry<operator_protocol>;

} // namespace yuccascale::http
