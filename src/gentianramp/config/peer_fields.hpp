#pragma once

#include "field_table.hpp"

#include <gentianramp/config/node_settings.hpp>
#include <gentianramp/config/settings_file.hpp>

namespace gentianramp {

/// One entry of a list of processes.
struct PeerEntry : PeerSettings
{
    std::filesystem::path publicKeyFile;
};

const FieldTable<PeerEntry> &peerFields();

/// Reads a file that holds nothing but the list "peers".
std::vector<Located<PeerEntry>> readPeersFile(const std::filesystem::path &file,
                                              SettingsErrors &errors);

/// Expects "tcp://<IP address>:<port>".
std::string endpointCheck(const std::string &endpoint);

/// Takes @p path from the folder of @p file unless it is empty or absolute.
std::filesystem::path resolveRelativePath(const std::filesystem::path &file,
                                          const std::filesystem::path &path);

/// Checks for doubles and wrong voters; fills in the public keys, by default from
/// "<keyFolder>/<instance>.pub".
std::vector<PeerSettings> resolvePeers(const std::vector<Located<PeerEntry>> &entries,
                                       const std::filesystem::path &keyFolder,
                                       KeyFilePolicy keyFiles, SettingsErrors &errors);

} // namespace gentianramp
