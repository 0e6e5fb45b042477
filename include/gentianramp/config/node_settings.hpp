#pragma once

#include <cstdint>
#include <filesystem>
#include <gentianramp/core/ids.hpp>
#include <string>
#include <vector>

namespace gentianramp {

/// Program that a process runs.
enum class ProcessKind {
    Entry,
    Control,
};

/// Another process of the system.
struct PeerSettings
{
    InstanceId instance;
    DataCentreId dataCentre;
    ProcessKind kind = ProcessKind::Entry;
    std::string endpoint;  ///< ZeroMQ endpoint, "tcp://127.0.0.1:7001".
    std::string publicKey; ///< CURVE public key, 40 characters of Z85.
    bool voter = false;    ///< Votes in the ledger; only control processes with a disk.
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
    std::uint16_t httpPort = 0;          ///< Callers' side of entry; metrics and health of control.
    std::string endpoint;                ///< Own ZeroMQ endpoint.
    std::filesystem::path secretKeyFile; ///< CURVE key pair of this process.
    std::filesystem::path operatorKeysFile; ///< Public keys of operators, one a line.
    std::filesystem::path dataFolder;       ///< Empty on instances without a disk.
    bool voter = false;
    std::filesystem::path timelineFile; ///< Empty: no time line.
    std::uint64_t timelineMaxBytes = 16 * 1024 * 1024;
    std::filesystem::path configurationFile;         ///< Base file to start from before any apply.
    std::vector<std::filesystem::path> overlayFiles; ///< Overlays that go with it.
    /// Fault injection: see MeshOptions::faultFile. Empty in service.
    std::filesystem::path faultFile;
    std::string platformListUrl; ///< The platform's list of live and leaving instances, or empty.
    unsigned threads = 2;        ///< Threads that work on requests.
    std::uint32_t maxConnections = 4096; ///< Callers' connections.
    std::uint32_t drainSeconds = 60;     ///< Longest graceful shutdown.
    std::vector<PeerSettings> peers;     ///< All other processes.
    bool operator==(const NodeSettings &) const = default;
};

} // namespace gentianramp
