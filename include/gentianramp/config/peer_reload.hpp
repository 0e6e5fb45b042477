#pragma once

#include <gentianramp/config/node_settings.hpp>
#include <optional>

namespace gentianramp {

/// What a running process takes over from its settings.
struct ReloadedPeers
{
    std::vector<PeerSettings> peers;
    std::vector<std::string> operatorKeys;
    bool operator==(const ReloadedPeers &) const = default;
};

/// Reads the settings of the running process @p instance again. Any error is logged, and then
/// nothing is to be taken over.
std::optional<ReloadedPeers> reloadPeers(const std::filesystem::path &file,
                                         const InstanceId &instance);

} // namespace gentianramp
