#pragma once

#include "fakes/http_server.hpp"

#include <cstdint>
#include <memory>
#include <string>

/// \file
/// \brief Stand-in of an endpoint that gives long answers, and of the platform that lists it.

namespace yuccascale::processes {

/// \brief Serves any route. What it answers depends on the path: "/long" and "/stream" in it give
///        long answers, whole or as a stream of events, "/short" one of 250 KB, and "/slow" an
///        answer after a second. Thread-safe.
class long_answers
{
public:
    static constexpr std::size_t answerBytes = 4'000'000;
    static constexpr std::size_t shortAnswerBytes = 250'000; ///< of "/short"
    static constexpr std::size_t streamBytes = 16'000'000;

    long_answers();
    ~long_answers();
    long_answers(const long_answers &) = delete;
    long_answers &operator=(const long_answers &) = delete;

    /// \returns IP:port of the endpoint.
    [[nodiscard]] std::string address() const;

    /// \returns IP:port of the platform's interfaces.
    [[nodiscard]] std::string platformAddress() const;

private:
    [[nodiscard]] static fakes::http_reply serve(const fakes::http_request &request);
    [[nodiscard]] fakes::http_reply answerPlatform(const fakes::http_request &request) const;

    const std::int64_t m_bornMs;
    std::unique_ptr<fakes::http_server> m_endpoint;
    std::unique_ptr<fakes::http_server> m_platform;
};

} // namespace yuccascale::processes
