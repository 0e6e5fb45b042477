#pragma once

#include "peer_fields.hpp"

namespace gentianramp {

/// Content of the settings file of one process.
struct NodeFile : NodeSettings
{
    std::filesystem::path keyFolder;
    std::filesystem::path peersFile;
    std::vector<Located<PeerEntry>> peerEntries;
};

const FieldTable<NodeFile> &nodeFields();

} // namespace gentianramp
