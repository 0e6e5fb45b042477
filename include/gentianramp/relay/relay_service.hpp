#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <gentianramp/core/metrics.hpp>
#include <gentianramp/declaration/route_table.hpp>
#include <gentianramp/http/client.hpp>
#include <gentianramp/http/server.hpp>
#include <gentianramp/registry/backend_listing.hpp>
#include <gentianramp/registry/crash_evidence.hpp>
#include <gentianramp/registry/declaration_ledger.hpp>
#include <gentianramp/registry/engine_speeds.hpp>
#include <gentianramp/registry/limit_granter.hpp>
#include <gentianramp/registry/listed_versions.hpp>
#include <gentianramp/registry/stage_delays.hpp>
#include <gentianramp/relay/backend_protocol.hpp>
#include <gentianramp/relay/retry_allowance.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// An instance that may take requests over.
struct RelayHelper
{
    InstanceId instance;
    HttpAddress address; ///< Of its server for requests of other instances.
    bool operator==(const RelayHelper &) const = default;
};

/// Messages to other instances of the relay. The defaults know no other instance.
struct PeerHooks
{
    /// /// Instances that may take a request over, best first; see PeerGroup.
    std::function<std::vector<RelayHelper>(const std::string &service, std::uint64_t random)>
        helpers = [](const std::string &, std::uint64_t) { return std::vector<RelayHelper>(); };
    std::function<void(const InstanceId &, const std::string &service)> noteHelperFailed
        = [](const InstanceId &, const std::string &) {};
    /// Where the instance takes requests over; empty: it is not known.
    std::function<std::optional<HttpAddress>(const InstanceId &)> helperAddress
        = [](const InstanceId &) { return std::optional<HttpAddress>(); };
    /// The declaration in force as the registry stores it; number 0: there is none.
    std::function<RawDeclaration()> heldDeclaration = [] { return RawDeclaration(); };
    /// Another instance has the declaration in force. Puts it in force here if it is valid and
    /// newer than the one that is; the registry has still to confirm it.
    std::function<void(const RawDeclaration &)> offerDeclaration = [](const RawDeclaration &) {};
    /// Instances that keep a record with the key, and those to ask for it; see PeerGroup.
    std::function<std::vector<InstanceId>(std::string_view key)> keepers
        = [](std::string_view) { return std::vector<InstanceId>(); };
    std::function<std::vector<InstanceId>(std::string_view key)> witnesses
        = [](std::string_view) { return std::vector<InstanceId>(); };
    std::function<void(const InstanceId &to, std::string payload)> send
        = [](const InstanceId &, const std::string &) {};
    /// Registry instances that keep a record with the key, and those to ask for it.
    std::function<std::vector<InstanceId>(std::string_view key)> registryKeepers
        = [](std::string_view) { return std::vector<InstanceId>(); };
    std::function<std::vector<InstanceId>(std::string_view key)> registryWitnesses
        = [](std::string_view) { return std::vector<InstanceId>(); };
    std::function<void(const InstanceId &to, std::string payload)> sendToRegistry
        = [](const InstanceId &, const std::string &) {};
};

/// Called for requests of customers, to count them. The defaults count nothing.
struct UsageHooks
{
    /// A caller's request arrived.
    std::function<void(const std::string &customer, TimePoint at)> arrived
        = [](const std::string &, TimePoint) {};
    /// A request began to run; called once for each.
    std::function<void(const std::string &customer, TimePoint at)> begun
        = [](const std::string &, TimePoint) {};
    /// A request was sent to an engine that has to read that many tokens.
    std::function<void(const std::string &customer, std::uint64_t tokens, TimePoint at)> work
        = [](const std::string &, std::uint64_t, TimePoint) {};
};

