#include "operator_link.hpp"

namespace gentianramp {

namespace {

constexpr Duration ResendInterval = std::chrono::milliseconds(200);
constexpr Duration RequestTtl = std::chrono::seconds(2);

} // namespace

OperatorLink::OperatorLink(const OperatorSettings &settings, CurveKeyPair keys)
    : m_prefix(settings.name + "-" + std::to_string(wallClockMs()) + "-")
{
    MeshOptions options;
    options.instance = InstanceId(settings.name);
    options.incarnation = Incarnation(static_cast<std::uint64_t>(wallClockMs()));
    options.keys = std::move(keys);
    for (const PeerSettings &control : settings.controls) {
        m_controls.push_back(control.instance);
        options.peers.push_back(
            {control.instance, control.endpoint, control.publicKey, control.furtherKeys});
    }
    m_mesh = std::make_unique<Mesh>(std::move(options),
                                    [this](const ReceivedMessage &message) { onMessage(message); });
}

std::optional<proto::OperatorAnswer>
OperatorLink::call(std::size_t control, proto::OperatorRequest request, Duration timeout)
{
    std::unique_lock lock(m_mutex);
    const std::string id = m_prefix + std::to_string(m_next++);
    request.set_request_id(id);
    m_waiting[id] = std::nullopt;
    const std::string bytes = request.SerializeAsString();
    const TimePoint deadline = RuntimeClock::now() + timeout;
    while (!m_waiting[id] && RuntimeClock::now() < deadline) {
        m_mesh->send(m_controls[control], PayloadKind::Operator, bytes, RequestTtl);
        m_arrived.wait_for(lock, ResendInterval, [&] { return m_waiting[id].has_value(); });
    }
    return m_waiting.extract(id).mapped();
}

void OperatorLink::onMessage(const ReceivedMessage &message)
{
    proto::OperatorAnswer answer;
    if (message.kind != PayloadKind::OperatorAnswer || !answer.ParseFromString(message.payload))
        return;
    const std::lock_guard lock(m_mutex);
    const auto waiting = m_waiting.find(answer.request_id());
    if (waiting == m_waiting.end())
        return;
    waiting->second = std::move(answer);
    m_arrived.notify_all();
}

} // namespace gentianramp
