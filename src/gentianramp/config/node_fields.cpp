#include "node_fields.hpp"

namespace gentianramp {

namespace {

constexpr unsigned MaxThreads = 256;
constexpr std::uint32_t MaxConnections = 1'000'000;
constexpr std::uint64_t MinRequestMemoryBytes = 1024 * 1024;
constexpr std::uint64_t MaxRequestMemoryBytes = 1ULL << 40;
constexpr std::uint32_t MaxDrainSeconds = 24 * 3600;
constexpr std::uint64_t MinTimelineBytes = 64 * 1024;
constexpr std::uint64_t MaxTimelineBytes = 1ULL << 40;

} // namespace

const FieldTable<NodeFile> &nodeFields()
{
    using Node = NodeSettings;
    static const FieldTable<NodeFile> table{
        inheritedField<NodeFile>("instance", &Node::instance, Need::Required,
                                 ValueCheck<InstanceId>(nameCheck<InstanceId>)),
        inheritedField<NodeFile>("data_centre", &Node::dataCentre, Need::Required,
                                 ValueCheck<DataCentreId>(nameCheck<DataCentreId>)),
        inheritedField<NodeFile>("kind", &Node::kind, Need::Required),
        inheritedField<NodeFile>("http_host", &Node::httpHost),
        inheritedField<NodeFile>("http_port", &Node::httpPort, Need::Required),
        inheritedField<NodeFile>("endpoint", &Node::endpoint, Need::Required,
                                 ValueCheck<std::string>(endpointCheck)),
        field("key_folder", &NodeFile::keyFolder),
        inheritedField<NodeFile>("secret_key_file", &Node::secretKeyFile),
        inheritedField<NodeFile>("operator_keys_file", &Node::operatorKeysFile),
        inheritedField<NodeFile>("data_folder", &Node::dataFolder),
        inheritedField<NodeFile>("voter", &Node::voter),
        inheritedField<NodeFile>("timeline_file", &Node::timelineFile),
        inheritedField<NodeFile>("timeline_max_bytes", &Node::timelineMaxBytes, Need::Optional,
                                 between(MinTimelineBytes, MaxTimelineBytes)),
        inheritedField<NodeFile>("configuration_file", &Node::configurationFile),
        inheritedField<NodeFile>("overlay_files", &Node::overlayFiles),
        inheritedField<NodeFile>("fault_file", &Node::faultFile),
        inheritedField<NodeFile>("platform_list_url", &Node::platformListUrl),
        inheritedField<NodeFile>("threads", &Node::threads, Need::Optional,
                                 between(1U, MaxThreads)),
        inheritedField<NodeFile>("max_connections", &Node::maxConnections, Need::Optional,
                                 between(1U, MaxConnections)),
        inheritedField<NodeFile>("request_memory_bytes", &Node::requestMemoryBytes, Need::Optional,
                                 between(MinRequestMemoryBytes, MaxRequestMemoryBytes)),
        inheritedField<NodeFile>("drain_seconds", &Node::drainSeconds, Need::Optional,
                                 between(0U, MaxDrainSeconds)),
        field("peers_file", &NodeFile::peersFile),
        listField("peers", &NodeFile::peerEntries, peerFields()),
    };
    return table;
}

} // namespace gentianramp
