#include <condition_variable>
#include <deque>
#include <gentianramp/client/mesh_link.hpp>
#include <gentianramp/wire/mesh.hpp>
#include <mutex>

namespace gentianramp {

namespace {

constexpr std::size_t MostWaitingAnswers = 256;

/// Answers that arrived and were not taken yet.
class AnswerQueue
{
public:
    void add(ReceivedMessage message)
    {
        if (message.kind != PayloadKind::OperatorAnswer)
            return;
        const std::lock_guard lock(m_mutex);
        if (m_answers.size() < MostWaitingAnswers)
            m_answers.push_back(std::move(message.payload));
        m_arrived.notify_one();
    }

    std::optional<std::string> take(TimePoint deadline)
    {
        std::unique_lock lock(m_mutex);
        const Duration longest = std::max(Duration::zero(), deadline - RuntimeClock::now());
        if (!m_arrived.wait_for(lock, longest, [this] { return !m_answers.empty(); }))
            return std::nullopt;
        std::string answer = std::move(m_answers.front());
        m_answers.pop_front();
        return answer;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::deque<std::string> m_answers;
};

/// The mesh with the queue that it fills; the queue outlives the mesh's thread.
struct Connection
{
    Connection(MeshOptions options)
        : mesh(std::move(options),
               [this](ReceivedMessage message) { answers.add(std::move(message)); })
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
    link.receive = [connection](TimePoint deadline) { return connection->answers.take(deadline); };
    return link;
}

} // namespace gentianramp
