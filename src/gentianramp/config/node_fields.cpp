#include "node_fields.hpp"

namespace gentianramp {

namespace {

constexpr unsigned MostThreads = 256;
constexpr std::uint32_t MostConnections = 1'000'000;
constexpr std::uint32_t LongestDrainSeconds = 24 * 3600;
constexpr std::uint64_t SmallestTimelineBytes = 64 * 1024;
constexpr std::uint64_t LargestTimelineBytes = 1ULL << 40;

} // namespace

const FieldTable<NodeFile> &nodeFields()
{
    using Node = NodeSettings;
    static const FieldTable<NodeFile> table{
        fieldOf<NodeFile>("instance", &Node::instance, Need::Required,
                          RangeCheck<InstanceId>(nameCheck<InstanceId>)),
        fieldOf<NodeFile>("data_centre", &Node::dataCentre, Need::Required,
                          RangeCheck<DataCentreId>(nameCheck<DataCentreId>)),
        fieldOf<NodeFile>("kind", &Node::kind, Need::Required),
        fieldOf<NodeFile>("http_host", &Node::httpHost),
        fieldOf<NodeFile>("http_port", &Node::httpPort, Need::Required),
        fieldOf<NodeFile>("endpoint", &Node::endpoint, Need::Required,
                          RangeCheck<std::string>(endpointCheck)),
        field("key_folder", &NodeFile::keyFolder),
        fieldOf<NodeFile>("secret_key_file", &Node::secretKeyFile),
        fieldOf<NodeFile>("operator_keys_file", &Node::operatorKeysFile),
        fieldOf<NodeFile>("data_folder", &Node::dataFolder),
        fieldOf<NodeFile>("voter", &Node::voter),
        fieldOf<NodeFile>("timeline_file", &Node::timelineFile),
        fieldOf<NodeFile>("timeline_max_bytes", &Node::timelineMaxBytes, Need::Optional,
                          between(SmallestTimelineBytes, LargestTimelineBytes)),
        fieldOf<NodeFile>("configuration_file", &Node::configurationFile),
        fieldOf<NodeFile>("overlay_files", &Node::overlayFiles),
        fieldOf<NodeFile>("fault_file", &Node::faultFile),
        fieldOf<NodeFile>("platform_list_url", &Node::platformListUrl),
        fieldOf<NodeFile>("threads", &Node::threads, Need::Optional, between(1U, MostThreads)),
        fieldOf<NodeFile>("max_connections", &Node::maxConnections, Need::Optional,
                          between(1U, MostConnections)),
        fieldOf<NodeFile>("drain_seconds", &Node::drainSeconds, Need::Optional,
                          between(0U, LongestDrainSeconds)),
        field("peers_file", &NodeFile::peersFile),
        listField("peers", &NodeFile::peerEntries, peerFields()),
    };
    return table;
}

} // namespace gentianramp