/// Options of a RelayService.
struct RelayOptions
{
    DataCentreId dataCentre;
    BackendProtocol protocol;
    RetryBounds retries;
    std::uint64_t seed = 1;
    MetricsRegistry *metrics = nullptr;
    /// Time since the declaration in force was confirmed; empty: never confirmed.
    std::function<std::optional<Duration>()> declarationAge = [] { return Duration{}; };
    /// While the declaration was confirmed longer ago, a missing route may have been declared.
    Duration maxDeclarationAge = std::chrono::seconds(2);
    /// Routes that need a key are not served while the declaration was confirmed longer ago, since
    /// keys may have been removed; empty: the last declaration stays in force.
    std::optional<Duration> keyRevocationTime;
    std::function<std::optional<Duration>()> listingAge = [] { return std::nullopt; };
    InstanceId instance; ///< Name of this process at the registry.
    /// What is known of crashes of backend servers; null: only what this service observes.
    std::shared_ptr<CrashEvidence> crashes;
    PeerHooks peers;
    UsageHooks usage;
    /// Streams begin at a new software version this long after it was listed, so that all instances
    /// know of it by then.
    Duration versionSettleTime = std::chrono::seconds(3);
    /// Time by which the platform's list lags behind.
    Duration listingLag = std::chrono::milliseconds(800);
    /// Bounds the answers that are kept until they are whole; null: the service has one of its own.
    std::shared_ptr<MemoryBudget> memory;
    /// Requests with prompts wait at this instance while the engines' places are short, if
    /// customers are declared.
    bool queuesWhenShort = true;
};

struct RelayState;

/// Relays callers' requests to backend servers by declared routes. Sends a request
/// again when it did not run or may run more than once, resumes broken streams, and refuses a
/// request only when it did not run. Used on one thread.
class RelayService
{
public:
    RelayService(boost::asio::any_io_executor executor, RelayOptions options);
    ~RelayService();
    RelayService(const RelayService &) = delete;
    RelayService &operator=(const RelayService &) = delete;

    /// Puts a declaration in force unless its number is lower than that of the one in force.
    void publish(Declaration declaration);
    void publish(const BackendListing &listing);
    /// Adds what a registry instance knows of software versions that were listed earlier. Belongs
    /// after the listing that it came with.
    void publish(const VersionReport &versions);
    /// Whether no earlier version is unknown that may have begun a stream.
    bool knowsVersions() const;
    /// The listing was read once more, unchanged.
    void confirmListing(TimePoint readAt);
    void publish(const LoadReports &loads);
    /// Adds what other processes observed.
    void publish(const CrashReports &reports);
    /// Adds limits of backend servers and what was granted to this instance.
    void publish(const LimitTable &table);
    /// What backend servers lately stated to this instance on limits. To be called several times a
    /// second, since it drops limits that nothing confirms any more.
    std::vector<RequestLimit> takeStatedLimits(TimePoint now);
    /// Requests that arrive here and what may be sent of them to limited backend servers; empty
    /// while no limit is known.
    ReportedDemand demand(TimePoint now) const;
    /// Prompt parts because of which requests were refused lately.
    std::vector<std::uint64_t> refusedParts(TimePoint now) const;
    /// Repeats messages to other instances that may have been lost. Has to be called about twenty
    /// times per second.
    void resendPeerMessages(TimePoint now);
    /// A message of another instance; see PeerHooks::send.
    void onPeerMessage(const InstanceId &sender, std::string_view payload);
    void setInstances(std::uint32_t instances);
    /// Delays at engines that this instance measured.
    ServiceDelays delays(TimePoint now) const;
    /// When the oldest request was sent that may be counted later with that time; empty: none.
    std::optional<TimePoint> oldestUncounted() const;
    /// Speeds of engines that this instance measured since the last call.
    std::vector<SpeedObservation> takeSpeedObservations();
    /// Number of the declaration in force; 0: none.
    std::uint64_t declarationNumber() const;
    /// The process ends at @p deadline: requests that may take longer are refused.
    void setShutdownDeadline(TimePoint deadline);
    /// The process is about to end: open requests are cancelled and get their final answers.
    void expireAll();
    /// A declaration and a backend listing have been published.
    bool hasRoutingData() const;

    /// Answers callers' requests.
    HttpHandler handler();
    /// Answers requests that other instances hand over because they reach no backend server.
    HttpHandler helperHandler();
    /// No listed backend server answers this instance.
    bool isCutOff() const;
    /// Checks servers while many others are silent: this instance may be cut off. Has to be called
    /// about twenty times per second.
    void checkReach(TimePoint now);

private:
    std::shared_ptr<RelayState> m_state;
};

} // namespace gentianramp
