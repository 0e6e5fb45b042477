#pragma once

#include <filesystem>
#include <gentianramp/config/node_settings.hpp>
#include <gentianramp/core/clock.hpp>
#include <string>
#include <vector>

namespace gentianramp {

/// Settings of an operator's client.
struct OperatorSettings
{
    std::string name;                                   ///< Author in the history of changes.
    std::filesystem::path secretKeyFile;                ///< CURVE key pair of the operator.
    Duration answerTimeout = std::chrono::seconds(2);   ///< For the answer of one process.
    Duration commandTimeout = std::chrono::seconds(20); ///< For all attempts together.
    std::vector<PeerSettings> controls;                 ///< Control processes to connect to.
    bool operator==(const OperatorSettings &) const = default;
};

} // namespace gentianramp
