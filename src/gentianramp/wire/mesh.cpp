#include "message_filter.hpp"
#include "peer_authenticator.hpp"
#include "socket_calls.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <fstream>
#include <gentianramp/core/log.hpp>
#include <gentianramp/core/thread.hpp>
#include <gentianramp/wire/mesh.hpp>
#include <map>
#include <mutex>
#include <set>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>
#include <zmq.hpp>

#include "gentianramp/wire/generated/envelope.pb.h"

namespace gentianramp {

namespace {

constexpr int HighWaterMark = 512; // messages per connection
constexpr int HeartbeatIntervalMs = 1000;
constexpr int HeartbeatTimeoutMs = 3000;
constexpr int HandshakeTimeoutMs = 2000;
constexpr int InitialReconnectDelayMs = 50;
constexpr int MaxReconnectDelayMs = 500;
constexpr std::int64_t MaxMessageBytes = 8 * 1024 * 1024;
/// No message may be acted on for longer, so that a wrong figure can't keep one for good.
constexpr std::uint32_t MaxTtlMs = 60'000;
constexpr std::size_t MaxQueuedMessages = 4096;
constexpr std::chrono::milliseconds PollInterval(100);
/// A longer loop iteration means that this process was paused.
constexpr Duration PauseThreshold = std::chrono::milliseconds(500);
constexpr int ConnectTimeoutMs = 1000;        // an unanswered connect is repeated after this time
constexpr int UnacknowledgedTimeoutMs = 2000; // TCP_USER_TIMEOUT; below the heartbeat timeouts
/// After this time without a successful send, the peer's next key is tried.
constexpr Duration KeyTrialTimeout = std::chrono::seconds(1);
constexpr Duration DropReportInterval = std::chrono::seconds(1);
constexpr std::uint64_t TimelineSampleInterval = 16; // every 16th message is recorded

/// A queued message, either to a peer or, when `route` is set, to the connection of a received
/// message.
struct OutgoingMessage
{
    InstanceId to;
    std::string route;
    proto::Envelope envelope;
};

/// An outgoing connection to a peer.
struct PeerConnection
{
    zmq::socket_t socket;
    std::string endpoint;
    std::string serverKey;
    TimePoint lastSentAt; ///< Last successful send; before the first one, the time of connecting.
};

bool hasKey(const MeshPeer &peer, const std::string &key)
{
    return key == peer.publicKey
        || std::find(peer.olderKeys.begin(), peer.olderKeys.end(), key) != peer.olderKeys.end();
}

/// The key to try after @p key: in order from the newest to the oldest, then the newest again.
std::string keyAfter(const MeshPeer &peer, const std::string &key)
{
    if (peer.olderKeys.empty())
        return peer.publicKey;
    if (key == peer.publicKey)
        return peer.olderKeys.front();
    const auto found = std::find(peer.olderKeys.begin(), peer.olderKeys.end(), key);
    const bool last = found == peer.olderKeys.end() || std::next(found) == peer.olderKeys.end();
    return last ? peer.publicKey : *std::next(found);
}

std::string messageId(const proto::Envelope &envelope)
{
    return envelope.sender() + '/' + std::to_string(envelope.incarnation()) + '/'
        + std::to_string(envelope.sequence());
}

std::set<InstanceId> readBlockedInstances(const std::filesystem::path &file)
{
    std::set<InstanceId> blocked;
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
        if (!line.empty())
            blocked.insert(InstanceId(line));
    }
    return blocked;
}

void setCommonOptions(zmq::socket_t &socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, HighWaterMark);
    socket.set(zmq::sockopt::rcvhwm, HighWaterMark);
    socket.set(zmq::sockopt::heartbeat_ivl, HeartbeatIntervalMs);
    socket.set(zmq::sockopt::heartbeat_timeout, HeartbeatTimeoutMs);
    socket.set(zmq::sockopt::heartbeat_ttl, HeartbeatTimeoutMs);
    socket.set(zmq::sockopt::handshake_ivl, HandshakeTimeoutMs);
    socket.set(zmq::sockopt::maxmsgsize, MaxMessageBytes);
    socket.set(zmq::sockopt::tcp_maxrt, UnacknowledgedTimeoutMs);
}

} // namespace

