#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <gentianramp/wire/mesh.hpp>
#include <mutex>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <netinet/in.h>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

constexpr Duration Ttl = 5s;
constexpr auto ReceiveTimeout = 20s;

std::string freeEndpoint()
{
    const int handle = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    cr_assert_eq(bind(handle, reinterpret_cast<sockaddr *>(&address), size), 0);
    getsockname(handle, reinterpret_cast<sockaddr *>(&address), &size);
    close(handle);
    return "tcp://127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

/// Collects the messages that a mesh receives.
class Inbox
{
public:
    MessageHook hook()
    {
        return [this](ReceivedMessage message) {
            const std::lock_guard lock(m_mutex);
            m_messages.push_back(std::move(message));
            m_changed.notify_all();
        };
    }

    bool waitFor(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, ReceiveTimeout, [&] { return m_messages.size() >= count; });
    }

    bool waitForPayload(const std::string &payload)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, ReceiveTimeout, [&] {
            return std::any_of(m_messages.begin(), m_messages.end(),
                               [&](const auto &each) { return each.payload == payload; });
        });
    }

    ReceivedMessage message(std::size_t index)
    {
        const std::lock_guard lock(m_mutex);
        return m_messages.at(index);
    }

    std::size_t size()
    {
        const std::lock_guard lock(m_mutex);
        return m_messages.size();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<ReceivedMessage> m_messages;
};

struct Node
{
    std::string name;
    std::string endpoint = freeEndpoint();
    CurveKeyPair keys = makeCurveKeyPair();
    Inbox inbox;
    MetricsRegistry metrics;

    MeshPeer peer() const { return {InstanceId(name), endpoint, keys.publicKey}; }

    MeshOptions options(std::vector<MeshPeer> peers)
    {
        return {.instance = InstanceId(name),
                .incarnation = Incarnation(1),
                .endpoint = endpoint,
                .keys = keys,
                .peers = std::move(peers),
                .metrics = &metrics};
    }
};

/// Sends repeatedly until @p inbox holds @p count messages, since messages are dropped while the
/// connection is being made.
bool sendUntilReceived(Mesh &from, const InstanceId &to, Inbox &inbox, std::size_t count)
{
    for (int round = 0; round < 200 && inbox.size() < count; ++round) {
        from.send(to, PayloadKind::Notice, "hello", Ttl);
        std::this_thread::yield();
        usleep(20000);
    }
    return inbox.size() >= count;
}

/// Lets @p signal interrupt the blocking calls of all threads but the calling one.
void interruptOtherThreads(int signal)
{
    struct sigaction action = {};
    action.sa_handler = [](int) {};
    sigaction(signal, &action, nullptr);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, signal);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

bool hasMetric(const MetricsRegistry &metrics, const std::string &line)
{
    return metrics.prometheusText().find(line) != std::string::npos;
}

bool metricReached(const MetricsRegistry &metrics, const std::string &line)
{
    for (int round = 0; round < 500; ++round) {
        if (hasMetric(metrics, line))
            return true;
        usleep(10000);
    }
    return false;
}

} // namespace

Test(Mesh, DeliversMessagesAndRepliesBetweenKnownPeers)
{
    Node a{"a"};
    Node b{"b"};
    Mesh meshA(a.options({b.peer()}), a.inbox.hook());
    Mesh meshB(b.options({a.peer()}), b.inbox.hook());
    cr_assert(sendUntilReceived(meshA, InstanceId("b"), b.inbox, 1));
    const ReceivedMessage received = b.inbox.message(0);
    cr_assert(received.sender == InstanceId("a"));
    cr_assert(received.payload == "hello");
    meshB.reply(received.replyRoute, PayloadKind::Notice, "answer", Ttl);
    cr_assert(a.inbox.waitFor(1));
    cr_assert(a.inbox.message(0).payload == "answer");
}

// A message was acted on for as long as its sender said, up to 49 days.
Test(Mesh, DropsMessagesThatClaimToLastForDays)
{
    Node a{"a"};
    Node b{"b"};
    Mesh meshA(a.options({b.peer()}), a.inbox.hook());
    Mesh meshB(b.options({a.peer()}), b.inbox.hook());
    cr_assert(sendUntilReceived(meshA, InstanceId("b"), b.inbox, 1));
    meshA.send(InstanceId("b"), PayloadKind::Notice, "lasting", std::chrono::hours(24));
    meshA.send(InstanceId("b"), PayloadKind::Notice, "last", Ttl);
    cr_assert(b.inbox.waitForPayload("last"));
    for (std::size_t i = 0; i < b.inbox.size(); ++i)
        cr_expect_neq(b.inbox.message(i).payload, "lasting");
}

