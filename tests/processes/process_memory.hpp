#pragma once

#include <sys/types.h>

#include <cstddef>

/// \file
/// \brief Memory and descriptors of a process, as /proc reports them.

namespace yuccascale::processes {

/// \returns the greatest resident memory so far (VmHWM) in bytes; 0 when the process has ended.
[[nodiscard]] std::size_t peakMemoryOf(pid_t process);

/// \returns the number of open descriptors; 0 when the process has ended.
[[nodiscard]] std::size_t descriptorsOf(pid_t process);

} // namespace yuccascale::processes
