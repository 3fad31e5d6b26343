#pragma once

#include <string_view>

/// \file
/// \brief Header names and paths of the platform's HTTP interfaces. Only this folder uses them.

namespace yuccascale::platform {

/// \brief Headers between callers, entries and servers.
namespace headers {

inline constexpr std::string_view requestId = "X-Request-Id";
/// Time left in milliseconds, counted from when the sender sent the request; despite the header's
/// name it is not a point in time.
inline constexpr std::string_view timeLeft = "X-Request-Deadline";
inline constexpr std::string_view lastEventId = "Last-Event-Id";
/// X-Request-Id of the request that brought the first event of the stream that a caller takes up.
inline constexpr std::string_view continuedRequest = "Resumes";
inline constexpr std::string_view authorization = "Authorization";
/// Name of the organisation; set by entries only and dropped when a caller sends it.
inline constexpr std::string_view organisation = "X-Tenant";
/// Id of the server that the request is for; any other server answers 421.
inline constexpr std::string_view expectedServer = "X-Expect-Instance";
/// The server's signature of its answer; required on a success.
inline constexpr std::string_view signature = "X-Server-Seal";
/// Present when the server did not run the request.
inline constexpr std::string_view notRun = "X-Not-Executed";
/// "running,waiting,slots,pace": the load of the server that answers. The pace is how long work
/// takes there now in hundredths of the usual time; older servers leave it out.
inline constexpr std::string_view load = "X-Server-Load";
/// "P,O": tokens in the prompt and the maximum of output tokens.
inline constexpr std::string_view tokenCounts = "X-Token-Counts";
/// The prompt's parts in order, as comma-separated "id:tokens"; ids are hexadecimal.
inline constexpr std::string_view promptParts = "X-Prompt-Prefix";
/// The caller's estimate of the output tokens.
inline constexpr std::string_view expectedOutput = "X-Length-Hint";
/// 0 to 9; the server runs 0 first.
inline constexpr std::string_view urgency = "X-Request-Urgency";
/// "prefill": the server runs only the prefill of the prompt.
inline constexpr std::string_view stage = "X-Stage";
/// "IP:port/handle": where the server fetches the KV cache of a prefilled prompt.
inline constexpr std::string_view kvSource = "X-Kv-Source";
/// "IP:port" of a server whose KV cache holds parts of the prompt; they are copied from there.
inline constexpr std::string_view cacheSource = "Kv-Fetch";
inline constexpr std::string_view retryAfter = "Retry-After";
/// Requests per second that the server accepts from all entries together, a decimal number; absent
/// while it names no limit.
inline constexpr std::string_view requestLimit = "Server-Limit";
/// "1": the server that answers is leaving.
inline constexpr std::string_view leaving = "Server-Leaving";
/// Name of the control node that holds the lease for a call that one node makes at a time. The
/// platform calls such work a duty.
inline constexpr std::string_view leaseHolder = "X-Duty-Holder";
/// Fencing token of that lease.
inline constexpr std::string_view fencingToken = "X-Fence-Token";

} // namespace headers

/// \brief Paths of the platform's HTTP interfaces.
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
