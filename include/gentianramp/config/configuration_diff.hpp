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
    std::string section; ///< Section of the configuration, such as "services" or "planner".
    std::string id;      ///< Id of the entry; empty in "planner" and "general", which have no ids.
    std::string field;   ///< The key that changed; empty when a whole entry was added or removed.
    std::string before;  ///< Value before; all values for a removed entry.
    std::string after;   ///< Value after; all values for an added entry.
    bool operator==(const ConfigurationChange &) const = default;
};

/// All differences from @p before to @p after, grouped by section. Each section lists changed and
/// removed entries by id, then added entries by id.
std::vector<ConfigurationChange> compareConfigurations(const DeclaredConfiguration &before,
                                                       const DeclaredConfiguration &after);

std::string_view toString(ChangeKind kind);
/// "~ services[desk].timeout: 30s -> 20s", "+ backends[engine-9]: host=..., port=...".
std::string toString(const ConfigurationChange &change);

} // namespace gentianramp
