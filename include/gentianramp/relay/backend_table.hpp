#pragma once

#include <algorithm>
#include <cstdint>
#include <gentianramp/admission/queue_allowance.hpp>
#include <gentianramp/declaration/declaration.hpp>
#include <gentianramp/http/client.hpp>
#include <gentianramp/registry/backend_listing.hpp>
#include <gentianramp/registry/engine_speeds.hpp>
#include <gentianramp/registry/limit_granter.hpp>
#include <gentianramp/registry/request_limit.hpp>
#include <gentianramp/registry/stage_delays.hpp>
#include <gentianramp/relay/backend_protocol.hpp>
#include <gentianramp/relay/version_history.hpp>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace gentianramp {

/// What placement needs to know of a request.
struct PlacementQuery
{
    std::string service;
    const PromptDescription *prompt = nullptr; ///< Null for calls without a prompt.
    bool repeatable = false;
    /// Engine that has prefilled the prompt and keeps it; null: none.
    const BackendId *prefilledAt = nullptr;
    Duration latencyTarget{}; ///< Time to the first event within which an answer is on time.
    std::span<const BackendId> excluded; ///< Servers that were tried before.
    /// Only servers of this software version; null: any. A stream goes on at the version that began
    /// it, and engines of one version can't use the KV cache of another's.
    const std::string *softwareVersion = nullptr;
    /// The caller may take the stream up again at another instance.
    bool isResumable = false;
};

/// A backend server chosen for a request, with what the table expects of the send.
struct SendTarget
{
    BackendId backend;
    HttpAddress address;
    std::uint32_t uncachedTokens = 0; ///< Prompt tokens expected not to be in its KV cache.
    Duration expectedWait{};          ///< Estimated time until the first event.
    double prefillMs = 0; ///< Prefill time within expectedWait, at the engine's present speed.
    /// Prefill time with the backlog, at the service's usual speed; 0: nothing is prefilled.
    double usualPrefillMs = 0;
    double timeFactor = 1;         ///< Time that work takes at the engine, of the usual.
    double kvTransferMs = 0;       ///< Time of a transfer of the prompt's KV cache to the engine.
    Duration latencyTarget{};      ///< Of the request.
    bool seemedIdle = false;       ///< No other work of the engine was known when it was chosen.
    TimePoint sentAt{};            ///< When it was chosen, or later when the request was sent.
    std::uint64_t incarnation = 0; ///< The table's number for the server's incarnation.
    std::int64_t startedAtMs = 0;  ///< Listed start of the server's process.
    std::string softwareVersion;   ///< Listed; empty: not named.
    /// Engine whose KV cache probably holds shared parts that this one lacks and fetches from it.
    std::optional<HttpAddress> prefixSource;
    bool operator==(const SendTarget &) const = default;
};

/// Where a request is sent: directly to the server that answers it, or first to an engine that
/// prefills its prompt.
struct RequestPlacement
{
    SendTarget responder; ///< Sends the answer.
    /// Prefills the prompt first and transfers its KV cache to the responder.
    std::optional<SendTarget> prefillEngine;
    bool operator==(const RequestPlacement &) const = default;
};

/// What the table knows of the places of a service's engines, and expects of a request there.
struct PlacementRoom
{
    ReportedRoom room;         ///< Of all engines that decode and state their load.
    Duration work{};           ///< Time for which the request is expected to take a place.
    Duration firstEventTime{}; ///< Time until the first event while nothing else waits.
    Duration wait{};           ///< Expected wait beyond that at the engines chosen.
    bool operator==(const PlacementRoom &) const = default;
};

/// How a request at a backend server ended.
enum class SendOutcome {
    Served,
    Rejected, ///< Did not run: the backend server works but is full or draining.
    Failed,   ///< Connection broken, no answer, or a malformed one.
    Abandoned ///< The caller disconnected or the deadline passed.
};

