#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/peers/peer_instance.hpp>
#include <gentianramp/registry/backend_listing.hpp>
#include <gentianramp/registry/crash_evidence.hpp>
#include <gentianramp/registry/declaration_ledger.hpp>
#include <gentianramp/registry/engine_speeds.hpp>
#include <gentianramp/registry/limit_granter.hpp>
#include <gentianramp/registry/listed_versions.hpp>
#include <gentianramp/registry/stage_delays.hpp>
#include <gentianramp/registry/versioned_load_table.hpp>
#include <gentianramp/usage/true_time.hpp>
#include <gentianramp/usage/usage_counter.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianramp {

namespace proto {
class FeedAnswer;
class FeedRequest;
} // namespace proto

/// Options of a RegistryFeed.
struct FeedOptions
{
    DataCentreId dataCentre;
    std::vector<InstanceId> seeds;
    std::uint64_t seed = 1;
    /// Time between two requests. Together with the age of the platform's list, it bounds how long
    /// a draining backend server is still sent requests.
    Duration interval = std::chrono::milliseconds(250);
    /// An unanswered request is resent at this interval while the connection may still be being
    /// established, since messages are not queued for such a connection.
    Duration resendInterval = std::chrono::milliseconds(50);
    /// Replaces `answerTimeout` until a declaration and a list were received; shorter, because some
    /// seeds may not run. It doubles after every second round in which no process answered, up to
    /// eight times this value: in a large fleet, the first answer takes longer than this value on
    /// the link of an entry instance.
    Duration firstAnswerTimeout = std::chrono::milliseconds(150);
    /// If a registry process does not answer within this time, another one is asked.
    Duration answerTimeout = std::chrono::milliseconds(400);
    /// If a majority last confirmed the answered declaration longer ago than this, another process
    /// is asked. Less than the time in which a declaration has to be in force, which is 2 s on the
    /// smallest deployments.
    Duration maxConfirmationAge = std::chrono::milliseconds(1000);
    /// The first declaration of a process is withheld for this time unless a majority has confirmed
    /// it, so that registry processes that restarted too can elect a leader.
    Duration firstDeclarationTimeout = std::chrono::seconds(3);
    /// If the answered list is older than this, another process is asked.
    Duration maxListAge = std::chrono::milliseconds(2600);
    /// A process that timed out or was out of date is avoided for this time. Then the data centre's
    /// own process is preferred again.
    Duration returnInterval = std::chrono::seconds(2);
    /// Crashes to report; has to outlive the feed. Null: none are reported.
    const CrashEvidence *crashes = nullptr;
    /// Requests of customers to report; has to outlive the feed. Null: none are reported.
    UsageCounter *usage = nullptr;
};

/// Result of one step of a RegistryFeed.
struct FeedOutput
{
    std::optional<InstanceId> requestTo;            ///< Process to send `request` to.
    std::string request;                            ///< Payload of the kind PayloadKind::Registry.
    std::optional<InstanceId> reconnect;            ///< Process whose connection may be dead.
    std::optional<RawDeclaration> declaration;      ///< Set if its number is higher than before.
    std::optional<BackendListing> listing;          ///< Set if its content has changed.
    std::optional<LoadReports> loads;               ///< Set if newer than before.
    CrashReports crashes;                           ///< What changed in the source's evidence.
    std::optional<LimitTable> limits;               ///< Set if the source has a table.
    std::optional<std::vector<PeerInstance>> peers; ///< Entry processes; set if confirmed.
    std::optional<VersionReport> versions;          ///< Set if the source states it.
    std::string peerMessage; ///< Answer on the record of a stream; empty: none.
};

/// Keeps an entry process up to date with the registry: the newest declaration, the platform's list
/// and the loads of engines. Requests them from one registry process at a time, preferably one of
/// its own data centre, and switches to another one if that is silent or out of date. Performs no
/// I/O.
class RegistryFeed
{
public:
    RegistryFeed(FeedOptions options, TimePoint now);

    /// Has to be called about ten times per second.
    FeedOutput tick(TimePoint now);
    FeedOutput onMessage(const InstanceId &sender, std::string_view payload, TimePoint now);
    void setSeeds(std::vector<InstanceId> seeds);
    /// Registry processes that may be running, as far as is known.
    std::vector<InstanceId> registryProcesses(TimePoint now) const;
    /// Payload of the kind PayloadKind::Registry that brings @p peerMessage to a registry process.
    static std::string wrapPeerMessage(std::string peerMessage);

