#include "yuccascale/net/http_message.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace yuccascale::net {

namespace {

constexpr std::array<std::string_view, 9> hopByHopNames{
        "Connection", "Keep-Alive", "Proxy-Connection",  "TE", "Trailer", "Transfer-Encoding",
        "Upgrade",    "Expect",     "Proxy-Authenticate"};

struct status_phrase
{
    int status;
    std::string_view phrase;
};

constexpr std::array<status_phrase, 22> phrases{{{200, "OK"},
                                                 {202, "Accepted"},
                                                 {204, "No Content"},
                                                 {307, "Temporary Redirect"},
                                                 {400, "Bad Request"},
                                                 {401, "Unauthorized"},
                                                 {403, "Forbidden"},
                                                 {404, "Not Found"},
                                                 {405, "Method Not Allowed"},
                                                 {408, "Request Timeout"},
                                                 {409, "Conflict"},
                                                 {412, "Precondition Failed"},
                                                 {413, "Payload Too Large"},
                                                 {421, "Misdirected Request"},
                                                 {422, "Unprocessable Entity"},
                                                 {429, "Too Many Requests"},
                                                 {431, "Request Header Fields Too Large"},
                                                 {500, "Internal Server Error"},
                                                 {501, "Not Implemented"},
                                                 {502, "Bad Gateway"},
                                                 {503, "Service Unavailable"},
                                                 {504, "Gateway Timeout"}}};

[[nodiscard]] std::string decodeEscapes(std::string_view text)
{
    std::string out;
    for (std::size_t position = 0; position < text.size(); ++position) {
        unsigned value = 0;
        const char *digits = text.data() + position + 1;
        const bool escaped = text[position] == '%' && position + 2 < text.size()
                && std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2;
        if (escaped) {
            out += static_cast<char>(value);
            position += 2;
        } else {
            out += text[position] == '+' ? ' ' : text[position];
        }
    }
    return out;
}

} // namespace

std::string_view http_request::path() const noexcept
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string_view http_request::query() const noexcept
{
    const std::size_t questionMark = target.find('?');
    if (questionMark == std::string::npos)
        return {};
    return std::string_view(target).substr(questionMark + 1);
}

std::string_view http_request::header(std::string_view name) const noexcept
{
    const std::string *value = findHeader(headers, name);
    return value ? std::string_view(*value) : std::string_view();
}

std::string queryParameter(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(pair.size() + 1, query.size()));
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (decodeEscapes(pair.substr(0, equals)) == name)
            return decodeEscapes(pair.substr(std::min(equals + 1, pair.size())));
    }
    return {};
}

std::string_view reasonPhrase(int status) noexcept
{
    const auto *found = std::ranges::find(phrases, status, &status_phrase::status);
    return found == phrases.end() ? std::string_view("Status") : found->phrase;
}

bool isHopByHop(std::string_view name) noexcept
{
    return std::ranges::any_of(hopByHopNames,
                               [&](std::string_view hop) { return sameName(hop, name); });
}

void appendHeader(std::string &out, std::string_view name, std::string_view value)
{
    out += name;
    out += ": ";
    out += value;
    out += "\r\n";
}

} // namespace yuccascale::net
