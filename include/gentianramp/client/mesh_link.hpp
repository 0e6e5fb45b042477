#pragma once

#include <gentianramp/client/operator_client.hpp>
#include <gentianramp/config/key_files.hpp>
#include <gentianramp/config/operator_settings.hpp>
#include <memory>

namespace gentianramp {

/// Creates a link to the control processes over the mesh. Its copies share the connections, which
/// close when the last copy is destroyed.
OperatorLink makeMeshLink(const OperatorSettings &settings, const KeyPairFile &keys);

} // namespace gentianramp
