#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <string>
#include <vector>

namespace gentianramp {

/// A backend server as the platform lists it.
struct ListedServer
{
    BackendId id;
    std::string service;
    std::string host;
    std::uint16_t port = 0;
    DataCentreId dataCentre;
    std::uint32_t slots = 0;  ///< Requests that the server runs concurrently; 0: unknown.
    bool draining = false;    ///< Leaving; takes no new requests.
    bool engine = false;      ///< Serves a model and has a stage.
    bool prefillOnly = false; ///< Prefills prompts that other engines decode.
    /// Wall-clock start of the server's process; distinguishes incarnations. 0: unknown.
    std::int64_t startedAtMs = 0;
    /// Remaining time during which the server is slow after its start.
    std::uint32_t warmUpLeftMs = 0;
    /// Of its software, not of the weights. Versions have no order. Empty: not named.
    std::string softwareVersion;
    bool spot = false; ///< May be reclaimed at short notice.
    auto operator<=>(const ListedServer &) const = default;
};

/// One page of the platform's list.
struct ListingPage
{
    std::vector<ListedServer> servers;
    std::size_t unusableCount = 0; ///< Malformed entries, which were skipped.
    std::string nextPage;          ///< Empty on the last page.
    bool operator==(const ListingPage &) const = default;
};

/// Snapshot of the platform's list.
struct BackendListing
{
    std::uint64_t digest = 0; ///< Of the content; equal lists have equal digests. 0: no list.
    TimePoint takenAt{};      ///< By the clock of this process.
    std::vector<ListedServer> servers;
    bool operator==(const BackendListing &) const = default;
};

/// Stage of an engine as reported by the engine.
enum class ReportedStage { Unknown, Decode, Prefill };

/// Load and stage of an engine as reported by the engine.
struct ReportedLoad
{
    BackendId engine;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    bool silent = false; ///< The engine did not answer the last load requests.
    /// A change of stage was ordered or is in progress; the engine takes no requests until done.
    bool changing = false;
    ReportedStage stage
        = ReportedStage::Unknown; ///< Set only around a change; see StageAnnouncement.
    /// Lasting speed as a share of the usual one of the service's engines; 0: not known.
    double speed = 0;
    std::uint32_t slownessPercent = 0; ///< Time that work takes now, of the usual; 0: not stated.
    bool operator==(const ReportedLoad &) const = default;
};

/// Loads of all engines at about the time `takenAt`.
struct LoadReports
{
    TimePoint takenAt{};
    std::vector<ReportedLoad> engines;
    bool operator==(const LoadReports &) const = default;
};

/// Replaces stages in @p listing, which the platform shows late, by reported ones of engines that
/// answered.
BackendListing withReportedStages(BackendListing listing, const LoadReports &reports);

/// Digest of @p servers, independent of their order; never 0.
std::uint64_t listingDigest(std::vector<ListedServer> servers);

} // namespace gentianramp
