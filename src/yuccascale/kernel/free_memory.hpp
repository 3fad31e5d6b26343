#pragma once

/// \file
/// \brief Frees the memory of a container that lives on.

namespace yuccascale::kernel {

/// \brief Empties a container and frees its memory. `clear()` keeps the memory, and so does
///        assigning an empty container or `{}`.
template<typename Container>
void freeMemory(Container &container) noexcept
{
    Container().swap(container);
}

} // namespace yuccascale::kernel
