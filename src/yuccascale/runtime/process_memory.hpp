#pragma once

#include "yuccascale/runtime/settings.hpp"

#include <cstddef>
#include <filesystem>

/// \file
/// \brief The memory that this process may use, and how its allocator returns it.

namespace yuccascale::runtime {

/// \brief Reads how much memory this process may use: the machine's, or the lowest limit of its
///        control groups.
/// \param root folder that holds "proc" and "sys"; "/" except in tests
/// \returns bytes; 0 when nothing is reported.
[[nodiscard]] std::size_t availableMemory(const std::filesystem::path &root);

/// \returns the memory budget of callers' connections in bytes: http.memory, or a part of the
///          process's memory, which holds at least a request of the largest size and its answer.
/// \param available what availableMemory() returned; used without the setting process_memory
[[nodiscard]] std::size_t memoryBudgetOf(const settings &settings, std::size_t available);

/// \brief Has large allocations mapped on their own, so that they take memory only as far as they
///        are written, and none once they are freed. Call before threads are started.
void returnFreedMemory() noexcept;

} // namespace yuccascale::runtime
