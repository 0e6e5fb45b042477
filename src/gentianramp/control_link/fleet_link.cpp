#include <gentianramp/control_link/fleet_link.hpp>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/fleet/fleet_table.hpp>
#include <gentianramp/planner/demand_summary.hpp>
#include <mutex>
#include <utility>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

constexpr Duration DemandInterval = std::chrono::seconds(1);
constexpr Duration HolderSilence = std::chrono::seconds(5);

/// The holder may be cut off from backend servers that this instance reaches: whether one can be
/// reached is for the instance's own circuit breakers to find out.
FleetView asSeenFromHere(FleetView view)
{
    for (BackendView &backend : view.backends) {
        if (backend.phase == BackendPhase::Unreachable)
            backend.phase = BackendPhase::Serving;
    }
    return view;
}

} // namespace

struct FleetLink::State : std::enable_shared_from_this<FleetLink::State>
{
    State(EntryService &givenService, const DataCentreId &site)
        : service(givenService)
        , receiver(site)
    { }

    void onMessage(const ReceivedMessage &message)
    {
        const std::lock_guard lock(mutex);
        const TimePoint now = RuntimeClock::now();
        const FleetReceiver::Outcome outcome = receiver.onMessage(message.payload, now);
        if (receiver.confirmedAt() == now)
            holder = message.sender;
        if (outcome.view)
            service.publishFleet(asSeenFromHere(*outcome.view));
        if (!outcome.request.empty())
            service.send(message.sender, PayloadKind::Fleet, outcome.request, FleetMessageTtl);
    }

    asio::awaitable<void> reportDemand()
    {
        const auto self = shared_from_this();
        while (!stopped) {
            co_await sleepFor(DemandInterval);
            if (!stopped)
                sendDemand();
        }
    }

    void sendDemand()
    {
        const std::lock_guard lock(mutex);
        const bool known = RuntimeClock::now() - receiver.confirmedAt() < HolderSilence;
        if (known && !holder.value().empty()) {
            service.send(holder, PayloadKind::Demand, encodeDemand(service.takeDemand()),
                         FleetMessageTtl);
        }
    }

    EntryService &service;
    std::mutex mutex;
    FleetReceiver receiver;
    InstanceId holder;
    std::atomic<bool> stopped = false;
};

FleetLink::FleetLink(EntryService &service, const NodeSettings &settings,
                     const asio::any_io_executor &executor)
    : m_state(std::make_shared<State>(service, settings.dataCentre))
{
    service.setMessageHook(PayloadKind::Fleet, [state = m_state](const ReceivedMessage &message) {
        state->onMessage(message);
    });
    asio::co_spawn(executor, m_state->reportDemand(), asio::detached);
}

FleetLink::~FleetLink()
{
    m_state->stopped = true;
}

} // namespace gentianramp
