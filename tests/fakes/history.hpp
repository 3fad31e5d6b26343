#pragma once

#include "fakes/http_server.hpp"
#include "yuccascale/kernel/json.hpp"

#include <cstdint>
#include <string>

/// \file
/// \brief What the stand-ins received and did, as JSON lines that tests check.

namespace yuccascale::fakes {

/// \returns milliseconds since 1970 in UTC.
[[nodiscard]] std::int64_t wallMs() noexcept;

/// \brief Appends lines to a file, each in one write, so that a killed process leaves no partial
///        line.
class history
{
public:
    /// \param file path of the file; empty: nothing is recorded
    explicit history(const std::string &file);
    ~history();
    history(const history &) = delete;
    history &operator=(const history &) = delete;

    /// \brief Appends \a fields with the time, the name of the stand-in (\a source) and the event.
    void record(const std::string &source, const std::string &event, kernel::json fields) const;

    /// \brief Appends a received request: ids, header names, and the size and hash of its body.
    void recordRequest(const std::string &source, const http_request &request) const;

private:
    int m_descriptor = -1;
};

} // namespace yuccascale::fakes
