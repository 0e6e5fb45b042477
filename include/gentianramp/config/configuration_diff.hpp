#pragma once

#include <gentianramp/config/declared_configuration.hpp>
#include <string>
#include <vector>

namespace gentianramp {

enum class ChangeKind {
    Added,
    Removed,
    Changed,
};

/// One difference between two configurations.
struct ConfigurationChange
{
    ChangeKind kind = ChangeKind::Changed;
    std::string section; ///< "services"; "planner" and "general" have no ids.
    std::string id;      ///< Which entry of the section; empty without ids.
    std::string field;   ///< The key that changed; empty when a whole entry came or went.
    std::string before;  ///< Value before; all values for a removed entry.
    std::string after;   ///< Value after; all values for an added entry.
    bool operator==(const ConfigurationChange &) const = default;
};

/// All differences from @p before to @p after, by section and id.
std::vector<ConfigurationChange> compareConfigurations(const DeclaredConfiguration &before,
                                                       const DeclaredConfiguration &after);

std::string_view toString(ChangeKind kind);
/// "~ services[desk].timeout: 30s -> 20s", "+ backends[engine-9]: host=..., port=...".
std::string toString(const ConfigurationChange &change);

} // namespace gentianramp
