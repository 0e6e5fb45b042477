#pragma once

#include "field_table.hpp"

#include <gentianramp/config/node_settings.hpp>
#include <gentianramp/config/settings_file.hpp>

namespace gentianramp {

/// One entry of the list "peers".
struct PeerEntry : PeerSettings
{
    std::filesystem::path publicKeyFile;
};

const FieldTable<PeerEntry> &peerFields();

/// Reads a file with the single key "peers".
std::vector<Located<PeerEntry>> readPeersFile(const std::filesystem::path &file,
                                              SettingsErrors &errors);

/// Check that an endpoint has the form "tcp://<IP address>:<port>".
std::string endpointCheck(const std::string &endpoint);

/// Resolves a relative @p path against the folder of @p file; an empty path stays empty.
std::filesystem::path resolveRelativePath(const std::filesystem::path &file,
                                          const std::filesystem::path &path);

/// Reports duplicate instances and endpoints and voters that are not control processes. Reads the
/// public keys, by default from "<keyFolder>/<instance>.pub".
std::vector<PeerSettings> resolvePeers(const std::vector<Located<PeerEntry>> &entries,
                                       const std::filesystem::path &keyFolder,
                                       KeyFilePolicy keyFiles, SettingsErrors &errors);

} // namespace gentianramp
