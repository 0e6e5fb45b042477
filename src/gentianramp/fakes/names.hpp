#pragma once

#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/routing/fleet_view.hpp>
#include <string>
#include <string_view>

namespace gentianramp {

/// Names of roles and phases as docs/ENGINE-PROTOCOL.md gives them.
std::string_view roleName(EngineRole role);
EngineRole parseRole(const std::string &name);
std::string_view phaseName(BackendPhase phase);

} // namespace gentianramp
