#include "operator_fields.hpp"
#include "yaml_file.hpp"

#include <gentianramp/config/key_files.hpp>
#include <gentianramp/config/settings_file.hpp>

namespace gentianramp {

Validated<OperatorSettings> loadOperatorSettings(const std::filesystem::path &file,
                                                 KeyFilePolicy keyFiles)
{
    SettingsErrors errors;
    Located<OperatorFile> content = readDocument(file, operatorFields(), errors);
    if (!errors.empty())
        return errors;
    OperatorSettings settings = content.value;
    const auto keyFolder = resolveRelativePath(file, content.value.keyFolder);
    settings.secretKeyFile = settings.secretKeyFile.empty()
        ? keyFolder / (settings.name + ".key")
        : resolveRelativePath(file, settings.secretKeyFile);
    std::vector<Located<PeerEntry>> controls;
    for (const auto &entry :
         readPeersFile(resolveRelativePath(file, content.value.peersFile), errors)) {
        if (entry.value.kind == ProcessKind::Control)
            controls.push_back(entry);
    }
    settings.controls = resolvePeers(controls, keyFolder, keyFiles, errors);
    if (settings.controls.empty() && errors.empty())
        errors.push_back(content.problem("peers_file", "expected at least one control process"));
    if (keyFiles == KeyFilePolicy::Read) {
        if (const auto pair = readKeyPairFile(settings.secretKeyFile); !pair)
            errors.push_back(content.problem("secret_key_file", pair.message()));
    }
    if (!errors.empty())
        return errors;
    return settings;
}

Validated<std::vector<PeerSettings>> loadPeers(const std::filesystem::path &file)
{
    SettingsErrors errors;
    const auto entries = readPeersFile(file, errors);
    auto peers = resolvePeers(entries, {}, KeyFilePolicy::Skip, errors);
    if (!errors.empty())
        return errors;
    return peers;
}

} // namespace gentianramp
