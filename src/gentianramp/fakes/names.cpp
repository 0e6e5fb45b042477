#include "names.hpp"

namespace gentianramp {

std::string_view roleName(EngineRole role)
{
    switch (role) {
    case EngineRole::Prefill:
        return "prefill";
    case EngineRole::Decode:
        return "decode";
    case EngineRole::Mixed:
        break;
    }
    return "mixed";
}

EngineRole parseRole(const std::string &name)
{
    if (name == "prefill")
        return EngineRole::Prefill;
    return name == "decode" ? EngineRole::Decode : EngineRole::Mixed;
}

std::string_view phaseName(BackendPhase phase)
{
    switch (phase) {
    case BackendPhase::Draining:
        return "draining";
    case BackendPhase::Changing:
        return "changing";
    case BackendPhase::Leaving:
        return "leaving";
    default:
        return "serving";
    }
}

} // namespace gentianramp