/// Options of a BackendTable.
struct BackendTableOptions
{
    DataCentreId dataCentre;
    std::uint64_t seed = 1;
    Duration versionSettleTime = std::chrono::seconds(3); ///< See VersionHistory.
    /// Time by which the platform's list lags behind.
    Duration listingLag = std::chrono::milliseconds(800);
};

/// What one entry instance knows about backend servers, and its choice among them. Performs no
/// I/O.
class BackendTable
{
public:
    explicit BackendTable(BackendTableOptions options);
    ~BackendTable();
    BackendTable(BackendTable &&) noexcept;
    BackendTable &operator=(BackendTable &&) noexcept;

    /// Replaces the listing. A backend server that restarted begins without history.
    void publish(const BackendListing &listing);
    /// Chooses where to send a request; empty when no backend server may take it now.
    std::optional<RequestPlacement> choose(const PlacementQuery &request, TimePoint now);
    /// The places of the engines that may answer the prompt of @p request. Empty while the loads of
    /// half of them are unknown, or no request has ended.
    std::optional<PlacementRoom> room(const PlacementQuery &request,
                                      const RequestPlacement &placement, TimePoint now) const;
    /// Whether a request could be sent now to a server whose circuit breaker lets requests pass.
    bool canPlace(const PlacementQuery &request, TimePoint now) const;
    /// Sets the declaration of a service: its engines' properties, and the connections that each
    /// backend server accepts from all instances together.
    void setService(const DeclaredService &service);
    /// Sets the number of entry instances, which share the connections of each backend server.
    void setInstances(std::uint32_t instances) { m_instances = std::max(instances, 1U); }

    /// A chosen backend server is not sent the request; releases a circuit breaker probe.
    void notSent(const SendTarget &target);
    /// The request is being sent to its backend server.
    void sent(const SendTarget &target, const PromptDescription *prompt, TimePoint now);
    /// The first event or the whole answer arrived.
    void answered(const SendTarget &target, TimePoint now);
    /// The request is over; called once after every sent().
    void ended(const SendTarget &target, bool wasAnswered, SendOutcome outcome, TimePoint now);
    void noteLoad(const BackendId &backend, const StatedLoad &load, TimePoint now);
    /// Notes what an engine reported to the registry at @p takenAt. True when the engine did not
    /// answer the registry and this instance has had no contact with it since: the caller should
    /// check its health.
    bool noteReport(const ReportedLoad &load, TimePoint takenAt);
    /// Speeds of engines that were measured since the last call.
    std::vector<SpeedObservation> takeSpeedObservations();
    /// The KV cache of a prompt could not be transferred between these engines.
    void noteKvTransferFailed(const BackendId &prefillEngine, const BackendId &responder,
                              TimePoint now);
    /// The backend server answered that the request is not for it, so the listing is out of date.
    /// The server gets no requests until the listing may have caught up.
    void noteMisdirected(const BackendId &backend, TimePoint now);
    /// The backend server answered that it leaves: it gets no further requests of this instance
    /// until it restarts.
    void noteLeaving(const BackendId &backend);
    /// The backend server stated which rate of requests it takes, or that it names no limit now.
    void noteLimit(const BackendId &backend, std::optional<double> perSecond, TimePoint now);
    /// Limits, and what the registry's leader granted to this instance.
    void publish(const LimitTable &table, TimePoint now);
    /// Drops limits that neither an answer nor the leader has confirmed for long: nothing may have
    /// been sent to the server since.
    void expireLimits(TimePoint now);
    /// What backend servers lately stated to this instance on limits; their ends too.
    std::vector<RequestLimit> statedLimits(TimePoint now) const;
    /// Whether any backend server limits the rate of requests.
    bool knowsLimits() const;
    bool isLimited(const BackendId &backend) const;
    /// What this instance may still send to limited backend servers.
    std::vector<LimitHolding> limitHoldings(TimePoint now) const;
    /// Takes one of the requests that the backend server's limit allows this instance; false if
    /// there is none.
    bool takeAllowance(const BackendId &backend, TimePoint now);
    /// What keeps requests from the servers of a service while all that could take them are at
    /// their limits.
    struct LimitWait
    {
        Duration untilNext{}; ///< Time until this instance may send one.
        double perSecond = 0; ///< That this instance may send to all of them.
        bool operator==(const LimitWait &) const = default;
    };
    /// Empty while a server may be sent a request, or none is limited.
    std::optional<LimitWait> limitWait(const std::string &service, TimePoint now) const;
    /// The backend server asked not to be sent anything for @p time.
    void noteHold(const BackendId &backend, Duration time, TimePoint now);
    /// Whether the backend server asked not to be sent anything now.
    bool isHeld(const BackendId &backend, TimePoint now) const;
    /// Time until a backend server of the service may be sent requests again; empty if one may be
    /// now, or none is listed that does not leave.
    std::optional<Duration> holdLeft(const std::string &service, TimePoint now) const;
    /// Result of a health check: whether the backend server left it unanswered.
    void noteSilent(const BackendId &backend, bool silent, TimePoint now);

