#pragma once

#include "peer_fields.hpp"

#include <gentianramp/config/operator_settings.hpp>

namespace gentianramp {

/// Content of the settings file of an operator's client.
struct OperatorFile : OperatorSettings
{
    std::filesystem::path keyFolder;
    std::filesystem::path peersFile;
};

const FieldTable<OperatorFile> &operatorFields();

} // namespace gentianramp
