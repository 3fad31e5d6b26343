#pragma once

#include "processes/caller_crowd.hpp"
#include "processes/crowd_target.hpp"

#include <sys/types.h>

#include <cstddef>

/// \file
/// \brief Lets crowds call a process and checks that it lives within its bounds.

namespace yuccascale::processes {

/// \brief Checks one process: it lives, its memory and descriptors stay within their bounds, and an
///        ordinary request is answered afterwards.
class crowd_check
{
public:
    /// \param asked with which the target was started
    explicit crowd_check(const crowd_target &target, const target_options &asked = {});

    /// \brief Lets a crowd call and checks the process. Crowds that are run one after the other
    ///        share the bounds.
    void run(crowd_plan plan);

private:
    [[nodiscard]] bool isAlive() const;
    [[nodiscard]] bool ordinaryIsServed();

    const crowd_target &m_target;
    std::size_t m_connections; ///< setting http.connections of the process
    pid_t m_process;
    std::size_t m_idleMemory;
    std::size_t m_idleDescriptors;
    std::size_t m_descriptors = 0;
    int m_ordinaryRequests = 0;
};

} // namespace yuccascale::processes