    /// Time since the last contact with the backend server; empty: there was none.
    std::optional<Duration> timeSinceContact(const BackendId &backend, TimePoint now) const;
    /// Bytes were received from the backend server.
    void noteContact(const BackendId &backend, TimePoint now);
    /// The last health check got no answer.
    bool isSilent(const BackendId &backend) const;
    /// The backend server is listed, does not leave, and did not ask to be sent nothing now.
    bool takesWork(const BackendId &backend, TimePoint now) const;
    /// The listing was read once more, unchanged.
    void confirmListing(TimePoint readAt);
    TimePoint listingReadAt() const { return m_listingReadAt; }
    const VersionHistory &versions() const { return m_versions; }
    /// Adds what a registry instance knows of earlier versions.
    void publish(const VersionReport &versions) { m_versions.add(versions, RuntimeClock::now()); }
    void setStreamLifetime(Duration lifetime) { m_versions.setStreamLifetime(lifetime); }
    /// A connection to the backend server broke or was refused: it may start again with other
    /// software before the listing shows it.
    void noteConnectionLost(const BackendId &backend, TimePoint now);
    /// The connection of a send broke at @p now after bytes of the request had been written.
    void noteSendLost(const SendTarget &target, TimePoint now);
    /// The backend server said when its process started.
    void noteReportedStart(const BackendId &backend, std::int64_t startedAtMs);
    /// The server that a request was sent to still runs the listed software, as far as is known.
    bool isVersionCertain(const SendTarget &target) const;
    /// Whether a server with this software version is listed.
    bool lists(const std::string &service, const std::string &softwareVersion) const;
    /// A listed server of the service that is not draining leaves health checks unanswered.
    bool anySilent(const std::string &service) const;
    /// Servers are listed that are not draining, and all of them leave health checks unanswered.
    bool allSilent() const;
    /// The same for half of them: this instance is probably cut off, whatever its service.
    bool halfSilent() const;
    /// Servers without contact for @p quiet that are not silent, while half of their service's
    /// servers are: id and service.
    std::vector<std::pair<BackendId, std::string>> suspects(Duration quiet, TimePoint now) const;
    /// Whether the loss of the backend server's connections at @p lostAt is its own and not that of
    /// this instance: another one was reached later, or all others had been lost before.
    bool isOwnLoss(const BackendId &backend, TimePoint lostAt) const;
    /// The backend server that was in contact last and may answer a check, but for @p excluded: id
    /// and service.
    std::optional<std::pair<BackendId, std::string>> lastHeard(const BackendId &excluded,
                                                               TimePoint now) const;
    /// Number of listed backend servers of a service that are not draining.
    std::size_t readyServers(const std::string &service) const;
    /// Delays at engines that this instance measured, for the split into stages.
    ServiceDelays delays(TimePoint now) const;
    /// The address of a listed backend server.
    std::optional<HttpAddress> addressOf(const BackendId &backend) const;

private:
    struct Backend;
    struct ServiceState;

    /// Servers that are not draining.
    struct SilentCount
    {
        std::size_t listed = 0;
        std::size_t silent = 0;
    };

