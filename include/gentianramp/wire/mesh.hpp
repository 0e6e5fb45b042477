#pragma once

#include <cstdint>
#include <filesystem>
#include <functional>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/error.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/core/metrics.hpp>
#include <gentianramp/core/timeline.hpp>
#include <memory>
#include <string>
#include <vector>

namespace gentianramp {

/// Kinds of payload; names and numbers are those of proto/envelope.proto.
enum class PayloadKind {
    Unknown = 0,
    Heartbeat = 1,       ///< Heartbeats of the membership service.
    Ledger = 2,          ///< Messages between the voters of the ledger.
    Lease = 3,           ///< Lease on ordering the engines of a data centre.
    Configuration = 4,   ///< Distribution of accepted configurations.
    Fleet = 5,           ///< State of a data centre's backend servers.
    Demand = 6,          ///< Demand by service and priority, sampled by entry instances.
    KeyClaim = 7,        ///< Replicated claims of idempotency keys.
    Limit = 8,           ///< Shares of customers' limits that instances lend each other.
    Notice = 9,          ///< A backend server accepts no new work.
    Operator = 10,       ///< Requests of operators.
    OperatorAnswer = 11, ///< Responses to operators.
    Registry = 12,       ///< Messages between registry processes, and with entry processes.
    Peer = 13,           ///< Messages between entry processes.
};

/// CURVE key pair, both parts 40 characters of Z85.
struct CurveKeyPair
{
    std::string publicKey;
    std::string secretKey;
    bool operator==(const CurveKeyPair &) const = default;
};

/// Generates a random key pair.
CurveKeyPair makeCurveKeyPair();

/// A process that messages are exchanged with.
struct MeshPeer
{
    InstanceId instance;
    std::string endpoint;  ///< "tcp://127.0.0.1:7001"; empty for peers that only connect here.
    std::string publicKey; ///< Newest public key of this peer.
    /// Older public keys. While the peer changes its key, messages under any of its keys are
    /// accepted, and connections to the peer try its keys in turn.
    std::vector<std::string> olderKeys = {};
    bool operator==(const MeshPeer &) const = default;
};

/// A message that passed the checks of its sender, order and age.
struct ReceivedMessage
{
    InstanceId sender;
    Incarnation incarnation;
    PayloadKind kind = PayloadKind::Unknown;
    std::string payload;
    std::string replyRoute; ///< Argument of Mesh::reply(); identifies the connection.
    /// The message must not be acted on later, for example after the receiver's thread was blocked.
    TimePoint expiresAt;

    bool expired(TimePoint now) const { return now > expiresAt; }
};

/// Called on the thread of the mesh; must not block. Longer work has to be posted to an executor.
using MessageHook = std::function<void(ReceivedMessage)>;

/// Options of a Mesh.
struct MeshOptions
{
    InstanceId instance;
    /// Larger than any earlier incarnation, for example the wall-clock time in ms; a random number
    /// when curveEnabled is false.
    Incarnation incarnation;
    std::string endpoint; ///< Endpoint to bind; empty for processes that only connect.
    /// False in deployments without keys: messages are neither encrypted nor authenticated, `keys`,
    /// `peers` and `operatorKeys` are not used, and instances are named by their address
    /// ("10.0.0.1:7380").
    bool curveEnabled = true;
    CurveKeyPair keys;
    std::vector<MeshPeer> peers;
    /// Public keys of operators, which may send only PayloadKind::Operator.
    std::vector<std::string> operatorKeys;
    /// Fault injection: file that lists instances, one name per line, whose messages are dropped.
    /// It is read ten times a second; an empty path disables it.
    std::filesystem::path faultFile;
    MetricsRegistry *metrics = nullptr;
    TimelineWriter *timeline = nullptr;
};

/// Message transport over ZeroMQ in which every process connects directly to its peers. Messages
/// are encrypted and authenticated with CURVE unless MeshOptions::curveEnabled is false.
///
/// Each message is delivered at most once. Messages to a peer that is not connected are dropped.
class Mesh
{
public:
    Mesh(MeshOptions options, MessageHook onMessage);
    ~Mesh();
    Mesh(const Mesh &) = delete;
    Mesh &operator=(const Mesh &) = delete;

    /// Queues a message for @p to; may be called from any thread. The receiver drops the message
    /// when it is older than @p ttl.
    void send(const InstanceId &to, PayloadKind kind, std::string payload, Duration ttl);
    /// Queues a reply on the connection that @p route (ReceivedMessage::replyRoute) identifies; may
    /// be called from any thread.
    void reply(const std::string &route, PayloadKind kind, std::string payload, Duration ttl);
    /// Replaces the known peers and operators. Connections are closed whose peer was removed, has a
    /// new endpoint or no longer has the key that the connection was made with.
    void setPeers(std::vector<MeshPeer> peers, std::vector<std::string> operatorKeys);
    /// Closes the connection to @p peer, for example when the peer no longer responds. The next
    /// message to the peer opens a new connection.
    void reconnect(const InstanceId &peer);
    /// Fault injection: drops all messages from and to these peers.
    void setBlocked(std::vector<InstanceId> peers);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianramp
