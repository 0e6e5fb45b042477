#pragma once

#include "yaml_file.hpp"

#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/config/settings_error.hpp>
#include <vector>

namespace gentianramp {

/// Reads the base text, merges the overlays into it and validates the result.
Validated<DeclaredConfiguration>
parseDeclaredConfiguration(const SourceText &baseText, const std::vector<SourceText> &overlayTexts);

} // namespace gentianramp