    SilentCount countSilent() const;
    Backend *find(const SendTarget &target);
    /// @p source names who told of the statement.
    void setLimit(Backend &backend, std::optional<double> perSecond, TimePoint statedAt,
                  std::string_view source, TimePoint now);
    static void setStage(Backend &backend, TimePoint now);
    /// The backend server can serve the request and may be tried now. @p allowFailing also accepts
    /// servers whose circuit breaker is open.
    bool usable(const Backend &backend, const PlacementQuery &request, bool allowFailing,
                TimePoint now) const;
    /// Whether a stream may go on at the server, or a prompt that was prefilled elsewhere.
    bool hasVersion(const Backend &backend, const std::string &softwareVersion,
                    TimePoint now) const;
    /// Keeps new streams from versions that other instances may not know yet, unless there is no
    /// other server.
    void dropUnsettledVersions(std::vector<Backend *> &usable, const PlacementQuery &request,
                               TimePoint now) const;
    /// Chooses engines of one version for a prompt.
    std::optional<RequestPlacement> chooseEnginesOfOneVersion(const std::vector<Backend *> &usable,
                                                              const PlacementQuery &request,
                                                              TimePoint now);
    std::optional<RequestPlacement> chooseLeastLoaded(const std::vector<Backend *> &usable,
                                                      TimePoint now);
    std::optional<RequestPlacement> chooseEngines(const std::vector<Backend *> &usable,
                                                  const PlacementQuery &request, TimePoint now);
    /// The two engines with the highest rendezvous scores for a key; null where there is none.
    struct Owners
    {
        const Backend *first = nullptr;
        const Backend *second = nullptr;
    };

    Owners rendezvousOwners(const std::vector<Backend *> &usable, std::uint64_t key) const;
    const Backend *formerOwner(const PlacementQuery &request, const Backend &owner,
                               TimePoint now) const;
    std::uint32_t uncachedTokens(const Backend &backend, const PromptDescription &prompt,
                                 bool owner, TimePoint now) const;
    double prefillMs(const Backend &backend, std::uint32_t uncached, TimePoint now) const;
    void observeSpeed(Backend &backend, const SendTarget &target, TimePoint now) const;
    void noteWaited(Backend &backend, const SendTarget &target, TimePoint now);
    void noteServed(const Backend &backend, const SendTarget &target, TimePoint now);
    void updateSlowness(Backend &backend, const SendTarget &target, TimePoint now) const;
    Backend *chooseResponder(const std::vector<Backend *> &usable, const PlacementQuery &request,
                             const Backend *prefillEngine, TimePoint now);
    double decodeWaitMs(const Backend &backend, TimePoint now) const;
    double decodePenaltyMs(const Backend &backend, const PlacementQuery &request,
                           const Backend *prefillEngine, TimePoint now) const;
    Backend *findBackend(const BackendId &backend) const;
    double transferMs(const Backend &backend, const PlacementQuery &request,
                      const Backend *prefillEngine) const;
    double expectedMisses(const Backend &backend, const PlacementQuery &request,
                          const Owners &owners, TimePoint now) const;
    double fetchMs(const Backend &backend, const PlacementQuery &request, const Backend &source,
                   TimePoint now) const;
    double tokensPerMs(const Backend &backend) const;
    double kvTransferMs(const std::string &service, std::uint32_t tokens) const;
    const ServiceState &serviceState(const std::string &service) const;
    ServiceState &serviceState(const std::string &service);
    double uniformRandom();
    double slotCost(const Backend &backend, TimePoint now) const;
    SendTarget makeTarget(const Backend &backend, std::uint32_t uncached, double waitMs,
                          TimePoint now) const;

    BackendTableOptions m_options;
    std::map<BackendId, std::unique_ptr<Backend>> m_backends;
    std::map<std::string, ServiceState> m_services;
    std::uint32_t m_instances = 1;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_randomState;
    VersionHistory m_versions;
    TimePoint m_listingReadAt{};
};

} // namespace gentianramp
