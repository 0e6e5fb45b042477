#pragma once

#include <cstdint>
#include <filesystem>
#include <gentianramp/core/ids.hpp>
#include <string>
#include <vector>

namespace gentianramp {

/// Program that a process runs.
enum class ProcessKind {
    Entry,   ///< Accepts callers' requests and routes them to backend servers.
    Control, ///< Distributes the configuration and assigns roles to engines.
};

/// Another process of the system.
struct PeerSettings
{
    InstanceId instance;
    DataCentreId dataCentre;
    ProcessKind kind = ProcessKind::Entry;
    std::string endpoint;  ///< ZeroMQ endpoint, "tcp://127.0.0.1:7001".
    std::string publicKey; ///< CURVE public key, 40 characters of Z85.
    bool voter = false;    ///< Votes in the ledger; control processes with a data folder only.
    std::vector<std::string> furtherKeys = {}; ///< Older public keys, still accepted.
    bool operator==(const PeerSettings &) const = default;
};

/// Settings of one process, read from its YAML file.
struct NodeSettings
{
    InstanceId instance;
    DataCentreId dataCentre;
    ProcessKind kind = ProcessKind::Entry;
    std::string httpHost = "127.0.0.1";
    std::uint16_t httpPort = 0; ///< Entry: callers and metrics. Control: metrics and health.
    std::string endpoint;       ///< Own ZeroMQ endpoint.
    std::filesystem::path secretKeyFile;    ///< CURVE key pair of this process.
    std::filesystem::path operatorKeysFile; ///< Public keys of operators, one a line.
    std::filesystem::path dataFolder;       ///< On a local disk; empty without one.
    bool voter = false;
    std::filesystem::path timelineFile; ///< Event trace, see TimelineWriter; empty: none.
    std::uint64_t timelineMaxBytes = 16 * 1024 * 1024;
    /// Base file of the configuration that entry uses until it receives a distributed one.
    std::filesystem::path configurationFile;
    std::vector<std::filesystem::path> overlayFiles; ///< Site overlays of configurationFile.
    /// Fault injection for tests, see MeshOptions::faultFile. Empty in production.
    std::filesystem::path faultFile;
    /// URL of the platform's list of live and leaving instances, or empty.
    std::string platformListUrl;
    unsigned threads = 2;                ///< Threads for requests.
    std::uint32_t maxConnections = 4096; ///< Limit of callers' connections.
    /// Bound of the requests and answers that all connections hold together, in bytes.
    std::uint64_t requestMemoryBytes = 64 * 1024 * 1024;
    std::uint32_t drainSeconds = 60; ///< Time limit of a graceful shutdown.
    std::vector<PeerSettings> peers; ///< All other processes.
    bool operator==(const NodeSettings &) const = default;
};

} // namespace gentianramp
