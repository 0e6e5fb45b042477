#include <algorithm>
#include <gentianramp/http/process_resources.hpp>

namespace gentianramp {

namespace {

constexpr std::size_t RequestMemoryDivisor = 4;
constexpr std::size_t ConnectionMemoryDivisor = 2;
/// Of one connection with its buffers here and in the kernel, and a small request.
constexpr std::size_t BytesPerConnection = 48UL * 1024;
constexpr std::size_t MinConnections = 8;

} // namespace

std::size_t ProcessResources::requestBytes() const noexcept
{
    return memoryBytes / RequestMemoryDivisor;
}

std::size_t ProcessResources::connections(double share) const noexcept
{
    const std::size_t fit
        = std::min(sockets, memoryBytes / ConnectionMemoryDivisor / BytesPerConnection);
    return std::max(static_cast<std::size_t>(share * static_cast<double>(fit)), MinConnections);
}

} // namespace gentianramp
