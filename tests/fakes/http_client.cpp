#include "fakes/http_client.hpp"

#include <httplib.h>

#include <algorithm>

namespace yuccascale::fakes {

namespace {

constexpr int connectTimeoutSeconds = 1;

void readHead(const httplib::Response &from, http_answer &out)
{
    out.status = from.status;
    for (const auto &[name, value] : from.headers) {
        std::string lower = name;
        std::ranges::transform(lower, lower.begin(),
                               [](unsigned char letter) { return std::tolower(letter); });
        out.headers.emplace(lower, value);
    }
}

httplib::Request toRequest(const http_call &call, http_answer &out)
{
    httplib::Request request;
    request.method = call.method;
    request.path = call.path;
    request.headers.insert(call.headers.begin(), call.headers.end());
    request.body = call.body;
    request.response_handler = [&out](const httplib::Response &head) {
        readHead(head, out);
        return true;
    };
    request.content_receiver
            = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
                  if (call.onPiece)
                      return call.onPiece(out, {data, size});
                  out.body.append(data, size);
                  return true;
              };
    return request;
}

} // namespace

std::string http_answer::header(const std::string &lowerCaseName) const
{
    const auto found = headers.find(lowerCaseName);
    return found == headers.end() ? std::string() : found->second;
}

http_answer callHttp(const http_call &call)
{
    http_answer out;
    httplib::Client client("http://" + call.address);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(connectTimeoutSeconds);
    client.set_read_timeout(std::chrono::milliseconds(call.timeoutMs));
    httplib::Request request = toRequest(call, out);
    httplib::Response response;
    httplib::Error problem = httplib::Error::Success;
    out.complete = client.send(request, response, problem);
    out.connected
            = problem != httplib::Error::Connection && problem != httplib::Error::ConnectionTimeout;
    if (!out.complete && out.status == 0)
        out.body.clear();
    return out;
}

} // namespace yuccascale::fakes
