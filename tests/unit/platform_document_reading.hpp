#pragma once

#include "yuccascale/http/caller_protocol.hpp"
#include "yuccascale/http/operator_protocol.hpp"
#include "yuccascale/kernel/json_text.hpp"
#include "yuccascale/kernel/requests/key_check.hpp"
#include "yuccascale/kernel/state/machine.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Reads operators' documents of protocol "platform" and asks what they let callers do.

namespace yuccascale::platform {

using kernel::json;

/// \brief A document as the protocol read it, or why it was refused.
struct document_reading
{
    std::optional<kernel::state::put_document> document;
    kernel::error problem;

    /// \returns where the refusal is and what it says; empty when there is none.
    [[nodiscard]] std::string refusal() const
    {
        return document ? std::string() : problem.where + ": " + problem.message;
    }
};

inline document_reading readDocument(const std::string &text)
{
    const auto protocol = http::operator_protocol_registry::make("platform").value();
    document_reading reading;
    const auto read = [&]() -> kernel::result<void> {
        BOOST_LEAF_AUTO(document, protocol->readDocument(text));
        reading.document = std::move(document);
        return {};
    };
    static_cast<void>(kernel::succeeded(read, reading.problem));
    return reading;
}

/// \returns a document of one service, one route and one tenant with the key "key-one".
inline json sampleDocument(std::uint64_t version = 7)
{
    json document = json::parse(R"({
 "routes":[{"name":"r1","host":"h.example","path_prefix":"/a/","kind":"unsafe","timeout_ms":1500,
            "service":"s1","max_attempts":1}],
 "services":[{"name":"s1","max_connections":110}],
 "limits":{"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["key-one"],"priority":1}]})");
    document["version"] = version;
    return document;
}

/// \brief The state machine of a control node that operators send documents to.
class document_holder
{
public:
    /// \returns whether the document was read and accepted.
    bool put(const std::string &text)
    {
        const document_reading reading = readDocument(text);
        if (!reading.document)
            return false;
        ++m_index;
        const std::string operation = "d" + std::to_string(m_index);
        return m_machine.apply(m_index, {operation, *reading.document}).accepted;
    }
    bool put(const json &document) { return put(kernel::toText(document)); }

    [[nodiscard]] std::shared_ptr<const kernel::state::table_set> tables() const
    {
        return m_machine.tables();
    }
    [[nodiscard]] kernel::state::machine &machine() noexcept { return m_machine; }

private:
    kernel::state::machine m_machine;
    std::uint64_t m_index = 0;
};

/// \returns what an entry with these tables knows a second after its start.
inline http::reading_context
contextWith(const std::shared_ptr<const kernel::state::table_set> &tables)
{
    http::reading_context context;
    context.view.tables = tables;
    context.view.freshUntil = kernel::instant(kernel::seconds(10));
    context.now = kernel::instant(kernel::seconds(1));
    context.routes = std::make_shared<kernel::requests::route_index>(tables);
    return context;
}

/// \returns why an entry with these tables refuses a request to /a/x; nothing when it takes it.
inline std::optional<kernel::error_kind>
refusalOf(const std::shared_ptr<const kernel::state::table_set> &tables, const std::string &key)
{
    const auto protocol = http::caller_protocol_registry::make("platform").value();
    net::http_request httpRequest;
    httpRequest.method = "POST";
    httpRequest.target = "/a/x";
    httpRequest.headers = {{"Host", "h.example"}, {"X-Request-Id", "id-9"}};
    if (!key.empty())
        httpRequest.headers.push_back({"Authorization", "Bearer " + key});
    kernel::error problem;
    const http::reading_context context = contextWith(tables);
    const bool taken = kernel::succeeded(
            [&] { return protocol->readRequest(httpRequest, context); }, problem);
    return taken ? std::nullopt : std::optional(problem.kind);
}

} // namespace yuccascale::platform
