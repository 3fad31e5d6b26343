#pragma once

#include "yuccascale/kernel/plugin_registry.hpp"
#include "yuccascale/kernel/requests/endpoint_table.hpp"
#include "yuccascale/kernel/requests/request_actions.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// \brief How requests are put to one kind of endpoint, and how its answers are read.

namespace yuccascale::kernel::requests {

/// \brief An HTTP request to an endpoint.
struct outbound_request
{
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string contentType;
    std::string body;
    bool freshConnection = false; ///< never one that the endpoint may be closing
};

/// \brief Start of an endpoint's answer.
struct answer_head
{
    int status = 0;
    std::string requestId; ///< its X-Request-Id
    std::string contentType;
    bool delimited = false; ///< its end is marked: by a length or by chunks
    nanoseconds retryAfter{};
    header_list headers = {}; ///< all of them
};

/// \brief What to do with an answer after its head.
enum class head_decision {
    Take,
    Skip, ///< it belongs to another request; this one's may follow on the connection
    Stop, ///< the rest is of no use
};

/// \brief One attempt, as far as a driver must know it.
struct attempt_context
{
    int attempt = 0;
    std::int64_t resumeFrom = 0;
    nanoseconds timeLeft{};
    std::string lastPieceId = {};  ///< name of the last piece that the caller has
    std::string endpoint = {};     ///< name of the endpoint that is meant
    std::string cacheAddress = {}; ///< IP:port of an engine that holds parts of the prompt
};

/// \brief Reads the answer of one attempt. Not thread-safe.
class answer_reader
{
public:
    virtual ~answer_reader() = default;

    [[nodiscard]] virtual head_decision head(const answer_head &head, std::vector<event> &out) = 0;

    /// \returns false when the rest of the answer is of no use.
    [[nodiscard]] virtual bool feed(std::string_view bytes, std::vector<event> &out) = 0;

    /// \brief The answer ended as HTTP has it.
    virtual void end(std::vector<event> &out) = 0;

    /// \returns true once an event that ends the attempt was given.
    [[nodiscard]] virtual bool done() const noexcept = 0;

    /// \returns the load that the endpoint told with its answer, if it did.
    [[nodiscard]] virtual std::optional<endpoint_report> load(instant) const { return {}; }
};

/// \brief What an engine that filled a prompt gave back.
struct prefilled_prompt
{
    std::pair<std::string, std::string> header; ///< tells the next engine where to fetch it
    std::optional<outbound_request> release;    ///< frees it at the first engine, if need be
};

/// \brief Speaks to one kind of endpoint. Stateless and thread-safe.
class endpoint_driver
{
public:
    virtual ~endpoint_driver() = default;

    [[nodiscard]] virtual outbound_request prepare(const request &subject,
                                                   const attempt_context &context) const = 0;

    [[nodiscard]] virtual std::unique_ptr<answer_reader>
    reader(const request &subject, const attempt_context &context) const = 0;

    /// \returns the call that has a prompt filled by an engine for another.
    [[nodiscard]] virtual outbound_request preparePrefill(const request &subject,
                                                          const attempt_context &context) const = 0;

    /// \brief Reads the answer to that call.
    /// \param address of the engine that was called
    /// \returns nothing when the prompt is not filled.
    [[nodiscard]] virtual std::optional<prefilled_prompt>
    readPrefillAnswer(int status, std::string_view body, const std::string &address) const = 0;

    /// \returns the call that stops a request, if the endpoint has one.
    [[nodiscard]] virtual std::optional<outbound_request> cancel(const request &subject) const = 0;

    /// \brief Reads an answer to the load call.
    /// \param received when the answer came
    [[nodiscard]] virtual result<endpoint_report> loadReport(instant received,
                                                             std::string_view body) const = 0;
};

/// \brief Drivers by name: "engine" and "service".
using endpoint_driver_registry = plugin_registry<endpoint_driver>;

} // namespace yuccascale::kernel::requests
