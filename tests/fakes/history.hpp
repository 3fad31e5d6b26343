#pragma once

#include "fakes/http_server.hpp"
#include "yuccascale/kernel/json.hpp"

#include <cstdint>
#include <string>

/// \file
/// \brief What the stand-ins saw, as JSON lines: the evidence that tests check.

namespace yuccascale::fakes {

/// \returns milliseconds since 1970 in UTC.
[[nodiscard]] std::int64_t wallMs() noexcept;

/// \brief Appends lines to a file, each in one write, so that a kill leaves whole lines.
class history
{
public:
    /// \param file empty keeps nothing
    explicit history(const std::string &file);
    ~history();
    history(const history &) = delete;
    history &operator=(const history &) = delete;

    /// \brief Appends \a facts with the time, the stand-in's name and the event.
    void record(const std::string &source, const std::string &event, kernel::json fields) const;

    /// \brief Appends a request as it came: ids, header names and a hash of its body.
    void recordRequest(const std::string &source, const http_request &request) const;

private:
    int m_descriptor = -1;
};

} // namespace yuccascale::fakes
