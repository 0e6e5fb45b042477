#pragma once

#include <filesystem>
#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/config/node_settings.hpp>
#include <gentianramp/config/operator_settings.hpp>
#include <gentianramp/config/settings_error.hpp>
#include <vector>

namespace gentianramp {

/// Whether key files that the settings name are read.
enum class KeyFilePolicy {
    Read,
    Skip, ///< Leaves public keys empty, for checks before key files exist.
};

/// Reads the settings of one process; relative paths start at the folder of @p file.
Validated<NodeSettings> loadNodeSettings(const std::filesystem::path &file,
                                         KeyFilePolicy keyFiles = KeyFilePolicy::Read);

/// Reads the settings of an operator's client.
Validated<OperatorSettings> loadOperatorSettings(const std::filesystem::path &file,
                                                 KeyFilePolicy keyFiles = KeyFilePolicy::Read);

/// Reads a peers file, the list of all processes, without their public keys.
Validated<std::vector<PeerSettings>> loadPeers(const std::filesystem::path &file);

/// Reads the base file, merges the overlay of each site into it and validates the result.
Validated<DeclaredConfiguration>
loadDeclaredConfiguration(const std::filesystem::path &baseFile,
                          const std::vector<std::filesystem::path> &overlayFiles);

/// Validates a configuration by the rules that loadDeclaredConfiguration() applies.
SettingsErrors validateConfiguration(const DeclaredConfiguration &configuration);

} // namespace gentianramp
