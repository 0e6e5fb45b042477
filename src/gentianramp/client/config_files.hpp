#pragma once

#include <gentianramp/client/commands.hpp>
#include <gentianramp/config/settings_file.hpp>

namespace gentianramp {

/// Loads the files that the options name: --base with --overlay, or a folder as argument in which
/// base.yaml is the base file and every other .yaml file an overlay.
Validated<DeclaredConfiguration> loadNamedConfiguration(const CommandOptions &options);

} // namespace gentianramp
