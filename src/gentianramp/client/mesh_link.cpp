#include <condition_variable>
#include <deque>
#include <gentianramp/client/mesh_link.hpp>
#include <gentianramp/wire/mesh.hpp>
#include <mutex>

namespace gentianramp {

namespace {

constexpr std::size_t MaxQueuedAnswers = 256;

/// Bounded queue between the mesh's thread, which adds answers, and the caller. Drops answers that
/// arrive while it is full.
class AnswerQueue
{
public:
    void push(ReceivedMessage message)
    {
        if (message.kind != PayloadKind::OperatorAnswer)
            return;
        const std::lock_guard lock(m_mutex);
        if (m_answers.size() < MaxQueuedAnswers)
            m_answers.push_back(std::move(message.payload));
        m_answerArrived.notify_one();
    }

    std::optional<std::string> pop(TimePoint deadline)
    {
        std::unique_lock lock(m_mutex);
        const Duration remaining = std::max(Duration::zero(), deadline - RuntimeClock::now());
        if (!m_answerArrived.wait_for(lock, remaining, [this] { return !m_answers.empty(); }))
            return std::nullopt;
        std::string answer = std::move(m_answers.front());
        m_answers.pop_front();
        return answer;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_answerArrived;
    std::deque<std::string> m_answers;
};

/// The mesh and the queue of received answers. The queue is declared first so that it outlives the
/// mesh's thread, which writes to it.
struct Connection
{
    Connection(MeshOptions options)
        : mesh(std::move(options),
               [this](ReceivedMessage message) { answers.push(std::move(message)); })
    { }

    AnswerQueue answers;
    Mesh mesh;
};

MeshOptions meshOptions(const OperatorSettings &settings, const KeyPairFile &keys)
{
    MeshOptions options;
    options.instance = InstanceId(settings.name);
    options.incarnation = Incarnation(static_cast<std::uint64_t>(wallClockMs()));
    options.keys = {keys.publicKey, keys.secretKey};
    for (const PeerSettings &control : settings.controls)
        options.peers.push_back(
            {control.instance, control.endpoint, control.publicKey, control.furtherKeys});
    return options;
}

} // namespace

OperatorLink makeMeshLink(const OperatorSettings &settings, const KeyPairFile &keys)
{
    const auto connection = std::make_shared<Connection>(meshOptions(settings, keys));
    OperatorLink link;
    link.send = [connection](const InstanceId &to, std::string bytes, Duration ttl) {
        connection->mesh.send(to, PayloadKind::Operator, std::move(bytes), ttl);
    };
    link.receive = [connection](TimePoint deadline) { return connection->answers.pop(deadline); };
    return link;
}

} // namespace gentianramp
