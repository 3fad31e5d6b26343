#pragma once

#include "yuccascale/net/event_loops.hpp"

#include <memory>
#include <string>

/// \file
/// \brief The network between one entry and one endpoint, which a test can partition.

namespace yuccascale::fakes {

/// \brief What happens to the connections of a path.
enum class path_state {
    Open,
    Refusing, ///< open connections live on; new ones are refused
    Reset,    ///< open connections are reset; new ones are refused
    Silent,   ///< no byte passes, and new connections get no answer
};

/// \brief Forwards connections from its own port to an endpoint.
///
/// A connection on a silent path is reset after the time in which TCP gives up on unacknowledged
/// bytes, since the loopback interface itself acknowledges them.
class endpoint_path
{
public:
    /// \param target IP:port
    endpoint_path(net::io_context &loop, const std::string &target);
    ~endpoint_path();
    endpoint_path(const endpoint_path &) = delete;
    endpoint_path &operator=(const endpoint_path &) = delete;

    [[nodiscard]] const std::string &address() const noexcept { return m_address; }

    /// \returns the number of connections that were established so far.
    [[nodiscard]] int connections() const;

    /// \brief Changes the path; in force when it returns. Not called on the path's loop.
    void set(path_state state);

private:
    struct forwarder;

    std::string m_address;
    std::shared_ptr<forwarder> m_forwarder;
};

} // namespace yuccascale::fakes
