#pragma once

#include <cstddef>
#include <gentianramp/config/declared_configuration.hpp>

namespace gentianramp {

/// Sizes of a generated configuration.
struct SampleSize
{
    std::size_t sites = 12;
    std::size_t backendsPerSite = 133;
    std::size_t customers = 240;
    std::size_t models = 8;
};

/// A valid declared configuration of that size, with one service for each model.
DeclaredConfiguration sampleConfiguration(const SampleSize &size);

} // namespace gentianramp
