#pragma once

#include <cstdint>
#include <gentianramp/routing/fleet_view.hpp>

namespace gentianramp {

/// How many engines have each role.
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

/// Token rates that are asked of a fleet.
struct TokenRates
{
    double promptTokens = 0; ///< Per second.
    double outputTokens = 0; ///< Per second.
    bool operator==(const TokenRates &) const = default;
};

/// Largest multiple of @p demand that engines like @p engine can carry in that mix, with prefill
/// and decode on whatever engine does them best.
double capacityFactor(const RoleMix &mix, const TokenRates &demand, const BackendView &engine);

/// Share of the demand that the mix carries while @p headroom times as much capacity as demand is
/// needed for all of it; from 0 to 1. Prefill engines count @p prefillEfficiency
/// of their rate, since they see too few requests to be busy throughout.
double carriedShare(const RoleMix &mix, const TokenRates &demand, const BackendView &engine,
                    double headroom, double prefillEfficiency);

} // namespace gentianramp
