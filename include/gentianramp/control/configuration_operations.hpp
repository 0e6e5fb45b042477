#pragma once

#include <gentianramp/control/control_node.hpp>

namespace gentianramp {

/// Operations on encoded DeclaredConfigurations; the checks are those of the settings files.
ConfigurationOperations declaredConfigurationOperations();

} // namespace gentianramp
