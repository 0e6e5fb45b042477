#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/registry/backend_listing.hpp>
#include <gentianramp/registry/declaration_ledger.hpp>
#include <gentianramp/registry/versioned_load_table.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianramp {

/// Options of a RegistryFeed.
struct FeedOptions
{
    DataCentreId dataCentre;
    std::vector<InstanceId> seeds;
    std::uint64_t seed = 1;
    /// Between two questions. With the list's own lag it bounds how long a backend server that
    /// leaves still gets work.
    Duration interval = std::chrono::milliseconds(250);
    /// A question without an answer is sent again, since messages are not queued for a connection
    /// that is still being made.
    Duration resendInterval = std::chrono::milliseconds(50);
    /// The same as `silence` while nothing was received yet: some seeds may not run. It doubles
    /// with every second round of silent processes, up to eight times: the first answer of a large
    /// fleet takes longer than that on the link of an entry instance.
    Duration firstAnswerTimeout = std::chrono::milliseconds(150);
    /// A registry process that doesn't answer for it is left for another one.
    Duration answerTimeout = std::chrono::milliseconds(400);
    /// What an answer knows must have been confirmed that lately, or another process is asked;
    /// below the time in which a declaration has to be in force (2 s on the smallest deployments).
    Duration maxConfirmationAge = std::chrono::milliseconds(1000);
    Duration maxListAge = std::chrono::milliseconds(2600);
    /// The data centre's own registry process is tried again after it.
    Duration returnInterval = std::chrono::seconds(2);
};

/// What a step of the feed brings.
struct FeedOutput
{
    std::optional<InstanceId> askTo;           ///< Send `question` there.
    std::string question;                      ///< For PayloadKind::Registry.
    std::optional<InstanceId> reconnect;       ///< The connection to it may have gone silent.
    std::optional<RawDeclaration> declaration; ///< A higher number than before.
    std::optional<BackendListing> listing;     ///< Another content than before.
    std::optional<LoadReports> loads;          ///< Newer than before.
};

/// An entry process's view of the registry: the newest declaration and the platform's list.
/// Pure: asks one registry process at a time, its own data centre's first, and goes on to others
/// when that one is silent or behind.
class RegistryFeed
{
public:
    RegistryFeed(FeedOptions options, TimePoint now);

    /// Call about ten times a second.
    FeedOutput tick(TimePoint now);
    FeedOutput onMessage(const InstanceId &sender, std::string_view payload, TimePoint now);
    void setSeeds(std::vector<InstanceId> seeds);

    /// Entry processes in the system, this one included.
    std::uint32_t entryProcessCount() const { return m_entries; }
    /// Time since a majority is known to have confirmed the held declaration; empty: never.
    std::optional<Duration> declarationAge(TimePoint now) const;
    std::optional<Duration> listingAge(TimePoint now) const;

private:
    struct Source
    {
        DataCentreId dataCentre;
        TimePoint avoidUntil{};
        bool answered = false; ///< Since its connection was made.
    };

    Duration currentAnswerTimeout() const;
    InstanceId chooseSource(TimePoint now);
    void avoidSource(const InstanceId &source, TimePoint now);

    FeedOptions m_options;
    std::map<InstanceId, Source> m_sources;
    std::optional<InstanceId> m_current;
    std::uint64_t m_call;
    std::optional<TimePoint> m_requestedAt; ///< Empty: no question is open.
    TimePoint m_nextRequestAt{};
    TimePoint m_resendAt{};
    std::string m_request;
    std::size_t m_unansweredCount = 0; ///< Since the last time when nothing was lacking.
    std::uint64_t m_number = 0;
    std::optional<TimePoint> m_confirmedAt;
    std::uint64_t m_digest = 0;
    std::vector<ListedServer> m_servers; ///< Of the listing m_digest, in order of their ids.
    LoadTableReplica m_loads;
    std::optional<TimePoint> m_listedAt;
    TimePoint m_loadsAt{};
    std::uint32_t m_entries = 1;
    std::uint64_t m_random;
};

} // namespace gentianramp
