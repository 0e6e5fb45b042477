#pragma once

#include <cstdint>
#include <gentianramp/wire/mesh.hpp>
#include <string>
#include <unordered_map>
#include <vector>
#include <zmq.hpp>

namespace gentianramp {

/// Who a public key belongs to.
struct KeyOwner
{
    InstanceId instance; ///< Empty for operators.
    bool isOperator = false;
    bool operator==(const KeyOwner &) const = default;
};

/// Answers ZeroMQ's authentication requests (ZAP, RFC 27) from the known public keys.
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

    /// Answers all waiting requests; returns how many strangers were refused.
    std::uint64_t answerPending();

    /// Owner of @p publicKey, or null when it is not known (any more).
    const KeyOwner *owner(const std::string &publicKey) const;

private:
    bool answerOne();

    zmq::socket_t m_socket;
    std::unordered_map<std::string, KeyOwner> m_owners;
    std::uint64_t m_refused = 0;
};

} // namespace gentianramp
