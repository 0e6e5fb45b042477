#pragma once

#include <gentianramp/peers/stream_records.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// What one instance knows of how a stream may have begun.
struct OriginEvidence
{
    std::optional<StreamOrigin> recorded;
    /// Versions at which the stream may have begun if it is not recorded.
    std::vector<std::string> versions;
    /// The instance has known the service's versions for as long as a stream may last.
    bool isComplete = false;
    /// Its listing was read so lately that it has each version at which streams may have begun.
    bool isFresh = false;
    bool operator==(const OriginEvidence &) const = default;
};

/// Where a stream that a caller takes up again may go on.
struct OriginDecision
{
    /// Empty: the stream is refused. Its version is empty when no server of the service names one.
    std::optional<StreamOrigin> origin;
    std::string_view reason;
    bool operator==(const OriginDecision &) const = default;
};

/// What the answer of a registry instance counts for: its record alone. Empty without one, since a
/// registry instance sees no stream begin and so cannot tell which version began it.
std::optional<OriginEvidence> recordAlone(const OriginEvidence &ofRegistry);

/// Whether an instance knows by itself that one version alone can have begun the stream.
bool hasOneVersion(const OriginEvidence &own);

/// A stream goes on at the version that is recorded, or at the only one that can have begun it.
/// @p others are the answers of the instances that keep such records.
OriginDecision decideOrigin(const std::string &service, const OriginEvidence &own,
                            std::span<const OriginEvidence> others);

} // namespace gentianramp