struct Mesh::State
{
    State(MeshOptions meshOptions, MessageHook hook)
        : options(std::move(meshOptions))
        , onMessage(std::move(hook))
        , context(1)
        , authenticator(context)
        , router(context, zmq::socket_type::router)
        , wakeFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
        bind();
        replacePeers(options.peers, options.operatorKeys);
    }

    ~State() { close(wakeFd); }

    void bind()
    {
        if (options.endpoint.empty())
            return;
        setCommonOptions(router);
        router.set(zmq::sockopt::router_mandatory, true);
        if (options.curveEnabled) {
            router.set(zmq::sockopt::curve_server, true);
            router.set(zmq::sockopt::curve_secretkey, options.keys.secretKey);
            router.set(zmq::sockopt::zap_domain, "gentianramp");
        }
        bindSocket(router, options.endpoint);
    }

    void replacePeers(std::vector<MeshPeer> peers, const std::vector<std::string> &operators)
    {
        authenticator.setKeys(peers, operators);
        std::unordered_map<InstanceId, MeshPeer> newPeers;
        for (MeshPeer &peer : peers) {
            const InstanceId instance = peer.instance;
            newPeers.emplace(instance, std::move(peer));
        }
        std::erase_if(dealers, [&](const auto &entry) {
            const auto next = newPeers.find(entry.first);
            const PeerConnection &connection = entry.second;
            return next == newPeers.end() || next->second.endpoint != connection.endpoint
                || !hasKey(next->second, connection.serverKey);
        });
        knownPeers = std::move(newPeers);
    }

    PeerConnection *findOrConnect(const InstanceId &instance)
    {
        const auto existing = dealers.find(instance);
        if (existing != dealers.end())
            return &existing->second;
        if (!options.curveEnabled) {
            const MeshPeer addressedPeer{.instance = instance,
                                         .endpoint = "tcp://" + instance.value()};
            return connect(addressedPeer, {});
        }
        const auto peer = knownPeers.find(instance);
        if (peer == knownPeers.end() || peer->second.endpoint.empty())
            return nullptr;
        return connect(peer->second, peer->second.publicKey);
    }

    /// Null if the address is none, or if no socket is left.
    PeerConnection *connect(const MeshPeer &peer, const std::string &serverKey)
    {
        try {
            PeerConnection connection{openDealer(peer, serverKey), peer.endpoint, serverKey,
                                      RuntimeClock::now()};
            return &dealers.insert_or_assign(peer.instance, std::move(connection)).first->second;
        } catch (const zmq::error_t &error) {
            logWarning("connect_failed",
                       {{"peer", peer.instance.value()},
                        {"endpoint", peer.endpoint},
                        {"reason", error.what()}});
            return nullptr;
        }
    }

    zmq::socket_t openDealer(const MeshPeer &peer, const std::string &serverKey)
    {
        zmq::socket_t dealer(context, zmq::socket_type::dealer);
        setCommonOptions(dealer);
        dealer.set(zmq::sockopt::immediate, true);
        dealer.set(zmq::sockopt::reconnect_ivl, InitialReconnectDelayMs);
        dealer.set(zmq::sockopt::reconnect_ivl_max, MaxReconnectDelayMs);
        dealer.set(zmq::sockopt::connect_timeout, ConnectTimeoutMs);
        if (options.curveEnabled) {
            dealer.set(zmq::sockopt::curve_serverkey, serverKey);
            dealer.set(zmq::sockopt::curve_publickey, options.keys.publicKey);
            dealer.set(zmq::sockopt::curve_secretkey, options.keys.secretKey);
        }
        connectSocket(dealer, peer.endpoint);
        return dealer;
    }

    /// Reconnects under the peer's next key when the present key has not worked for
    /// KeyTrialTimeout. A peer uses one of its keys at a time, and only a connection attempt shows
    /// which.
    void tryNextKey(const InstanceId &instance, const PeerConnection &connection)
    {
        if (!options.curveEnabled)
            return;
        const MeshPeer &peer = knownPeers.at(instance);
        const Duration unconnectedFor = RuntimeClock::now() - connection.lastSentAt;
        if (!peer.olderKeys.empty() && unconnectedFor > KeyTrialTimeout)
            connect(peer, keyAfter(peer, connection.serverKey));
    }

    void run()
    {
        TimePoint lastIterationAt = RuntimeClock::now();
        while (!stopping.load(std::memory_order_acquire)) {
            waitForEvents();
            const TimePoint now = RuntimeClock::now();
            if (now - lastIterationAt > PauseThreshold) {
                nonReplyFilter.receiverPaused(now);
                replyFilter.receiverPaused(now);
            }
            lastIterationAt = now;
            refreshBlockedInstances(now);
            runQueuedCommands();
            countRejectedHandshakes(authenticator.handlePending());
            sendQueued();
            receiveAll();
            reportReceivedDrops(now);
        }
    }

    void waitForEvents()
    {
        std::vector<zmq::pollitem_t> items;
        items.reserve(dealers.size() + 3);
        items.push_back({nullptr, wakeFd, ZMQ_POLLIN, 0});
        items.push_back({authenticator.socket().handle(), 0, ZMQ_POLLIN, 0});
        if (!options.endpoint.empty())
            items.push_back({router.handle(), 0, ZMQ_POLLIN, 0});
        for (auto &[instance, dealer] : dealers)
            items.push_back({dealer.socket.handle(), 0, ZMQ_POLLIN, 0});
        waitForItems(items, PollInterval);
        std::uint64_t ignored = 0;
        while (read(wakeFd, &ignored, sizeof ignored) > 0) {
        }
    }

    void refreshBlockedInstances(TimePoint now)
    {
        if (options.faultFile.empty() || now - faultFileReadAt < PollInterval)
            return;
        faultFileReadAt = now;
        blockedByFile = readBlockedInstances(options.faultFile);
    }

    void runQueuedCommands()
    {
        std::deque<std::function<void()>> batch;
        {
            const std::lock_guard lock(mutex);
            batch.swap(commands);
        }
        for (const auto &command : batch)
            command();
    }

    void sendQueued()
    {
        std::deque<OutgoingMessage> batch;
        {
            const std::lock_guard lock(mutex);
            batch.swap(outgoing);
        }
        for (OutgoingMessage &message : batch)
            sendNow(message);
    }

    void sendNow(OutgoingMessage &message)
    {
        if (isBlocked(message.to))
            return drop(DropReason::Blocked, message.to);
        proto::Envelope &envelope = message.envelope;
        envelope.set_sequence(++lastSequence);
        envelope.set_sent_monotonic_ns(RuntimeClock::now().time_since_epoch().count());
        const std::string bytes = envelope.SerializeAsString();
        const bool sent = message.route.empty() ? sendToPeer(message.to, bytes)
                                                : sendToRoute(message.route, bytes);
        if (!sent)
            return drop(DropReason::NotConnected, message.to);
        countTraffic("sent", bytes.size());
        recordSample(EventKind::MessageSent, envelope, message.to);
    }

    bool sendToPeer(const InstanceId &to, const std::string &bytes)
    {
        PeerConnection *dealer = findOrConnect(to);
        if (!dealer)
            return false;
        if (!sendFrame(dealer->socket, bytes, zmq::send_flags::dontwait)) {
            tryNextKey(to, *dealer);
            return false;
        }
        dealer->lastSentAt = RuntimeClock::now();
        return true;
    }

    bool sendToRoute(const std::string &route, const std::string &bytes)
    {
        try {
            return sendFrame(router, route, zmq::send_flags::dontwait | zmq::send_flags::sndmore)
                && sendFrame(router, bytes, zmq::send_flags::dontwait);
        } catch (const zmq::error_t &) {
            return false; // The connection of the route is closed.
        }
    }

    void receiveAll()
    {
        if (!options.endpoint.empty())
            receiveFromRouter();
        for (auto &[instance, dealer] : dealers)
            receiveFromDealer(instance, dealer.socket);
    }

    void receiveFromRouter()
    {
        for (;;) {
            const std::vector<zmq::message_t> frames = receiveFrames(router);
            if (frames.empty())
                return;
            if (frames.size() != 2) {
                drop(DropReason::Malformed, {});
                continue;
            }
            const KeyOwner *owner = options.curveEnabled ? authenticator.owner(userId(frames[1]))
                                                         : &unauthenticatedOwner;
            if (!owner) {
                drop(DropReason::NotPermitted, {});
                continue;
            }
            receive(frames[1], *owner, frames[0].to_string());
        }
    }

    void receiveFromDealer(const InstanceId &instance, zmq::socket_t &dealer)
    {
        for (;;) {
            const std::vector<zmq::message_t> frames = receiveFrames(dealer);
            if (frames.empty())
                return;
            if (frames.size() == 1)
                receive(frames[0], KeyOwner{instance, false}, {});
            else
                drop(DropReason::Malformed, instance);
        }
    }

    void receive(const zmq::message_t &frame, const KeyOwner &owner, std::string route)
    {
        proto::Envelope envelope;
        if (!envelope.ParseFromArray(frame.data(), static_cast<int>(frame.size())))
            return drop(DropReason::Malformed, owner.instance);
        const InstanceId sender(envelope.sender());
        if (const auto reason = dropReasonFor(envelope, owner, sender, route.empty())) {
            ++receivedDrops[{sender, *reason}];
            return drop(*reason, sender);
        }
        countTraffic("received", frame.size());
        recordSample(EventKind::MessageReceived, envelope, sender);
        handOver({sender, Incarnation(envelope.incarnation()),
                  static_cast<PayloadKind>(envelope.kind()), std::move(*envelope.mutable_payload()),
                  std::move(route),
                  RuntimeClock::now() + std::chrono::milliseconds(envelope.ttl_ms())});
    }

    /// A message may be lost at any time; one that can't be handled is lost like that.
    void handOver(ReceivedMessage message)
    {
        const InstanceId sender = message.sender;
        const proto::PayloadKind kind = static_cast<proto::PayloadKind>(message.kind);
        try {
            onMessage(std::move(message));
        } catch (const std::exception &error) {
            logError("message_failed",
                     {{"peer", sender.value()},
                      {"kind", proto::PayloadKind_Name(kind)},
                      {"reason", error.what()}});
            drop(DropReason::Failed, sender);
        }
    }

    std::optional<DropReason> dropReasonFor(const proto::Envelope &envelope, const KeyOwner &owner,
                                            const InstanceId &sender, bool isReply)
    {
        if (owner.isOperator) {
            const bool permitted = envelope.kind() == proto::PAYLOAD_OPERATOR;
            return permitted ? std::nullopt : std::optional(DropReason::NotPermitted);
        }
        if (options.curveEnabled && sender != owner.instance)
            return DropReason::ForgedSender;
        if (isBlocked(sender))
            return DropReason::Blocked;
        if (envelope.ttl_ms() > MaxTtlMs)
            return DropReason::Malformed;
        // Without keys, incarnations are random and have no order. Each incarnation then counts as
        // a separate sender, so that none is dropped as older than another.
        const InstanceId filterSender = options.curveEnabled
            ? sender
            : InstanceId(sender.value() + '#' + std::to_string(envelope.incarnation()));
        const MessageHeader header{filterSender, Incarnation(envelope.incarnation()),
                                   envelope.sequence(), envelope.sent_monotonic_ns(),
                                   std::chrono::milliseconds(envelope.ttl_ms())};
        return (isReply ? replyFilter : nonReplyFilter).check(header, RuntimeClock::now());
    }

    static std::string userId(const zmq::message_t &frame)
    {
        const char *text = zmq_msg_gets(frame.handle(), "User-Id");
        return text ? text : "";
    }

    bool isBlocked(const InstanceId &peer) const
    {
        return blocked.contains(peer) || blockedByFile.contains(peer);
    }

    void drop(DropReason reason, const InstanceId &peer)
    {
        if (options.metrics)
            options.metrics
                ->counter("gentianramp_mesh_dropped_total", "Messages not handed on",
                          {{"reason", std::string(toString(reason))}})
                .add();
        if (reason == DropReason::ForgedSender || reason == DropReason::NotPermitted)
            logWarning("message_refused", {{"reason", toString(reason)}, {"peer", peer.value()}});
    }

    /// A peer whose messages are all dropped is silent for this process alone.
    void reportReceivedDrops(TimePoint now)
    {
        if (receivedDrops.empty() || now < nextDropReportAt)
            return;
        nextDropReportAt = now + DropReportInterval;
        for (const auto &[dropped, count] : receivedDrops)
            logWarning("messages_dropped",
                       {{"peer", dropped.first.value()},
                        {"reason", toString(dropped.second)},
                        {"count", count}});
        receivedDrops.clear();
    }

    void countRejectedHandshakes(std::uint64_t rejected)
    {
        if (rejected > 0 && options.metrics)
            options.metrics
                ->counter("gentianramp_mesh_strangers_total", "Handshakes under unknown keys")
                .add(rejected);
    }

    void countTraffic(const std::string &direction, std::size_t bytes)
    {
        if (!options.metrics)
            return;
        const MetricLabels labels{{"direction", direction}};
        options.metrics->counter("gentianramp_mesh_messages_total", "Messages", labels).add();
        options.metrics->counter("gentianramp_mesh_bytes_total", "Bytes of messages", labels)
            .add(bytes);
    }

    void recordSample(EventKind kind, const proto::Envelope &envelope, const InstanceId &peer)
    {
        if (!options.timeline || envelope.sequence() % TimelineSampleInterval != 1)
            return;
        const bool sent = kind == EventKind::MessageSent;
        options.timeline->record({.kind = kind,
                                  .monotonicNs = sent ? envelope.sent_monotonic_ns() : 0,
                                  .request = messageId(envelope),
                                  .peer = peer.value(),
                                  .detail = proto::PayloadKind_Name(envelope.kind())});
    }

    void wake() const
    {
        const std::uint64_t one = 1;
        [[maybe_unused]] const ssize_t written = write(wakeFd, &one, sizeof one);
    }

    void enqueue(OutgoingMessage message)
    {
        {
            const std::lock_guard lock(mutex);
            if (outgoing.size() >= MaxQueuedMessages)
                return drop(DropReason::QueueFull, message.to);
            outgoing.push_back(std::move(message));
        }
        wake();
    }

    void enqueueCommand(std::function<void()> command)
    {
        {
            const std::lock_guard lock(mutex);
            commands.push_back(std::move(command));
        }
        wake();
    }

    OutgoingMessage makeMessage(PayloadKind kind, std::string payload, Duration ttl) const
    {
        OutgoingMessage message;
        message.envelope.set_sender(options.instance.value());
        message.envelope.set_incarnation(options.incarnation.value());
        message.envelope.set_ttl_ms(static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(toMilliseconds(ttl), 0, MaxTtlMs + 1)));
        message.envelope.set_kind(static_cast<proto::PayloadKind>(kind));
        message.envelope.set_payload(std::move(payload));
        return message;
    }

    const MeshOptions options;
    const MessageHook onMessage;
    std::atomic<bool> stopping{false};

    // Used only on the mesh's thread.
    zmq::context_t context;
    PeerAuthenticator authenticator;
    zmq::socket_t router;
    std::unordered_map<InstanceId, MeshPeer> knownPeers;
    std::unordered_map<InstanceId, PeerConnection> dealers;
    MessageFilter nonReplyFilter;
    MessageFilter replyFilter;
    std::set<InstanceId> blocked;
    std::set<InstanceId> blockedByFile;
    TimePoint faultFileReadAt;
    std::map<std::pair<InstanceId, DropReason>, std::uint64_t> receivedDrops; ///< Not yet logged.
    TimePoint nextDropReportAt{};
    std::uint64_t lastSequence = 0;

    const KeyOwner unauthenticatedOwner; ///< Owner of every message when CURVE is off.

    const int wakeFd;
    std::mutex mutex;
    std::deque<OutgoingMessage> outgoing;
    std::deque<std::function<void()>> commands;
    std::thread thread;
};

