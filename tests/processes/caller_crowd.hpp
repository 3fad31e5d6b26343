#pragma once

#include "processes/test_time.hpp"

#include <sys/types.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief Many callers at one process, most of whom never come to the end.

namespace yuccascale::processes {

/// \brief How a crowd sends the bodies of its requests.
enum class body_form {
    Whole,       ///< with a length, as fast as the process reads
    Pieces,      ///< with a length, a piece of each caller in turn
    LargeChunks, ///< chunked, 64 KB each
    SmallChunks, ///< chunked, 1 to 16 bytes each
};

/// \brief Size and habits of a crowd.
struct crowd_plan
{
    std::string address;                            ///< IP:port
    std::function<std::string(std::size_t)> headOf; ///< request line and headers of a request
    body_form form = body_form::Whole;
    std::size_t bodyBytes = 0; ///< 0: requests without a body
    std::string content;       ///< of the bodies with a length; empty: any
    std::size_t callers = 60;
    std::size_t requestsOfCaller = 3; ///< further ones on new connections, each when one has ended
    std::size_t completeEvery = 6;    ///< of the callers, one sends and reads all
    bool readsToClose
            = false; ///< a caller that reads all has done so when the connection is closed
};

/// \brief A crowd that is driven by one thread. Its connections stay open until it is destroyed.
class caller_crowd
{
public:
    explicit caller_crowd(crowd_plan plan);
    ~caller_crowd();
    caller_crowd(const caller_crowd &) = delete;
    caller_crowd &operator=(const caller_crowd &) = delete;

    /// \brief Sends until each caller stopped short of its end or has no request left, and at most
    ///        for \a limit.
    /// \param observe called now and then meanwhile
    void run(milliseconds limit, const std::function<void()> &observe);

    /// \brief Keeps the connections as they are, except that the callers that read go on reading.
    void hold(milliseconds time, const std::function<void()> &observe);

    /// \returns what became of the requests so far, for the output of a test.
    [[nodiscard]] std::string summary() const;

private:
    class caller;

    [[nodiscard]] bool step();

    const crowd_plan m_plan;
    const std::string m_body; ///< as it is sent, with its chunk headers
    std::vector<std::unique_ptr<caller>> m_callers;
};

} // namespace yuccascale::processes
