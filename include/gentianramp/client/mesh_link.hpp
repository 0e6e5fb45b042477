#pragma once

#include <gentianramp/client/operator_client.hpp>
#include <gentianramp/config/key_files.hpp>
#include <gentianramp/config/operator_settings.hpp>
#include <memory>

namespace gentianramp {

/// Link to the control processes over the mesh; the last copy of it closes the connections.
OperatorLink makeMeshLink(const OperatorSettings &settings, const KeyPairFile &keys);

} // namespace gentianramp
