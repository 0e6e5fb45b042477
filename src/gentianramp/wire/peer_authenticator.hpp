#pragma once

#include <cstdint>
#include <gentianramp/wire/mesh.hpp>
#include <string>
#include <unordered_map>
#include <vector>
#include <zmq.hpp>

namespace gentianramp {

/// Owner of a public key.
struct KeyOwner
{
    InstanceId instance; ///< Empty for operators.
    bool isOperator = false;
    bool operator==(const KeyOwner &) const = default;
};

/// Handles ZeroMQ's authentication requests (ZAP, RFC 27): accepts connections under known public
/// keys.
///
/// The user id of an accepted connection is the Z85 text of its public key.
class PeerAuthenticator
{
public:
    explicit PeerAuthenticator(zmq::context_t &context);

    /// Replaces the known keys; later handshakes and messages are checked against them.
    void setKeys(const std::vector<MeshPeer> &peers, const std::vector<std::string> &operatorKeys);

    /// Socket to poll for requests.
    zmq::socket_t &socket() { return m_socket; }

    /// Handles all pending requests; returns how many connections were rejected.
    std::uint64_t handlePending();

    /// Owner of @p publicKey, or null when the key is unknown or has been removed.
    const KeyOwner *owner(const std::string &publicKey) const;

private:
    bool handleOne();

    zmq::socket_t m_socket;
    std::unordered_map<std::string, KeyOwner> m_owners;
    std::uint64_t m_rejectedCount = 0;
};

} // namespace gentianramp
