#pragma once

#include <gentianramp/control/control_node.hpp>

namespace gentianramp {

/// Rules of the declared configuration, as the settings files are checked by.
ConfigurationOperations declaredConfigurationOperations();

} // namespace gentianramp
