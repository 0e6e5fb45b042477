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

/// Kinds of payload; the numbers are those of proto/envelope.proto.
enum class PayloadKind {
    Unknown = 0,
    Heartbeat = 1,
    Ledger = 2,
    Lease = 3,
    Configuration = 4,
    Fleet = 5,
    Demand = 6,
    KeyClaim = 7,
    Limit = 8,
    Notice = 9,
    Operator = 10,
    OperatorAnswer = 11,
    Registry = 12,
};

/// CURVE key pair, both parts 40 characters of Z85.
struct CurveKeyPair
{
    std::string publicKey;
    std::string secretKey;
    bool operator==(const CurveKeyPair &) const = default;
};

/// Makes a new random key pair.
CurveKeyPair makeCurveKeyPair();

/// A process that messages are exchanged with.
struct MeshPeer
{
    InstanceId instance;
    std::string endpoint;  ///< "tcp://127.0.0.1:7001"; empty for peers that only connect here.
    std::string publicKey; ///< Newest key of this peer.
    /// Older keys, accepted and tried like the newest one while the peer changes its key.
    std::vector<std::string> furtherKeys = {};
    bool operator==(const MeshPeer &) const = default;
};

/// A message that arrived in time from a known peer.
struct ReceivedMessage
{
    InstanceId sender;
    Incarnation incarnation;
    PayloadKind kind = PayloadKind::Unknown;
    std::string payload;
    std::string replyRoute; ///< Give to reply(); names the connection the message came on.
};

/// Called on the thread of the mesh; must not block. Post to an executor for longer work.
using MessageHook = std::function<void(ReceivedMessage)>;

/// Options of a Mesh.
struct MeshOptions
{
    InstanceId instance;
    Incarnation incarnation; ///< Larger than in any earlier life, for example wall-clock ms.
    std::string endpoint;    ///< Bound; empty for processes that only connect.
    /// False where the platform hands out no keys: nothing is encrypted, `keys`, `peers` and
    /// `operatorKeys` are not used, and a peer's name is its address ("10.0.0.1:7380"). The
    /// incarnation is then a random number.
    bool curveEnabled = true;
    CurveKeyPair keys;
    std::vector<MeshPeer> peers;
    /// Public keys that may send PayloadKind::Operator and nothing else.
    std::vector<std::string> operatorKeys;
    /// Fault injection: names of instances, one a line, whose traffic is dropped while the file
    /// lists them. Read ten times a second; an empty path switches it off.
    std::filesystem::path faultFile;
    MetricsRegistry *metrics = nullptr;
    TimelineWriter *timeline = nullptr;
};

/// Encrypted datagrams between the processes of the system over ZeroMQ.
///
/// A message arrives at most once or not at all. Nothing is queued for a peer that is not
/// connected.
class Mesh
{
public:
    Mesh(MeshOptions options, MessageHook onMessage);
    ~Mesh();
    Mesh(const Mesh &) = delete;
    Mesh &operator=(const Mesh &) = delete;

    /// Sends from any thread; @p ttl bounds the age at which the receiver still takes it.
    void send(const InstanceId &to, PayloadKind kind, std::string payload, Duration ttl);
    /// Answers on the connection that @p route names.
    void reply(const std::string &route, PayloadKind kind, std::string payload, Duration ttl);
    /// Replaces the known peers and operators; a connection stays while its
    /// peer keeps the address and the key that the connection was made with.
    void setPeers(std::vector<MeshPeer> peers, std::vector<std::string> operatorKeys);
    /// Drops the connection to @p peer, which may have gone silent; the next message makes a new
    /// one.
    void reconnect(const InstanceId &peer);
    /// Fault injection: drops all traffic with these peers.
    void setBlocked(std::vector<InstanceId> peers);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianramp
