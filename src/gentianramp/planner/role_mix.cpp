#include "gentianramp/planner/role_mix.hpp"

#include <algorithm>
#include <array>
#include <gentianramp/routing/role_speed.hpp>

namespace gentianramp {
namespace {

constexpr double LargestFactor = 1e3;
constexpr int PreciseBisectionSteps = 40;
constexpr int CoarseBisectionSteps = 8;

/// Whether the mix carries the demand. Prefill is assigned first to the roles in which it costs the
/// least decode capacity.
bool carries(const RoleMix &mix, const TokenRates &demand, const BackendView &engine,
             double prefillEfficiency)
{
    constexpr std::array order{EngineRole::Prefill, EngineRole::Mixed, EngineRole::Decode};
    double prompt = demand.promptTokens;
    double decode = 0;
    for (const EngineRole role : order) {
        const double efficiency = role == EngineRole::Prefill ? prefillEfficiency : 1;
        const double engines = mix.count(role) * efficiency;
        const double rate = prefillRate(engine, role);
        const double busy = std::min(engines, rate > 0 ? prompt / rate : 0);
        prompt -= busy * rate;
        // Prefill engines do not decode answers.
        if (role == EngineRole::Prefill)
            continue;
        const double lost = busy * (1 - roleSpeed(role).decodeDuringPrefill);
        decode += decodeRate(engine, role) * (engines - lost);
    }
    return prompt <= 1e-9 && decode >= demand.outputTokens;
}

TokenRates scaled(const TokenRates &demand, double factor)
{
    return {demand.promptTokens * factor, demand.outputTokens * factor};
}

/// Largest factor on the demand, up to @p upperBound, that the mix carries; found by bisection.
double largestFactor(const RoleMix &mix, const TokenRates &demand, const BackendView &engine,
                     double prefillEfficiency, double upperBound, int steps)
{
    double low = 0;
    double high = upperBound;
    for (int step = 0; step < steps; ++step) {
        const double middle = (low + high) / 2;
        (carries(mix, scaled(demand, middle), engine, prefillEfficiency) ? low : high) = middle;
    }
    return low;
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
    return largestFactor(mix, demand, engine, 1, LargestFactor, PreciseBisectionSteps);
}

double carriedShare(const RoleMix &mix, const TokenRates &demand, const BackendView &engine,
                    double headroom, double prefillEfficiency)
{
    if (carries(mix, scaled(demand, headroom), engine, prefillEfficiency))
        return 1;
    return largestFactor(mix, demand, engine, prefillEfficiency, headroom, CoarseBisectionSteps)
        / headroom;
}

} // namespace gentianramp
