#pragma once

#include <cstdint>
#include <gentianramp/routing/fleet_view.hpp>

namespace gentianramp {

/// Number of engines in each role.
struct RoleMix
{
    std::uint32_t mixed = 0;
    std::uint32_t prefill = 0;
    std::uint32_t decode = 0;
    bool operator==(const RoleMix &) const = default;

    std::uint32_t &count(EngineRole role);
    std::uint32_t count(EngineRole role) const;
    std::uint32_t total() const { return mixed + prefill + decode; }
};

/// Demand for tokens.
struct TokenRates
{
    double promptTokens = 0; ///< Per second.
    double outputTokens = 0; ///< Per second.
    bool operator==(const TokenRates &) const = default;
};

/// Largest multiple of @p demand that the mix can carry, if all engines are like @p engine and
/// prefill runs where it costs the least decode capacity.
double capacityFactor(const RoleMix &mix, const TokenRates &demand, const BackendView &engine);

/// Share of the demand, from 0 to 1, that the mix carries; all of it if the mix can carry
/// @p headroom times the demand. Prefill engines count with @p prefillEfficiency of their rate,
/// since they get too few requests to be busy all the time.
double carriedShare(const RoleMix &mix, const TokenRates &demand, const BackendView &engine,
                    double headroom, double prefillEfficiency);

} // namespace gentianramp
