#pragma once

#include <filesystem>
#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/config/node_settings.hpp>
#include <gentianramp/config/operator_settings.hpp>
#include <gentianramp/config/settings_error.hpp>
#include <vector>

namespace gentianramp {

/// Whether the public key files that settings name are read.
enum class KeyFilePolicy {
    Read,
    Skip, ///< Leaves public keys empty; for checks before the keys are made.
};

/// Reads the settings of one process; relative paths are taken from the folder of @p file.
Validated<NodeSettings> loadNodeSettings(const std::filesystem::path &file,
                                         KeyFilePolicy keyFiles = KeyFilePolicy::Read);

/// Reads the settings of an operator's client.
Validated<OperatorSettings> loadOperatorSettings(const std::filesystem::path &file,
                                                 KeyFilePolicy keyFiles = KeyFilePolicy::Read);

/// Reads a peers file: the list of all processes, without their keys.
Validated<std::vector<PeerSettings>> loadPeers(const std::filesystem::path &file);

/// Reads the base file, merges the overlay of each site into it and checks the whole.
Validated<DeclaredConfiguration>
loadDeclaredConfiguration(const std::filesystem::path &baseFile,
                          const std::vector<std::filesystem::path> &overlayFiles);

/// Checks a configuration that did not come from files by the same rules.
SettingsErrors validateConfiguration(const DeclaredConfiguration &configuration);

} // namespace gentianramp
