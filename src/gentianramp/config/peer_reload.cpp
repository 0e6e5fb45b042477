#include <gentianramp/config/peer_reload.hpp>

#include <gentianramp/config/key_files.hpp>
#include <gentianramp/config/settings_file.hpp>
#include <gentianramp/core/log.hpp>

namespace gentianramp {

namespace {

void logFailure(const std::string &reason)
{
    logError("reload_failed", {{"reason", reason}});
}

} // namespace

std::optional<ReloadedPeers> reloadPeers(const std::filesystem::path &file,
                                         const InstanceId &instance)
{
    const auto settings = loadNodeSettings(file);
    for (const SettingsError &error : settings.errors())
        logFailure(toString(error));
    if (!settings)
        return std::nullopt;
    if (settings->instance != instance) {
        logFailure("settings file belongs to another instance: " + settings->instance.value());
        return std::nullopt;
    }
    ReloadedPeers reloaded{settings->peers, {}};
    if (!settings->operatorKeysFile.empty()) {
        auto keys = readOperatorKeysFile(settings->operatorKeysFile);
        if (!keys) {
            logFailure(keys.message());
            return std::nullopt;
        }
        reloaded.operatorKeys = std::move(keys).value();
    }
    logInfo("peers_reloaded", {{"peers", reloaded.peers.size()}});
    return reloaded;
}

} // namespace gentianramp
