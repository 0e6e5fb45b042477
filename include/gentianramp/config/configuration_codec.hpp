#pragma once

#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/core/error.hpp>
#include <string>
#include <string_view>

namespace gentianramp {

/// Returns a copy with every list sorted: by id, priority classes by level, site models by site and
/// model.
DeclaredConfiguration canonicalOrder(DeclaredConfiguration configuration);

/// Canonical bytes: equal for configurations that differ only in the order of their lists.
std::string encodeConfiguration(const DeclaredConfiguration &configuration);

/// Reads canonical bytes. All other bytes are Malformed, including those with unknown fields.
/// Values are not checked, so that an accepted configuration can always be read back: call
/// validateConfiguration() before a new configuration is accepted.
Result<DeclaredConfiguration> decodeConfiguration(std::string_view bytes);

} // namespace gentianramp
