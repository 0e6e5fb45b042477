#include <gentianramp/control/membership_component.hpp>

#include <gentianramp/core/log.hpp>
#include <map>
#include <utility>

namespace gentianramp {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(250);
constexpr Duration LeavingTimeout = std::chrono::milliseconds(300); // For a last heartbeat.
constexpr MemberState AllStates[]
    = {MemberState::Unknown, MemberState::Alive, MemberState::Suspected, MemberState::Leaving};

MembershipOptions membershipOptions(const NodeSettings &settings)
{
    MembershipOptions options;
    options.self = settings.instance;
    options.dataCentre = settings.dataCentre;
    options.instances.push_back({settings.instance, settings.dataCentre});
    for (const PeerSettings &peer : settings.peers) {
        if (peer.kind == ProcessKind::Control && peer.instance != settings.instance)
            options.instances.push_back({peer.instance, peer.dataCentre});
    }
    options.relayCandidates = options.instances;
    return options;
}

} // namespace

struct MembershipComponent::State
{
    explicit State(ControlNode &controlNode)
        : node(controlNode)
        , service(
              membershipOptions(node.settings()),
              [this](const InstanceId &to, std::string payload) {
                  node.send(to, PayloadKind::Heartbeat, std::move(payload), MembershipMessageTtl);
              },
              RuntimeClock::now())
    { }

    void tick(TimePoint now)
    {
        service.tick(now);
        std::map<MemberState, int> counts;
        for (const MemberView &member : service.members(now)) {
            ++counts[member.state];
            recordReachability(member);
        }
        for (const MemberState state : AllStates) {
            node.metrics()
                .gauge("gentianramp_control_members", "Control processes by state",
                       {{"state", std::string(toString(state))}})
                .set(counts[state]);
        }
    }

    /// Records when a process becomes unreachable or reachable again.
    void recordReachability(const MemberView &member)
    {
        const bool reachable
            = member.state == MemberState::Alive || member.state == MemberState::Leaving;
        const auto [known, added] = wasReachable.try_emplace(member.placed.instance, false);
        if (known->second == reachable)
            return;
        known->second = reachable;
        node.timeline().record(
            {.kind = reachable ? EventKind::PeerReachable : EventKind::PeerUnreachable,
             .peer = member.placed.instance.value(),
             .detail = std::string(toString(member.state))});
        logInfo("member",
                {{"instance", member.placed.instance.value()},
                 {"state", std::string(toString(member.state))}});
    }

    ControlNode &node;
    MembershipService service;
    std::map<InstanceId, bool> wasReachable;
};

MembershipComponent::MembershipComponent(ControlNode &node)
    : m_state(std::make_unique<State>(node))
{
    State &state = *m_state;
    node.handleMessages(PayloadKind::Heartbeat, [&state](const ReceivedMessage &message) {
        state.service.onMessage(message.sender, message.incarnation, message.payload,
                                RuntimeClock::now());
    });
    node.every(TickInterval, [&state](TimePoint now) { state.tick(now); });
    node.onShutdown(LeavingTimeout, [&state](const std::function<void()> &done) {
        state.service.setLeaving();
        state.tick(RuntimeClock::now());
        done();
    });
}

MembershipComponent::~MembershipComponent() = default;

} // namespace gentianramp
