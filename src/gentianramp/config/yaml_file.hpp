#pragma once

#include "field_table.hpp"

#include <filesystem>
#include <functional>

namespace gentianramp {

/// Parses @p file and gives its root to @p use; on failure adds an error instead.
///
/// Files above 4 MiB are refused. Whatever yaml-cpp throws becomes an error with its line.
void readYamlFile(const ReadContext &context, const std::function<void(const YAML::Node &)> &use);

} // namespace gentianramp
