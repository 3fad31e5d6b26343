#pragma once

#include "yuccascale/http/caller_answers.hpp"
#include "yuccascale/http/caller_request.hpp"
#include "yuccascale/kernel/plugin_registry.hpp"
#include "yuccascale/kernel/requests/request_actions.hpp"
#include "yuccascale/net/http_message.hpp"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief How callers speak to an entry.

namespace yuccascale::http {

/// \brief What an entry knows when it answers a call by itself.
struct entry_facts
{
    bool ready = false;
    std::uint64_t revision = 0;             ///< of the tables in force
    kernel::milliseconds addressTtl{};      ///< how long a caller may keep the addresses
    std::vector<offered_address> addresses; ///< of all entries that serve
    std::function<std::string()> metrics;   ///< the metrics in the Prometheus text format
};

/// \brief A listening address' purpose.
enum class listener_kind { Callers, Readiness, Directory };

/// \brief Translates between callers and the entry; decides nothing. Stateless and thread-safe.
class caller_protocol
{
public:
    virtual ~caller_protocol() = default;

    /// \returns the endpoint driver that goes with it.
    [[nodiscard]] virtual std::string_view driverFor(kernel::state::backend_kind kind) const = 0;

    /// \returns whether endpoints are asked for their load.
    [[nodiscard]] virtual bool pollsLoads() const = 0;

    /// \returns the answer to a call that is not routed; nothing when it is to be routed.
    [[nodiscard]] virtual std::optional<net::http_reply>
    answerHere(listener_kind listener, const net::http_request &from,
               const entry_facts &facts) const = 0;

    /// \brief Reads a call that is to be routed; may move its parts out.
    [[nodiscard]] virtual kernel::result<kernel::requests::request>
    read(net::http_request &from, const reading_context &context) const = 0;

    /// \returns the id by which the caller knows the call.
    [[nodiscard]] virtual std::string idOf(const net::http_request &from,
                                           const reading_context &context) const = 0;

    /// \returns the answer of a request that is refused or failed.
    [[nodiscard]] virtual net::http_reply
    refused(const kernel::requests::refusal &reason, const std::string &id,
            std::span<const offered_address> others) const = 0;

    /// \returns a whole answer.
    [[nodiscard]] virtual net::http_reply
    whole(const kernel::requests::request &subject,
          const kernel::requests::complete_answer &answer) const = 0;

    /// \returns the start of a stream; \a given is what the endpoint began with, if it did.
    [[nodiscard]] virtual kernel::requests::stream_head
    head(const reading_context &context, const kernel::requests::request &subject,
         const kernel::requests::stream_head *given) const = 0;

    /// \returns the bytes of a piece.
    [[nodiscard]] virtual std::string piece(const std::string &payload) const = 0;

    /// \returns the bytes that end a whole stream.
    [[nodiscard]] virtual std::string last(const std::string &payload) const = 0;

    /// \returns the bytes that end a stream which is not whole; nothing when its connection is cut.
    [[nodiscard]] virtual std::optional<std::string>
    broken(const kernel::requests::refusal &reason, const std::string &id,
           std::span<const offered_address> others) const = 0;
};

using caller_protocol_registry = kernel::plugin_registry<caller_protocol>;

} // namespace yuccascale::http
