#include "peer_authenticator.hpp"
#include "socket_calls.hpp"

#include <array>
#include <gentianramp/core/log.hpp>

namespace gentianramp {

namespace {

constexpr const char *ZapEndpoint = "inproc://zeromq.zap.01";
constexpr std::size_t BinaryKeySize = 32;
constexpr std::size_t KeyTextSize = 41;

// Frames of a ZAP request: version, request id, domain, address, identity, mechanism, key.
constexpr std::size_t RequestIdFrame = 1;
constexpr std::size_t AddressFrame = 3;
constexpr std::size_t MechanismFrame = 5;
constexpr std::size_t KeyFrame = 6;
constexpr std::size_t FrameCount = 7;

std::string keyText(const zmq::message_t &binary)
{
    if (binary.size() != BinaryKeySize)
        return {};
    std::array<char, KeyTextSize> text{};
    zmq_z85_encode(text.data(), static_cast<const std::uint8_t *>(binary.data()), binary.size());
    return text.data();
}

void sendZapReply(zmq::socket_t &socket, const std::string &requestId, bool accepted,
                  const std::string &userId)
{
    const std::array<std::string, 6> frames{
        "1.0", requestId, accepted ? "200" : "400", accepted ? "OK" : "unknown key", userId, "",
    };
    for (std::size_t index = 0; index < frames.size(); ++index) {
        const bool last = index + 1 == frames.size();
        sendFrame(socket, frames[index], last ? zmq::send_flags::none : zmq::send_flags::sndmore);
    }
}

} // namespace

PeerAuthenticator::PeerAuthenticator(zmq::context_t &context)
    : m_socket(context, zmq::socket_type::rep)
{
    m_socket.set(zmq::sockopt::linger, 0);
    bindSocket(m_socket, ZapEndpoint);
}

void PeerAuthenticator::setKeys(const std::vector<MeshPeer> &peers,
                                const std::vector<std::string> &operatorKeys)
{
    m_owners.clear();
    for (const std::string &key : operatorKeys)
        m_owners[key] = KeyOwner{{}, true};
    for (const MeshPeer &peer : peers) {
        m_owners[peer.publicKey] = KeyOwner{peer.instance, false};
        for (const std::string &key : peer.olderKeys)
            m_owners[key] = KeyOwner{peer.instance, false};
    }
}

std::uint64_t PeerAuthenticator::handlePending()
{
    const std::uint64_t before = m_rejectedCount;
    while (handleOne()) {
    }
    return m_rejectedCount - before;
}

const KeyOwner *PeerAuthenticator::owner(const std::string &publicKey) const
{
    const auto found = m_owners.find(publicKey);
    return found == m_owners.end() ? nullptr : &found->second;
}

bool PeerAuthenticator::handleOne()
{
    const std::vector<zmq::message_t> frames = receiveFrames(m_socket);
    if (frames.empty())
        return false;
    const std::string requestId
        = frames.size() > RequestIdFrame ? frames[RequestIdFrame].to_string() : std::string();
    std::string key;
    if (frames.size() == FrameCount && frames[MechanismFrame].to_string_view() == "CURVE")
        key = keyText(frames[KeyFrame]);
    const bool accepted = owner(key) != nullptr;
    if (!accepted) {
        ++m_rejectedCount;
        const std::string address
            = frames.size() > AddressFrame ? frames[AddressFrame].to_string() : std::string();
        logWarning("peer_refused", {{"address", address}, {"key", key}});
    }
    sendZapReply(m_socket, requestId, accepted, key);
    return true;
}

} // namespace gentianramp
