#include "gentianramp/planner/role_mix.hpp"

#include <algorithm>
#include <array>
#include <gentianramp/routing/role_speed.hpp>

namespace gentianramp {
namespace {

constexpr double LargestFactor = 1e3;
constexpr int BisectionSteps = 40;

/// Whether the mix carries the demand: prefill goes first to the roles where it costs the least
/// decoding.
bool carries(const RoleMix &mix, const TokenRates &demand, const BackendView &engine)
{
    constexpr std::array order{EngineRole::Prefill, EngineRole::Mixed, EngineRole::Decode};
    double prompt = demand.promptTokens;
    double decode = 0;
    for (const EngineRole role : order) {
        const double engines = mix.count(role);
        const double rate = prefillRate(engine, role);
        const double busy = std::min(engines, rate > 0 ? prompt / rate : 0);
        prompt -= busy * rate;
        // Answers are not decoded on prefill engines.
        if (role == EngineRole::Prefill)
            continue;
        const double lost = busy * (1 - roleSpeed(role).decodeDuringPrefill);
        decode += decodeRate(engine, role) * (engines - lost);
    }
    return prompt <= 1e-9 && decode >= demand.outputTokens;
}

} // namespace

std::uint32_t &RoleMix::count(EngineRole role)
{
    if (role == EngineRole::Prefill)
        return prefill;
    return role == EngineRole::Decode ? decode : mixed;
}

std::uint32_t RoleMix::count(EngineRole role) const
{
    if (role == EngineRole::Prefill)
        return prefill;
    return role == EngineRole::Decode ? decode : mixed;
}

double capacityFactor(const RoleMix &mix, const TokenRates &demand, const BackendView &engine)
{
    double low = 0;
    double high = LargestFactor;
    for (int step = 0; step < BisectionSteps; ++step) {
        const double middle = (low + high) / 2;
        const TokenRates scaled{demand.promptTokens * middle, demand.outputTokens * middle};
        (carries(mix, scaled, engine) ? low : high) = middle;
    }
    return low;
}

} // namespace gentianramp
