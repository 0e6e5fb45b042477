#include <gentianramp/control/authority_component.hpp>

#include "authority_answers.hpp"
#include "authority_controller.hpp"
#include "fleet_tables.hpp"

#include <gentianramp/config/configuration_codec.hpp>
#include <gentianramp/core/log.hpp>
#include <set>
#include <utility>

namespace gentianramp {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(20);
constexpr Duration ReleaseTimeout = std::chrono::seconds(2);

std::vector<DataCentreId> knownSites(const NodeSettings &settings)
{
    std::set<DataCentreId> sites{settings.dataCentre};
    for (const PeerSettings &peer : settings.peers)
        sites.insert(peer.dataCentre);
    return {sites.begin(), sites.end()};
}

AuthorityOptions authorityOptions(ControlNode &node, Incarnation incarnation, std::uint64_t seed,
                                  std::function<RolePolicy()> makeRolePolicy)
{
    AuthorityOptions options;
    options.settings = node.settings();
    options.incarnation = incarnation;
    options.seed = seed;
    options.executor = node.executor();
    options.send = [&node](const InstanceId &to, PayloadKind kind, std::string payload,
                           Duration ttl) { node.send(to, kind, std::move(payload), ttl); };
    options.makeRolePolicy = std::move(makeRolePolicy);
    options.metrics = &node.metrics();
    options.timeline = &node.timeline();
    return options;
}

} // namespace

struct AuthorityComponent::State
{
    State(ControlNode &controlNode, AuthorityOptions options)
        : node(controlNode)
        , fleetTables(knownSites(options.settings))
        , controller(withLocalDelivery(std::move(options)))
    { }

    /// Wraps AuthorityOptions::send: a fleet table sent to this process itself is stored directly.
    AuthorityOptions withLocalDelivery(AuthorityOptions options)
    {
        const InstanceId self = options.settings.instance;
        options.send = [this, self, others = options.send](const InstanceId &to, PayloadKind kind,
                                                           std::string payload, Duration ttl) {
            if (to == self)
                fleetTables.onMessage(self, payload, RuntimeClock::now());
            else
                others(to, kind, std::move(payload), ttl);
        };
        return options;
    }

    void onFleet(const ReceivedMessage &message)
    {
        controller.onMessage(message);
        std::string request
            = fleetTables.onMessage(message.sender, message.payload, RuntimeClock::now());
        if (!request.empty())
            node.send(message.sender, PayloadKind::Fleet, std::move(request), FleetMessageTtl);
    }

    void onConfiguration(const AcceptedConfiguration &accepted)
    {
        Result<DeclaredConfiguration> decoded = decodeConfiguration(accepted.bytes);
        if (!decoded) {
            logError("configuration_unreadable", {{"revision", accepted.revision.value()}});
            return;
        }
        configuration = std::move(decoded).value();
        controller.onConfiguration(configuration);
    }

    ControlNode &node;
    DeclaredConfiguration configuration;
    FleetTables fleetTables;
    AuthorityController controller;
};

AuthorityComponent::AuthorityComponent(ControlNode &node, Incarnation incarnation,
                                       std::uint64_t seed,
                                       std::function<RolePolicy()> makeRolePolicy)
    : m_state(std::make_unique<State>(
        node, authorityOptions(node, incarnation, seed, std::move(makeRolePolicy))))
{
    State &state = *m_state;
    for (const PayloadKind kind : {PayloadKind::Lease, PayloadKind::Demand}) {
        node.handleMessages(kind, [&state](const ReceivedMessage &message) {
            state.controller.onMessage(message);
        });
    }
    node.handleMessages(PayloadKind::Fleet,
                        [&state](const ReceivedMessage &message) { state.onFleet(message); });
    node.onConfiguration(
        [&state](const AcceptedConfiguration &accepted) { state.onConfiguration(accepted); });
    node.every(TickInterval, [&state](TimePoint now) { state.controller.tick(now); });
    node.onShutdown(ReleaseTimeout, [&state](std::function<void()> done) {
        state.controller.release(std::move(done));
    });
    node.answerLocally(proto::OperatorRequest::kEngines,
                       [&state](const proto::OperatorRequest &request, const auto &done) {
                           done(enginesAnswer(state.fleetTables, state.configuration,
                                              request.engines().data_centre(),
                                              RuntimeClock::now()));
                       });
    node.answerLocally(proto::OperatorRequest::kRoles,
                       [&state](const proto::OperatorRequest &, const auto &done) {
                           done(rolesAnswer(state.fleetTables, RuntimeClock::now()));
                       });
}

AuthorityComponent::~AuthorityComponent() = default;

} // namespace gentianramp
