#pragma once

#include "yuccascale/http/caller_answers.hpp"
#include "yuccascale/http/caller_request.hpp"
#include "yuccascale/kernel/plugin_registry.hpp"
#include "yuccascale/kernel/requests/request_actions.hpp"
#include "yuccascale/net/http_message.hpp"

#include <functional>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Interface of the HTTP protocols that an entry serves to callers.

namespace yuccascale::http {

/// \brief State of an entry, for answers that need no endpoint.
struct entry_status
{
    bool ready = false;
    std::uint64_t revision = 0;        ///< of the tables in force
    kernel::milliseconds addressTtl{}; ///< how long a caller may keep the addresses
    /// Addresses of entries that serve, at most \a most of them.
    std::function<std::vector<offered_address>(std::size_t most)> addresses;
    std::function<std::string()> metrics; ///< the metrics in the Prometheus text format
};

/// For entry_status::addresses: of all entries.
inline constexpr std::size_t allAddresses = std::numeric_limits<std::size_t>::max();

/// \brief What a listening address serves.
enum class listener_kind { Callers, Readiness, Directory };

/// \brief Converts between HTTP and requests; contains no policy. Stateless and thread-safe.
class caller_protocol
{
public:
    virtual ~caller_protocol() = default;

    /// \returns the name of the endpoint driver for backends of a kind.
    [[nodiscard]] virtual std::string_view driverFor(kernel::state::backend_kind kind) const = 0;

    /// \returns the name of the driver that passes requests on to other entries; empty when the
    ///          protocol has none.
    [[nodiscard]] virtual std::string_view entryDriver() const { return {}; }

    /// \returns whether the entry polls endpoints for their load.
    [[nodiscard]] virtual bool pollsEndpointLoad() const = 0;

    /// \returns the reply to a request that needs no endpoint; nothing when it is to be routed.
    [[nodiscard]] virtual std::optional<net::http_reply>
    answerLocally(listener_kind listener, const net::http_request &httpRequest,
                  const entry_status &status) const = 0;

    /// \brief Parses a request that is to be routed; may move its parts out.
    [[nodiscard]] virtual kernel::result<kernel::requests::request>
    readRequest(net::http_request &httpRequest, const reading_context &context) const = 0;

    /// \returns the request's id in the caller's terms, for replies and logs.
    [[nodiscard]] virtual std::string callerRequestId(const net::http_request &httpRequest,
                                                      const reading_context &context) const = 0;

    /// \returns the reply to a request that was refused or failed.
    [[nodiscard]] virtual net::http_reply
    errorReply(const kernel::requests::refusal &reason, const std::string &id,
               std::span<const offered_address> others) const = 0;

    /// \returns the reply that holds a whole answer.
    [[nodiscard]] virtual net::http_reply
    wholeReply(const kernel::requests::request &callerRequest,
               kernel::requests::complete_answer answer) const = 0;

    /// \returns status and headers of a stream.
    /// \param endpointHead those that the endpoint sent; null when it sent none
    [[nodiscard]] virtual kernel::requests::stream_head
    streamHead(const reading_context &context, const kernel::requests::request &callerRequest,
               const kernel::requests::stream_head *endpointHead) const = 0;

    /// \returns the bytes of a piece.
    [[nodiscard]] virtual std::string streamPiece(const std::string &payload) const = 0;

    /// \returns the bytes that end a complete stream.
    [[nodiscard]] virtual std::string streamEnd(const std::string &payload) const = 0;

    /// \returns the bytes that end an incomplete stream; nothing when the connection is closed
    /// instead.
    [[nodiscard]] virtual std::optional<std::string>
    brokenStreamEnd(const kernel::requests::refusal &reason, const std::string &id,
                    std::span<const offered_address> others) const = 0;
};

using caller_protocol_registry = kernel::plugin_registry<caller_protocol>;

} // namespace yuccascale::http
