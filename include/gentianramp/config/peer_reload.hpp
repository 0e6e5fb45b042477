#pragma once

#include <gentianramp/config/node_settings.hpp>
#include <optional>

namespace gentianramp {

/// The settings that a running process can reload.
struct ReloadedPeers
{
    std::vector<PeerSettings> peers;
    std::vector<std::string> operatorKeys;
    bool operator==(const ReloadedPeers &) const = default;
};

/// Reads the settings file of the running process @p instance again. Logs every error and returns
/// no value if there is one.
std::optional<ReloadedPeers> reloadPeers(const std::filesystem::path &file,
                                         const InstanceId &instance);

} // namespace gentianramp
