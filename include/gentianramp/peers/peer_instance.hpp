#pragma once

#include <cstdint>
#include <gentianramp/core/ids.hpp>
#include <vector>

namespace gentianramp {

/// An entry instance as the registry tells others of it.
struct PeerInstance
{
    InstanceId instance; ///< Address of its mesh.
    DataCentreId dataCentre;
    bool cutOff = false; ///< It says that it reaches no backend server.
    auto operator<=>(const PeerInstance &) const = default;
};

/// Digest of @p peers, which are sorted; never 0.
std::uint64_t peersDigest(const std::vector<PeerInstance> &peers);

} // namespace gentianramp
