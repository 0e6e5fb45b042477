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
    std::uint32_t slots = 0;  ///< Requests that it works on at once; 0: unknown.
    bool draining = false;    ///< It leaves; it takes nothing new.
    bool engine = false;      ///< It serves a model and has a stage.
    bool prefillOnly = false; ///< It reads prompts for others to decode.
    std::int64_t startedAtMs
        = 0; ///< Wall-clock start of its process; 0: unknown. Tells lives apart.
    std::uint32_t warmUpLeftMs = 0; ///< For how much longer it is slow after its start.
    auto operator<=>(const ListedServer &) const = default;
};

/// One page of the platform's list.
struct ListingPage
{
    std::vector<ListedServer> servers;
    std::size_t unusableCount = 0; ///< Entries that name no backend server to use.
    std::string nextPage;          ///< Empty on the last page.
    bool operator==(const ListingPage &) const = default;
};

/// The platform's list at one time.
struct BackendListing
{
    std::uint64_t digest = 0; ///< Of the content; equal lists have equal digests. 0: no list.
    TimePoint takenAt{};      ///< On the clock of this process.
    std::vector<ListedServer> servers;
    bool operator==(const BackendListing &) const = default;
};

/// Load of an engine as it reported it itself.
struct ReportedLoad
{
    BackendId engine;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    bool silent = false;   ///< It did not answer the last questions.
    bool changing = false; ///< It was ordered to change its stage and takes nothing meanwhile.
    bool operator==(const ReportedLoad &) const = default;
};

/// Loads of all engines, as of about @p takenAt.
struct LoadReports
{
    TimePoint takenAt{};
    std::vector<ReportedLoad> engines;
    bool operator==(const LoadReports &) const = default;
};

/// Digest of @p servers, in any order; never 0.
std::uint64_t listingDigest(std::vector<ListedServer> servers);

} // namespace gentianramp
