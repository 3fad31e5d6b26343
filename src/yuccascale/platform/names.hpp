#pragma once

#include <string_view>

/// \file
/// \brief The platform's names of headers and calls. Nothing outside this folder knows them.

namespace yuccascale::platform {

/// \brief Headers between callers, entries and servers.
namespace headers {

inline constexpr std::string_view requestId = "X-Request-Id";
/// Milliseconds that the sender will still wait, counted from when it sent the request.
inline constexpr std::string_view timeLeft = "X-Request-Deadline";
inline constexpr std::string_view lastEventId = "Last-Event-Id";
inline constexpr std::string_view authorization = "Authorization";
/// Name of the organisation; set by the entry only.
inline constexpr std::string_view organisation = "X-Tenant";
/// Id of the server that is meant; any other answers 421.
inline constexpr std::string_view expectedServer = "X-Expect-Instance";
/// A server's signature of its answer.
inline constexpr std::string_view signature = "X-Server-Seal";
/// Present when the server has not run the request.
inline constexpr std::string_view notRun = "X-Not-Executed";
/// "running,waiting,slots" of the server that answers.
inline constexpr std::string_view load = "X-Server-Load";
/// "prompt tokens,output tokens at most".
inline constexpr std::string_view tokenCounts = "X-Token-Counts";
/// "id:tokens" of the prompt's parts in order, separated by commas; ids are hexadecimal.
inline constexpr std::string_view promptParts = "X-Prompt-Prefix";
/// The caller's estimate of the output tokens.
inline constexpr std::string_view expectedOutput = "X-Length-Hint";
/// 0 to 9; 0 goes first at the server.
inline constexpr std::string_view urgency = "X-Request-Urgency";
/// Asks a server to fill the prompt only: "prefill".
inline constexpr std::string_view stage = "X-Stage";
/// "IP:port/handle" of a filled prompt that is to be fetched.
inline constexpr std::string_view kvSource = "X-Kv-Source";
/// "IP:port" of a server that holds parts of the prompt; they are copied from there.
inline constexpr std::string_view cacheSource = "Kv-Fetch";
inline constexpr std::string_view retryAfter = "Retry-After";
/// Names of the holder of a duty, and its fencing number.
inline constexpr std::string_view leaseHolder = "X-Duty-Holder";
inline constexpr std::string_view fencingToken = "X-Fence-Token";

} // namespace headers

/// \brief Paths of the calls.
namespace calls {

inline constexpr std::string_view readiness = "/readiness";
inline constexpr std::string_view directory = "/resolve";
inline constexpr std::string_view document = "/config";
inline constexpr std::string_view servers = "/instances";
inline constexpr std::string_view usage = "/usage";
inline constexpr std::string_view scale = "/scale";
inline constexpr std::string_view kvHandle = "/kv-handle/";

} // namespace calls

inline constexpr std::string_view keyScheme = "Bearer ";

} // namespace yuccascale::platform
