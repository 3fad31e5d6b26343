#pragma once

#include "yuccascale/kernel/plugin_registry.hpp"
#include "yuccascale/kernel/requests/endpoint_notice.hpp"
#include "yuccascale/kernel/requests/endpoint_table.hpp"
#include "yuccascale/kernel/requests/request_actions.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// \brief Builds the requests to one kind of endpoint and reads its answers.

namespace yuccascale::kernel::requests {

/// \brief An HTTP request to an endpoint.
struct outbound_request
{
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string contentType;
    std::string body;
    /// Name of the header that states the time that is left, in milliseconds; empty: none. It is
    /// stated anew when the request had to wait before it is sent.
    std::string timeLeftHeader = {};
    bool freshConnection
            = false; ///< open a new connection, since the endpoint may be closing a reused one
};

/// \brief Status line and header fields of an endpoint's answer.
struct answer_head
{
    int status = 0;
    std::string requestId; ///< value of X-Request-Id
    std::string contentType;
    bool delimited = false; ///< the body has a length or is chunked, so that truncation is detected
    nanoseconds retryAfter{};
    header_list headers = {};       ///< all header fields
    bool firstOnConnection = false; ///< so it is no late copy of an earlier answer
};

/// \brief How to proceed after the head of an answer.
enum class head_decision {
    Take, ///< read the body
    Skip, ///< the answer belongs to another request; the expected one may follow
    Stop, ///< discard the rest
};

/// \brief Properties of one attempt that a driver needs.
struct attempt_context
{
    int attempt = 0;
    std::int64_t resumeFrom = 0; ///< pieces that the caller already has
    nanoseconds timeLeft{};
    std::string lastPieceId = {};  ///< event id of the last piece that the caller has
    std::string endpoint = {};     ///< name of the intended endpoint
    std::string cacheAddress = {}; ///< IP:port of an engine that has parts of the prompt cached
};

/// \brief Reads the answer of one attempt. Not thread-safe.
class answer_reader
{
public:
    virtual ~answer_reader() = default;

    [[nodiscard]] virtual head_decision head(const answer_head &head, std::vector<event> &out) = 0;

    /// \returns false when the rest of the answer can be discarded.
    [[nodiscard]] virtual bool feed(std::string_view bytes, std::vector<event> &out) = 0;

    /// \brief The HTTP body ended.
    virtual void end(std::vector<event> &out) = 0;

    /// \returns whether a part of a streamed piece was read; a body that ends there was broken off.
    [[nodiscard]] virtual bool insidePiece() const noexcept { return false; }

    /// \returns true once an event that ends the attempt was emitted.
    [[nodiscard]] virtual bool done() const noexcept = 0;

    /// \returns the load report that came with the answer, if any.
    [[nodiscard]] virtual std::optional<endpoint_report> load(instant) const { return {}; }

    /// \returns the bytes of the answer that it holds because they are incomplete.
    [[nodiscard]] virtual std::size_t heldBytes() const noexcept = 0;
};

/// \brief Result of a prefill at a separate engine.
struct prefilled_prompt
{
    std::pair<std::string, std::string>
            header; ///< tells the decode engine where to fetch the KV cache
    std::optional<outbound_request>
            release; ///< frees the KV cache at the prefill engine, if required
};

/// \brief Protocol of one kind of endpoint. Stateless and thread-safe.
class endpoint_driver
{
public:
    virtual ~endpoint_driver() = default;

    [[nodiscard]] virtual outbound_request prepare(const request &callerRequest,
                                                   const attempt_context &context) const = 0;

    [[nodiscard]] virtual std::unique_ptr<answer_reader>
    reader(const request &callerRequest, const attempt_context &context) const = 0;

    /// \returns the call that prefills a prompt at one engine for decoding at another.
    [[nodiscard]] virtual outbound_request preparePrefill(const request &callerRequest,
                                                          const attempt_context &context) const = 0;

    /// \brief Reads the answer to the prefill call of the request with this endpoint id.
    /// \param address IP:port of the prefill engine
    /// \returns nothing when the prompt was not prefilled, or the answer is to another request.
    [[nodiscard]] virtual std::optional<prefilled_prompt>
    readPrefillAnswer(std::string_view endpointId, const answer_head &head, std::string_view body,
                      const std::string &address) const = 0;

    /// \returns what the endpoint asks of its callers in the head of any of its answers.
    [[nodiscard]] virtual endpoint_notice notice(const answer_head &) const { return {}; }

    /// \returns the load report in the head of any of its answers, if it holds a pace.
    [[nodiscard]] virtual std::optional<endpoint_report> pacedLoad(const answer_head &,
                                                                   instant) const
    {
        return {};
    }

    /// \returns the call that cancels a request, if the endpoint supports it.
    [[nodiscard]] virtual std::optional<outbound_request>
    cancel(const request &callerRequest) const = 0;

    /// \brief Reads an answer to the load call.
    /// \param received time when the answer arrived
    [[nodiscard]] virtual result<endpoint_report> loadReport(instant received,
                                                             std::string_view body) const = 0;
};

/// \brief Drivers by name: "engine" and "service".
using endpoint_driver_registry = plugin_registry<endpoint_driver>;

} // namespace yuccascale::kernel::requests
