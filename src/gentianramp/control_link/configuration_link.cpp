#include <gentianramp/control_link/configuration_link.hpp>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gentianramp/config/configuration_codec.hpp>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/log.hpp>
#include <gentianramp/ledger/configuration_distribution.hpp>
#include <mutex>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(200);
constexpr Duration MessageTtl = std::chrono::seconds(5);

DistributionOptions spreadOptions(const NodeSettings &settings)
{
    DistributionOptions options;
    options.self = settings.instance;
    options.members.push_back({settings.instance, settings.dataCentre, false, false});
    for (const PeerSettings &peer : settings.peers) {
        if (peer.instance != settings.instance)
            options.members.push_back(
                {peer.instance, peer.dataCentre, peer.kind == ProcessKind::Control, peer.voter});
    }
    return options;
}

} // namespace

struct ConfigurationLink::State : std::enable_shared_from_this<ConfigurationLink::State>
{
    State(EntryService &givenService, const NodeSettings &settings)
        : service(givenService)
        , spread(spreadOptions(settings), RuntimeClock::now())
        , malformed(service.metrics().counter("gentianramp_malformed_configurations_total",
                                              "Accepted configurations that could not be read"))
        , confirmedAge(service.metrics().gauge(
              "gentianramp_configuration_confirmed_age_seconds",
              "Time since the leader of the ledger last confirmed the revision; -1: never"))
    { }

    void onMessage(const ReceivedMessage &message)
    {
        const std::lock_guard lock(mutex);
        perform(spread.onMessage(message.sender, message.payload, RuntimeClock::now()));
    }

    asio::awaitable<void> run()
    {
        const auto self = shared_from_this();
        while (!stopped) {
            tick();
            co_await sleepFor(TickInterval);
        }
    }

    void tick()
    {
        const std::lock_guard lock(mutex);
        const TimePoint now = RuntimeClock::now();
        perform(spread.tick(now));
        const auto age = spread.age(now);
        confirmedAge.set(age ? std::chrono::duration<double>(*age).count() : -1);
    }

    void perform(const DistributionOutput &output)
    {
        for (const DistributionMessage &message : output.messages)
            service.send(message.to, PayloadKind::Configuration, message.payload, MessageTtl);
        if (output.accepted)
            putInForce(*output.accepted);
    }

    void putInForce(const AcceptedConfiguration &accepted)
    {
        Result<DeclaredConfiguration> decoded = decodeConfiguration(accepted.bytes);
        if (decoded) {
            service.applyConfiguration(std::move(decoded).value(), accepted.revision);
            return;
        }
        malformed.add();
        logError("malformed_configuration",
                 {{"revision", accepted.revision.value()}, {"error", decoded.message()}});
    }

    EntryService &service;
    std::mutex mutex;
    ConfigurationDistribution spread;
    Counter &malformed;
    Gauge &confirmedAge;
    std::atomic<bool> stopped = false;
};

ConfigurationLink::ConfigurationLink(EntryService &service, const NodeSettings &settings,
                                     const asio::any_io_executor &executor)
    : m_state(std::make_shared<State>(service, settings))
{
    service.setMessageHook(
        PayloadKind::Configuration,
        [state = m_state](const ReceivedMessage &message) { state->onMessage(message); });
    asio::co_spawn(executor, m_state->run(), asio::detached);
}

ConfigurationLink::~ConfigurationLink()
{
    m_state->stopped = true;
}

} // namespace gentianramp