    /// Sets the delays at engines to report with the next request.
    void setDelays(ServiceDelays delays) { m_delays = std::move(delays); }
    /// Adds measured speeds to report with the next request.
    void addSpeeds(std::vector<SpeedObservation> observations);
    /// Sets up to when all requests that began to run are counted: an earlier one may still be
    /// added.
    void setUsageCompleteAt(TimePoint time) { m_usageCompleteAt = time; }
    /// Sets the prompt parts because of which requests were refused lately.
    void setRefusedParts(std::vector<std::uint64_t> parts) { m_refusedParts = std::move(parts); }
    /// Sets whether to ask which software versions were listed before this process started.
    void setWantsVersions(bool wanted) { m_wantsVersions = wanted; }
    /// Sets whether this process reaches no backend server.
    void setCutOff(bool cutOff) { m_cutOff = cutOff; }
    /// Sets what backend servers lately stated on limits, and the requests that arrive
    /// here, if there are limits.
    void setLimits(std::vector<RequestLimit> limits, ReportedDemand demand)
    {
        m_limits = std::move(limits);
        m_demand = std::move(demand);
    }
    /// Another entry process brought the declaration with the number, which is in force here. The
    /// registry has not confirmed it.
    void noteDeclaration(std::uint64_t number);
    /// Number of entry processes in the system, including this one.
    std::uint32_t entryProcessCount() const { return m_entryProcessCount; }
    /// Time since a majority last confirmed the current declaration; empty: never.
    std::optional<Duration> declarationAge(TimePoint now) const;
    std::optional<Duration> listingAge(TimePoint now) const;
    /// True time in Unix milliseconds, as registry processes state it; this process's wall clock
    /// while none has.
    std::int64_t trueMs(TimePoint time) const;
    /// Reports at once what was counted, since this process is about to end.
    void hurry() { m_nextRequestAt = {}; }

private:
    struct Source
    {
        DataCentreId dataCentre;
        TimePoint avoidUntil{};
        TimePoint silentUntil{};          ///< No registry process has heard it, as far as is known.
        bool answered = false;            ///< At least once on the current connection.
        std::uint64_t crashesEpoch = 0;   ///< Of its crash reports.
        std::uint64_t crashesVersion = 0; ///< Newest received version of its crash reports.
        /// Version of this process's evidence that it has received.
        std::uint64_t reportedVersion = 0;
        std::uint64_t usageEpoch = 0;    ///< Of its collection of usage.
        std::uint64_t usageSequence = 0; ///< Of this process's counts that it has received.
    };
    struct OpenRequest
    {
        TimePoint sentAt{};
        std::uint64_t reportedVersion = 0; ///< Version of this process's evidence.
    };

    Duration currentAnswerTimeout() const;
    InstanceId chooseSource(TimePoint now);
    void avoidSource(const InstanceId &source, TimePoint now);
    bool allSourcesAvoided(TimePoint now) const;
    void noteSilentSources(const InstanceId &sender, const proto::FeedAnswer &answer,
                           TimePoint now);
    std::optional<RawDeclaration> takeFirstDeclaration(TimePoint now);
    void addUsage(proto::FeedRequest &request, TimePoint now) const;
    void receiveUsage(const InstanceId &sender, const proto::FeedAnswer &answer,
                      TimePoint requestedAt, TimePoint now);
    void addCrashes(proto::FeedRequest &request, OpenRequest &open, TimePoint now) const;
    CrashReports receiveCrashes(const InstanceId &sender, const proto::FeedAnswer &answer,
                                std::uint64_t reportedVersion, TimePoint now);
    void logSource(const InstanceId &source, TimePoint now) const;
    void logStale(const InstanceId &source, const proto::FeedAnswer &answer, TimePoint now);

    FeedOptions m_options;
    std::map<InstanceId, Source> m_sources;
    std::optional<InstanceId> m_current;
    std::uint64_t m_call;
    std::optional<TimePoint> m_requestedAt;              ///< Empty: no request is pending.
    std::map<std::uint64_t, OpenRequest> m_openRequests; ///< Recent calls.
    TimePoint m_nextRequestAt{};
    TimePoint m_resendAt{};
    std::string m_request;
    /// Time-outs since the last answer after which both a declaration and a list were known.
    std::size_t m_unansweredCount = 0;
    std::uint64_t m_number = 0;
    /// First declaration, which may be older than one that was in force before a restart; withheld
    /// until it is confirmed.
    std::optional<RawDeclaration> m_unconfirmed;
    TimePoint m_unconfirmedSince{}; ///< When the first declaration was received.
    std::optional<TimePoint> m_staleLoggedAt;
    std::optional<TimePoint> m_confirmedAt;
    std::uint64_t m_digest = 0;
    std::vector<ListedServer> m_servers; ///< Servers of the listing m_digest, ordered by id.
    LoadTableReplica m_loads;
    std::optional<TimePoint> m_listedAt;
    TrueTime m_trueTime;
    TimePoint m_loadsAt{};
    std::uint32_t m_entryProcessCount = 1;
    ServiceDelays m_delays;
    std::vector<SpeedObservation> m_speeds;
    std::optional<TimePoint> m_usageCompleteAt;
    std::vector<std::uint64_t> m_refusedParts;
    std::vector<PeerInstance> m_peers;
    std::uint64_t m_peersDigest = 0; ///< Of m_peers.
    bool m_cutOff = false;
    bool m_wantsVersions = true;
    std::vector<RequestLimit> m_limits;
    ReportedDemand m_demand;
    std::uint64_t m_random;
};

} // namespace gentianramp
