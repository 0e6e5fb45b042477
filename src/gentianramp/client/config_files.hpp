#pragma once

#include <gentianramp/client/commands.hpp>
#include <gentianramp/config/settings_file.hpp>

namespace gentianramp {

/// Loads the configuration from the files of --base and --overlay or, without --base, from the
/// folder in the first argument: base.yaml is the base file, and every other .yaml file is an
/// overlay.
Validated<DeclaredConfiguration> loadSelectedConfiguration(const CommandOptions &options);

} // namespace gentianramp