Test(Mesh, RejectsPeersWithUnknownKeys)
{
    Node a{"a"};
    Node unknownNode{"a"};
    Node b{"b"};
    Mesh meshB(b.options({a.peer()}), b.inbox.hook());
    Mesh meshUnknown(unknownNode.options({b.peer()}), unknownNode.inbox.hook());
    for (int round = 0; round < 5; ++round)
        meshUnknown.send(InstanceId("b"), PayloadKind::Notice, "x", Ttl);
    cr_assert(metricReached(b.metrics, "gentianramp_mesh_strangers_total"));
    cr_assert_eq(b.inbox.size(), 0U);
}

Test(Mesh, AcceptsOnlyOperatorRequestsFromOperators)
{
    Node b{"b"};
    Node operatorNode{"operator-1"};
    operatorNode.endpoint.clear();
    MeshOptions options = b.options({});
    options.operatorKeys = {operatorNode.keys.publicKey};
    Mesh meshB(std::move(options), b.inbox.hook());
    Mesh meshOperator(operatorNode.options({b.peer()}), operatorNode.inbox.hook());
    for (int round = 0; round < 500 && !hasMetric(b.metrics, "not_permitted"); ++round) {
        meshOperator.send(InstanceId("b"), PayloadKind::Notice, "notice", Ttl);
        usleep(10000);
    }
    cr_assert_eq(b.inbox.size(), 0U);
    meshOperator.send(InstanceId("b"), PayloadKind::Operator, "status", Ttl);
    cr_assert(b.inbox.waitFor(1));
    cr_assert(b.inbox.message(0).kind == PayloadKind::Operator);
}

Test(Mesh, DropsMessagesToAnUnconnectedPeer)
{
    Node a{"a"};
    Node b{"b"};
    Mesh meshA(a.options({b.peer()}), a.inbox.hook());
    for (int round = 0; round < 100; ++round)
        meshA.send(InstanceId("b"), PayloadKind::Notice, "stale", Ttl);
    cr_assert(metricReached(a.metrics, "reason=\"not_connected\"} 100"));
    Mesh meshB(b.options({a.peer()}), b.inbox.hook());
    cr_assert(sendUntilReceived(meshA, InstanceId("b"), b.inbox, 1));
    cr_assert(b.inbox.message(0).payload == "hello");
}

Test(Mesh, DropsMessagesOfBlockedPeers)
{
    Node a{"a"};
    Node b{"b"};
    Mesh meshA(a.options({b.peer()}), a.inbox.hook());
    Mesh meshB(b.options({a.peer()}), b.inbox.hook());
    cr_assert(sendUntilReceived(meshA, InstanceId("b"), b.inbox, 1));
    meshB.setBlocked({InstanceId("a")});
    for (int round = 0; round < 500 && !hasMetric(b.metrics, "reason=\"blocked\""); ++round) {
        meshA.send(InstanceId("b"), PayloadKind::Notice, "hello", Ttl);
        usleep(10000);
    }
    const std::size_t before = b.inbox.size();
    meshA.send(InstanceId("b"), PayloadKind::Notice, "blocked", Ttl);
    cr_assert(metricReached(b.metrics, "reason=\"blocked\"} 2"));
    cr_assert_eq(b.inbox.size(), before);
    meshB.setBlocked({});
    cr_assert(sendUntilReceived(meshA, InstanceId("b"), b.inbox, before + 1));
}

Test(Mesh, AcceptsBothKeysOfAPeerUntilOneIsRemoved)
{
    Node a{"a"};
    Node b{"b"};
    const CurveKeyPair oldKeys = a.keys;
    const CurveKeyPair newKeys = makeCurveKeyPair();
    MeshPeer peerWithBothKeys = a.peer();
    peerWithBothKeys.publicKey = newKeys.publicKey;
    peerWithBothKeys.olderKeys = {oldKeys.publicKey};
    Mesh meshB(b.options({a.peer()}), b.inbox.hook());
    auto meshA = std::make_unique<Mesh>(a.options({b.peer()}), a.inbox.hook());
    cr_assert(sendUntilReceived(*meshA, InstanceId("b"), b.inbox, 1));
    cr_assert(sendUntilReceived(meshB, InstanceId("a"), a.inbox, 1));

    meshB.setPeers({peerWithBothKeys}, {});
    meshB.send(InstanceId("a"), PayloadKind::Notice, "on the old connection", Ttl);
    cr_assert(a.inbox.waitForPayload("on the old connection"));
    cr_assert(sendUntilReceived(*meshA, InstanceId("b"), b.inbox, b.inbox.size() + 1));

    meshA.reset();
    a.keys = newKeys;
    MeshOptions newOptions = a.options({b.peer()});
    newOptions.incarnation = Incarnation(2);
    meshA = std::make_unique<Mesh>(std::move(newOptions), a.inbox.hook());
    cr_assert(sendUntilReceived(*meshA, InstanceId("b"), b.inbox, b.inbox.size() + 1));
    cr_assert(sendUntilReceived(meshB, InstanceId("a"), a.inbox, a.inbox.size() + 1));

    peerWithBothKeys.olderKeys.clear();
    meshB.setPeers({peerWithBothKeys}, {});
    cr_assert(sendUntilReceived(meshB, InstanceId("a"), a.inbox, a.inbox.size() + 1));
    Node formerNode{"a"};
    formerNode.keys = oldKeys;
    Mesh meshFormer(formerNode.options({b.peer()}), formerNode.inbox.hook());
    const std::size_t received = b.inbox.size();
    meshFormer.send(InstanceId("b"), PayloadKind::Notice, "under a removed key", Ttl);
    cr_assert(metricReached(b.metrics, "gentianramp_mesh_strangers_total"));
    cr_assert_eq(b.inbox.size(), received);
}

