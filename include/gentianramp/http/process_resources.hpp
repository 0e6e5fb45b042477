#pragma once

#include <compare>
#include <cstddef>

namespace gentianramp {

/// What a process may use of its machine.
struct ProcessResources
{
    std::size_t memoryBytes = 256UL * 1024 * 1024;
    std::size_t sockets = 3900; ///< Open at once, of all kinds.

    /// Bound of the process's MemoryBudget: a quarter of the memory.
    std::size_t requestBytes() const noexcept;
    /// Connections to a server that gets @p share (0 to 1) of the sockets. All connections together
    /// take half of the memory at most, without what their requests take of the budget.
    std::size_t connections(double share) const noexcept;

    auto operator<=>(const ProcessResources &) const = default;
};

} // namespace gentianramp
