#include <gentianramp/core/random_seed.hpp>

#include <random>

namespace gentianramp {

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace gentianramp