Mesh::Mesh(MeshOptions options, MessageHook onMessage)
    : m_state(std::make_unique<State>(std::move(options), std::move(onMessage)))
{
    m_state->thread = std::thread([state = m_state.get()] {
        setThreadName("mesh");
        state->run();
    });
}

Mesh::~Mesh()
{
    m_state->stopping.store(true, std::memory_order_release);
    m_state->wake();
    m_state->thread.join();
}

void Mesh::send(const InstanceId &to, PayloadKind kind, std::string payload, Duration ttl)
{
    OutgoingMessage message = m_state->makeMessage(kind, std::move(payload), ttl);
    message.to = to;
    m_state->enqueue(std::move(message));
}

void Mesh::reply(const std::string &route, PayloadKind kind, std::string payload, Duration ttl)
{
    OutgoingMessage message = m_state->makeMessage(kind, std::move(payload), ttl);
    message.route = route;
    m_state->enqueue(std::move(message));
}

void Mesh::setPeers(std::vector<MeshPeer> peers, std::vector<std::string> operatorKeys)
{
    m_state->enqueueCommand([state = m_state.get(), peers = std::move(peers),
                             keys = std::move(operatorKeys)] { state->replacePeers(peers, keys); });
}

void Mesh::reconnect(const InstanceId &peer)
{
    m_state->enqueueCommand([state = m_state.get(), peer] { state->dealers.erase(peer); });
}

void Mesh::setBlocked(std::vector<InstanceId> peers)
{
    m_state->enqueueCommand([state = m_state.get(), peers = std::move(peers)] {
        state->blocked = std::set<InstanceId>(peers.begin(), peers.end());
    });
}

} // namespace gentianramp
