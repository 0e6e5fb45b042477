#pragma once

#include <cstdint>
#include <deque>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/declaration/declaration.hpp>
#include <gentianramp/planner/fleet_size.hpp>
#include <gentianramp/registry/backend_listing.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianramp {

/// Order of a number of servers of a kind.
struct ServerOrder
{
    std::string service;
    DataCentreId dataCentre;
    bool spot = false;
    std::uint32_t servers = 0;
    auto operator<=>(const ServerOrder &) const = default;
};

/// Options of a FleetSizer.
struct FleetSizerOptions
{
    /// The demand that a size serves is the largest mean of this length, within this time.
    Duration meanTime = std::chrono::seconds(2);
    Duration peakTime = std::chrono::seconds(20);
    /// Streams that an engine decodes at most, as a share of its slots: with more, events of the
    /// streams are far apart.
    double decodeUtilization = 0.5;
    /// Share of the servers that are on demand: these are left when all others are reclaimed.
    double onDemandShare = 0.17;
    /// Nothing is known of the demand before this time of observation.
    Duration observationTime = std::chrono::seconds(3);
    /// A size is reduced after it was too large for this time, by this share at a time.
    Duration shrinkDelay = std::chrono::seconds(15);
    double shrinkStep = 0.1;
    /// Before traffic no server is released before the list has stopped growing for this time.
    Duration listSettlingTime = std::chrono::seconds(3);
    /// Time until the list shows that servers were released.
    Duration releaseTime = std::chrono::seconds(3);
    /// An order that could not be carried out is repeated after this time.
    Duration unavailableDelay = std::chrono::seconds(2);
    /// A data centre where no servers on demand could be had does not stand in for others for this
    /// time.
    Duration substituteDelay = std::chrono::seconds(10);
};

/// Demand for a service's engines, in engines that are busy, or engines that this requires.
struct EngineDemand
{
    double prefill = 0; ///< Engines that read prompts.
    double decode = 0;  ///< Engines that decode; busy ones have all slots taken.
    double total() const { return prefill + decode; }
    bool operator==(const EngineDemand &) const = default;
};

/// Decides how many servers of each kind a service has in each data centre: the cheapest size that
/// serves the recent peak of demand through the loss of a data centre. Grows at once and shrinks
/// slowly. Performs no I/O. All registry processes observe; only the leader orders.
class FleetSizer
{
public:
    explicit FleetSizer(FleetSizerOptions options = {});

    /// Notes how busy the engines are.
    void observe(const BackendListing &listing, const LoadReports &loads, TimePoint now);
    /// Forgets what a former leader, or this process as an earlier one, ordered: what is listed
    /// counts as ordered.
    void takeOver() { m_orders.clear(); }
    /// Orders to send now. They count as sent.
    std::vector<ServerOrder> decide(const Declaration &declaration, const BackendListing &listing,
                                    TimePoint now);
    /// The platform has taken the order.
    void noteAccepted(const ServerOrder &order);
    /// None of the ordered servers can be had now.
    void noteUnavailable(const ServerOrder &order, TimePoint now);

    /// Engines that callers need, by the demand that was observed; empty: not known.
    std::optional<EngineDemand> requiredEngines(const std::string &service, TimePoint now) const;
    /// There was no traffic yet, and some of the servers on demand of this scaled service are, or
    /// may be, about to leave: none of them should be given another stage.
    bool isReleasing(const std::string &service, const BackendListing &listing,
                     TimePoint now) const;
    /// The size that the last decision aimed at, for display.
    const FleetSize &target(const std::string &service) const;

private:
    struct Sample
    {
        TimePoint at{};
        EngineDemand demand;
    };
    struct Demand
    {
        TimePoint since{};
        bool everBusy = false;
        EngineDemand mean;
        TimePoint meanAt{};
        std::deque<Sample> samples;
    };
    struct Ordered
    {
        std::uint32_t servers = 0;
        TimePoint sentAt{};
        TimePoint notBefore{};
        TimePoint unavailableAt{};
    };
    struct ServiceOrders
    {
        std::map<std::pair<DataCentreId, bool>, Ordered> bySite; ///< True: spot servers.
        std::map<DataCentreId, std::uint32_t> acceptedSpot; ///< Spot servers that were promised.
        std::optional<TimePoint> tooLargeSince;
        FleetSize initial;   ///< As listed before traffic, or when the sizer took over.
        TimePoint grownAt{}; ///< When the servers of the initial size were last seen to grow.
        FleetSize target;
    };

    /// Engines of the service were seen to be busy.
    bool hasTraffic(const std::string &service) const;
    FleetSize targetOf(const DeclaredService &service, const ServiceOrders &orders,
                       const std::vector<ServerSite> &sites, TimePoint now) const;
    void noteStarted(const std::string &service, ServiceOrders &orders, const FleetSize &present,
                     TimePoint now) const;
    FleetSize shrunkSlowly(ServiceOrders &orders, FleetSize target, const FleetSize &former,
                           TimePoint now) const;
    std::uint32_t onDemandToKeep(const std::string &service, const ServiceOrders &orders,
                                 const DataCentreId &site, std::uint32_t presentSpot,
                                 TimePoint now) const;
    void order(const std::string &service, const DataCentreId &site, bool spot,
               std::uint32_t servers, std::uint32_t present, const DeclaredService &declared,
               TimePoint now, std::vector<ServerOrder> &result);

    FleetSizerOptions m_options;
    std::map<std::string, Demand> m_demand;
    std::map<std::string, ServiceOrders> m_orders;
};

} // namespace gentianramp
