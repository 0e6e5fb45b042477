#pragma once

#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/core/error.hpp>
#include <string>
#include <string_view>

namespace gentianramp {

/// The same configuration with every list in the order of its ids.
DeclaredConfiguration canonicalOrder(DeclaredConfiguration configuration);

/// Canonical bytes: equal for configurations that differ only in the order of their lists.
std::string encodeConfiguration(const DeclaredConfiguration &configuration);

/// Reads canonical bytes; anything else is Malformed, also bytes with fields that this version
/// does not know. The values are not checked: whoever accepts a configuration calls
/// validateConfiguration(), whoever reads an accepted one back must not refuse it.
Result<DeclaredConfiguration> decodeConfiguration(std::string_view bytes);

} // namespace gentianramp