Test(Mesh, TriesKeysUntilTheCurrentKeyOfAPeerIsFound)
{
    Node a{"a"};
    Node b{"b"};
    MeshPeer rotated = a.peer();
    rotated.olderKeys = {rotated.publicKey};
    rotated.publicKey = makeCurveKeyPair().publicKey;
    Mesh meshA(a.options({b.peer()}), a.inbox.hook());
    Mesh meshB(b.options({rotated}), b.inbox.hook());
    cr_assert(sendUntilReceived(meshB, InstanceId("a"), a.inbox, 1));
}

Test(Mesh, DropsMessagesUnderARemovedKeyOnOpenConnections)
{
    Node a{"a"};
    Node b{"b"};
    Mesh meshA(a.options({b.peer()}), a.inbox.hook());
    Mesh meshB(b.options({a.peer()}), b.inbox.hook());
    cr_assert(sendUntilReceived(meshA, InstanceId("b"), b.inbox, 1));
    MeshPeer changed = a.peer();
    changed.publicKey = makeCurveKeyPair().publicKey;
    meshB.setPeers({changed}, {});
    for (int round = 0; round < 500 && !hasMetric(b.metrics, "not_permitted"); ++round) {
        meshA.send(InstanceId("b"), PayloadKind::Notice, "hello", Ttl);
        usleep(10000);
    }
    cr_assert(hasMetric(b.metrics, "not_permitted"));
}

// Guards against a process that ends at once, without draining, because a signal interrupted the
// thread of its mesh.
Test(Mesh, SignalsDoNotEndTheProcess)
{
    Node a{"a"};
    Node b{"b"};
    Mesh meshA(a.options({b.peer()}), a.inbox.hook());
    Mesh meshB(b.options({a.peer()}), b.inbox.hook());
    interruptOtherThreads(SIGUSR1);
    for (int round = 0; round < 500; ++round) {
        meshA.send(InstanceId("b"), PayloadKind::Notice, "interrupted", Ttl);
        kill(getpid(), SIGUSR1);
        usleep(1000);
    }
    cr_assert(sendUntilReceived(meshA, InstanceId("b"), b.inbox, b.inbox.size() + 1));
    cr_assert_not(hasMetric(b.metrics, "reason=\"malformed\""));
}

// Guards against a process that ends at once because a message names a sender or receiver whose
// address no connection can be made to.
Test(Mesh, AnAddressWithoutAConnectionDropsTheMessage)
{
    Node a{"a"};
    MeshOptions options = a.options({});
    options.curveEnabled = false;
    Mesh mesh(std::move(options), a.inbox.hook());
    mesh.send(InstanceId("no address"), PayloadKind::Notice, "hello", Ttl);
    cr_assert(metricReached(a.metrics, "reason=\"not_connected\"} 1"));
    const InstanceId self(a.endpoint.substr(std::string("tcp://").size()));
    cr_assert(sendUntilReceived(mesh, self, a.inbox, 1));
}

// Guards against a process that ends at once because the receiver of a message throws.
Test(Mesh, AThrowingHookLosesItsMessageOnly)
{
    Node a{"a"};
    Node b{"b"};
    std::atomic<bool> throws{true};
    Mesh meshA(a.options({b.peer()}), a.inbox.hook());
    Mesh meshB(b.options({a.peer()}), [&, take = b.inbox.hook()](ReceivedMessage message) {
        if (throws.exchange(false))
            throw std::runtime_error("unreadable");
        take(std::move(message));
    });
    cr_assert(sendUntilReceived(meshA, InstanceId("b"), b.inbox, 1));
    cr_assert_not(throws);
    cr_assert(hasMetric(b.metrics, "reason=\"failed\"} 1"));
}
