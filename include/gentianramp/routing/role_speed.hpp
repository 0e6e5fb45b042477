#pragma once

#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/routing/fleet_view.hpp>

namespace gentianramp {

/// Speeds of an engine in a role, as multiples of its declared rates.
struct RoleSpeed
{
    double prefill = 1;
    double decode = 1;
    double decodeDuringPrefill = 0.3; ///< Share of the decode rate left while a prefill runs.
    bool operator==(const RoleSpeed &) const = default;
};

/// Expected speeds of engines in @p role.
RoleSpeed roleSpeed(EngineRole role);

/// Prompt tokens a second that an engine prefills in @p role.
double prefillRate(const BackendView &view, EngineRole role);
/// Output tokens a second that an engine decodes in @p role over all streams.
double decodeRate(const BackendView &view, EngineRole role);

} // namespace gentianramp
