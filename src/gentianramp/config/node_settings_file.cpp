#include "node_fields.hpp"
#include "yaml_file.hpp"

#include <gentianramp/config/key_files.hpp>
#include <gentianramp/config/settings_file.hpp>

namespace gentianramp {

namespace {

constexpr std::size_t MaxVoterCount = 7;

void resolvePaths(const std::filesystem::path &file, NodeFile &node)
{
    node.keyFolder = resolveRelativePath(file, node.keyFolder);
    node.secretKeyFile = resolveRelativePath(file, node.secretKeyFile);
    node.operatorKeysFile = resolveRelativePath(file, node.operatorKeysFile);
    node.dataFolder = resolveRelativePath(file, node.dataFolder);
    node.timelineFile = resolveRelativePath(file, node.timelineFile);
    node.configurationFile = resolveRelativePath(file, node.configurationFile);
    node.faultFile = resolveRelativePath(file, node.faultFile);
    node.peersFile = resolveRelativePath(file, node.peersFile);
    for (std::filesystem::path &overlay : node.overlayFiles)
        overlay = resolveRelativePath(file, overlay);
    if (node.secretKeyFile.empty() && !node.keyFolder.empty())
        node.secretKeyFile = node.keyFolder / (node.instance.value() + ".key");
}

/// A list of processes may contain the process itself; its entry must match the settings.
void checkOwnEntry(const Located<NodeFile> &node, const Located<PeerEntry> &entry,
                   SettingsErrors &errors)
{
    const auto require
        = [&](const std::string &key, const std::string &here, const std::string &there) {
              if (here != there)
                  errors.push_back(
                      node.problem(key,
                                   "expected '" + there + "' as in " + entry.file.string() + ":"
                                       + std::to_string(entry.line) + ", found '" + here + "'"));
          };
    const NodeFile &own = node.value;
    require("data_centre", own.dataCentre.value(), entry.value.dataCentre.value());
    require("kind", ValueCodec<ProcessKind>::show(own.kind),
            ValueCodec<ProcessKind>::show(entry.value.kind));
    require("endpoint", own.endpoint, entry.value.endpoint);
    require("voter", ValueCodec<bool>::show(own.voter), ValueCodec<bool>::show(entry.value.voter));
}

void checkVoters(const Located<NodeFile> &node, SettingsErrors &errors)
{
    const NodeFile &own = node.value;
    if (own.voter && own.kind != ProcessKind::Control)
        errors.push_back(node.problem("voter", "expected true only on control processes"));
    if (own.voter && own.dataFolder.empty())
        errors.push_back(node.problem("data_folder",
                                      "key is missing, expected a folder on a disk "
                                      "because voter is true"));
    std::size_t voters = own.voter ? 1 : 0;
    for (const PeerSettings &peer : own.peers)
        voters += peer.voter && peer.kind == ProcessKind::Control ? 1 : 0;
    if (voters != 0 && (voters % 2 == 0 || voters > MaxVoterCount))
        errors.push_back(node.problem("voter",
                                      "expected 1, 3, 5 or 7 voters over all processes, "
                                      "found "
                                          + std::to_string(voters)));
}

void checkOwnFiles(const Located<NodeFile> &node, KeyFilePolicy keyFiles, SettingsErrors &errors)
{
    const NodeFile &own = node.value;
    if (own.secretKeyFile.empty()) {
        errors.push_back(node.problem("secret_key_file",
                                      "key is missing, expected secret_key_file or key_folder"));
        return;
    }
    if (!own.overlayFiles.empty() && own.configurationFile.empty())
        errors.push_back(
            node.problem("overlay_files", "expected only together with configuration_file"));
    if (keyFiles == KeyFilePolicy::Skip)
        return;
    if (const auto pair = readKeyPairFile(own.secretKeyFile); !pair)
        errors.push_back(node.problem("secret_key_file", pair.message()));
    if (own.operatorKeysFile.empty())
        return;
    if (const auto keys = readOperatorKeysFile(own.operatorKeysFile); !keys)
        errors.push_back(node.problem("operator_keys_file", keys.message()));
}

void resolveNodePeers(Located<NodeFile> &node, KeyFilePolicy keyFiles, SettingsErrors &errors)
{
    std::vector<Located<PeerEntry>> entries;
    if (!node.value.peersFile.empty())
        entries = readPeersFile(node.value.peersFile, errors);
    for (const Located<PeerEntry> &entry : node.value.peerEntries)
        entries.push_back(entry);
    std::vector<Located<PeerEntry>> others;
    for (const Located<PeerEntry> &entry : entries) {
        if (entry.value.instance == node.value.instance)
            checkOwnEntry(node, entry, errors);
        else
            others.push_back(entry);
    }
    node.value.peers = resolvePeers(others, node.value.keyFolder, keyFiles, errors);
}

} // namespace

Validated<NodeSettings> loadNodeSettings(const std::filesystem::path &file, KeyFilePolicy keyFiles)
{
    SettingsErrors errors;
    Located<NodeFile> node = readDocument(file, nodeFields(), errors);
    if (!errors.empty())
        return errors;
    resolvePaths(file, node.value);
    resolveNodePeers(node, keyFiles, errors);
    checkVoters(node, errors);
    checkOwnFiles(node, keyFiles, errors);
    if (!errors.empty())
        return errors;
    return static_cast<const NodeSettings &>(node.value);
}

} // namespace gentianramp
