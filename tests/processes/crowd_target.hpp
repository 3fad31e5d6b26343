#pragma once

#include "fakes/http_client.hpp"
#include "processes/child_process.hpp"

#include <cstddef>
#include <memory>
#include <string>

/// \file
/// \brief Running systems, one process of which a crowd of callers calls.

namespace yuccascale::processes {

/// What the settings give the process for what it holds of its callers.
inline constexpr std::size_t crowdMemoryMegabytes = 40;

/// \brief A running system and the requests that its callers send.
class crowd_target
{
public:
    virtual ~crowd_target() = default;

    /// \returns IP:port that the crowd calls.
    [[nodiscard]] virtual std::string address() const = 0;

    /// \returns the process whose memory and descriptors are bounded.
    [[nodiscard]] virtual child_process &process() const = 0;

    /// \returns request line and headers of request \a number, without the line that ends them.
    [[nodiscard]] std::string head(const std::string &method, const std::string &path,
                                   std::size_t number) const
    {
        return headOf(method, path, "crowd-" + std::to_string(number));
    }

    /// \returns the same of a request with the id \a id.
    [[nodiscard]] virtual std::string headOf(const std::string &method, const std::string &path,
                                             const std::string &id) const = 0;

    /// \returns method and path of requests with a body.
    [[nodiscard]] virtual std::string bodyMethod() const { return "POST"; }
    [[nodiscard]] virtual std::string bodyPath() const = 0;

    /// \returns the path of long answers.
    [[nodiscard]] virtual std::string longAnswerPath() const = 0;

    /// \returns an ordinary request to the process, or one that needs it.
    [[nodiscard]] virtual fakes::http_call ordinary(int number) const = 0;
};

/// \brief Who is called.
enum class called_side {
    OwnEntry,          ///< an entry with protocol "own"
    PlatformEntry,     ///< an entry with protocol "platform"
    DocumentInterface, ///< of a control node
    LeaderDocument,    ///< of the leader of the log, which has a document of 4 MB
    Directory,         ///< of an entry with protocol "platform"
    Readiness,         ///< of an entry with protocol "platform"
    Metrics,           ///< of a control node
    ClaimingLeader,    ///< the leader of the log, while requests that run once are sent to an entry
};

/// \brief Limits of a target that differ from the documents'.
struct target_options
{
    /// Largest head of a request. With more than the documents allow, a small crowd holds as much
    /// as a large one.
    std::size_t headBytes = 16'384;
    std::size_t connections = 100; ///< setting http.connections
    std::size_t endpoints = 1;     ///< of an entry with protocol "own"
};

[[nodiscard]] std::unique_ptr<crowd_target> startTarget(called_side side,
                                                        const target_options &asked = {});

/// \returns the name of a side in a test's name.
[[nodiscard]] std::string sideName(called_side side);

} // namespace yuccascale::processes
