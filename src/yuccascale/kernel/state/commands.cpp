#include "yuccascale/kernel/state/commands.hpp"

#include <array>
#include <string_view>

namespace yuccascale::kernel::state {

namespace {

/// Names of the alternatives of command::body_type, in the same order.
constexpr std::array<std::string_view, std::variant_size_v<command::body_type>> bodyNames{
        "edit_tables",   "claim_request", "settle_claim", "record_usage",    "freeze_window",
        "settle_window", "open_order",    "settle_order", "ban_fingerprint", "retire_entry",
        "hold_fetches",  "mark_leaving",  "put_document",
};

template<std::size_t Index = 0>
void readBody(std::string_view name, const json &document, command::body_type &body)
{
    if constexpr (Index < bodyNames.size()) {
        if (name == bodyNames[Index])
            body = document.get<std::variant_alternative_t<Index, command::body_type>>();
        else
            readBody<Index + 1>(name, document, body);
    } else {
        throw json::other_error::create(
                501, "unknown kind of command in the log; upgrade this node", &document);
    }
}

} // namespace

void to_json(json &document, const command &value)
{
    document = json{{"id", value.operationId}, {"kind", bodyNames[value.body.index()]}};
    std::visit([&](const auto &body) { document["body"] = body; }, value.body);
}

void from_json(const json &document, command &value)
{
    value.operationId = document.at("id").get<std::string>();
    readBody(document.at("kind").get<std::string>(), document.at("body"), value.body);
}

std::uint32_t commandFormat(const command &value) noexcept
{
    const auto *document = std::get_if<put_document>(&value.body);
    return document != nullptr && !document->replacesRevision.empty() ? 1 : 0;
}

} // namespace yuccascale::kernel::state
