#include "fakes/history.hpp"

#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <chrono>
#include <set>
#include <stdexcept>

namespace yuccascale::fakes {

std::int64_t wallMs() noexcept
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

history::history(const std::string &file)
{
    if (file.empty())
        return;
    m_descriptor = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (m_descriptor < 0)
        throw std::runtime_error("cannot open history file '" + file
                                 + "' for writing; create its folder");
}

history::~history()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

void history::record(const std::string &source, const std::string &event, kernel::json fields) const
{
    if (m_descriptor < 0)
        return;
    fields["at_ms"] = wallMs();
    fields["who"] = source;
    fields["event"] = event;
    const std::string line
            = fields.dump(-1, ' ', false, kernel::json::error_handler_t::replace) + "\n";
    if (::write(m_descriptor, line.data(), line.size()) < 0)
        throw std::runtime_error("cannot append to the history file; free some disk space");
}

void history::recordRequest(const std::string &source, const http_request &request) const
{
    if (m_descriptor < 0)
        return;
    std::set<std::string> names;
    for (const auto &[name, value] : request.headers)
        names.insert(name);
    record(source, "request",
           {{"method", request.method},
            {"path", request.path},
            {"request_id", request.header("x-request-id")},
            {"idempotency_key", request.header("idempotency-key")},
            {"resume_from", request.header("x-resume-from")},
            {"headers", names},
            {"body_bytes", request.body.size()},
            {"body_hash", XXH64(request.body.data(), request.body.size(), 0)}});
}

} // namespace yuccascale::fakes
