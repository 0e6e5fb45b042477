#include "peer_fields.hpp"
#include "yaml_file.hpp"

#include <gentianramp/config/key_files.hpp>
#include <gentianramp/config/settings_file.hpp>

namespace gentianramp {

namespace {

using namespace std::chrono_literals;

/// Content of the settings file of an operator's client.
struct OperatorFile : OperatorSettings
{
    std::filesystem::path keyFolder;
    std::filesystem::path peersFile;
};

const FieldTable<OperatorFile> &operatorFields()
{
    using Settings = OperatorSettings;
    static const FieldTable<OperatorFile> table{
        fieldOf<OperatorFile>("name", &Settings::name, Need::Required,
                              RangeCheck<std::string>(nameCheck<std::string>)),
        field("key_folder", &OperatorFile::keyFolder, Need::Required),
        fieldOf<OperatorFile>("secret_key_file", &Settings::secretKeyFile),
        field("peers_file", &OperatorFile::peersFile, Need::Required),
        fieldOf<OperatorFile>("answer_timeout", &Settings::answerTimeout, Need::Optional,
                              between<Duration>(10ms, 1min)),
        fieldOf<OperatorFile>("command_timeout", &Settings::commandTimeout, Need::Optional,
                              between<Duration>(10ms, 1h)),
    };
    return table;
}

} // namespace

Validated<OperatorSettings> loadOperatorSettings(const std::filesystem::path &file,
                                                 KeyFiles keyFiles)
{
    SettingsErrors errors;
    Located<OperatorFile> content = readDocument(file, operatorFields(), errors);
    if (!errors.empty())
        return errors;
    OperatorSettings settings = content.value;
    const auto keyFolder = besideFile(file, content.value.keyFolder);
    settings.secretKeyFile = settings.secretKeyFile.empty()
        ? keyFolder / (settings.name + ".key")
        : besideFile(file, settings.secretKeyFile);
    std::vector<Located<PeerEntry>> controls;
    for (const auto &entry : readPeersFile(besideFile(file, content.value.peersFile), errors)) {
        if (entry.value.kind == ProcessKind::Control)
            controls.push_back(entry);
    }
    settings.controls = resolvePeers(controls, keyFolder, keyFiles, errors);
    if (settings.controls.empty() && errors.empty())
        errors.push_back(content.problem("peers_file", "expected at least one control process"));
    if (keyFiles == KeyFiles::Read) {
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
    auto peers = resolvePeers(entries, {}, KeyFiles::Skip, errors);
    if (!errors.empty())
        return errors;
    return peers;
}

} // namespace gentianramp
