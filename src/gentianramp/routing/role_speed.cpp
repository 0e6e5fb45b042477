#include <gentianramp/routing/role_speed.hpp>

namespace gentianramp {

RoleSpeed roleSpeed(EngineRole role)
{
    switch (role) {
    case EngineRole::Prefill:
        return {.prefill = 1.25, .decode = 0.1, .decodeDuringPrefill = 0};
    case EngineRole::Decode:
        return {.prefill = 0.25, .decode = 1.25, .decodeDuringPrefill = 0.6};
    case EngineRole::Mixed:
        break;
    }
    return {};
}

double prefillRate(const BackendView &view, EngineRole role)
{
    return view.prefillTokensPerSecond * roleSpeed(role).prefill;
}

double decodeRate(const BackendView &view, EngineRole role)
{
    return view.decodeTokensPerSecond * roleSpeed(role).decode;
}

} // namespace gentianramp
