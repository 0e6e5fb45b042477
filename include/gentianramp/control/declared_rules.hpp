#pragma once

#include <gentianramp/control/control_node.hpp>

namespace gentianramp {

/// Rules of the declared configuration, as the settings files are checked by.
ConfigurationRules declaredRules();

} // namespace gentianramp
