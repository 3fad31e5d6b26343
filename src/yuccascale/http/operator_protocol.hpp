#pragma once

#include "yuccascale/kernel/plugin_registry.hpp"
#include "yuccascale/kernel/state/commands.hpp"
#include "yuccascale/net/http_message.hpp"

#include <optional>
#include <string_view>

/// \file
/// \brief How an operator speaks that keeps all tables in one document.

namespace yuccascale::http {

/// \brief Calls of such an operator.
enum class document_call { Put, Get };

/// \brief Translates the operator's calls and document; decides nothing. Stateless, thread-safe.
class operator_protocol
{
public:
    virtual ~operator_protocol() = default;

    /// \returns which call it is; nothing when it is none.
    [[nodiscard]] virtual std::optional<document_call>
    callOf(const net::http_request &httpRequest) const = 0;

    /// \brief Reads a document.
    /// \returns error_kind::InvalidArgument naming the field when it cannot be read whole.
    [[nodiscard]] virtual kernel::result<kernel::state::put_document>
    readDocument(std::string_view bytes) const = 0;
};

using operator_protocol_registry = kernel::plugin_registry<operator_protocol>;

} // namespace yuccascale::http
