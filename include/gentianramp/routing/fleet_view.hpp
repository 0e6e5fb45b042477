#pragma once

#include <cstdint>
#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <optional>
#include <string>
#include <vector>

namespace gentianramp {

/// Whether a backend server takes new work.
enum class BackendPhase {
    Serving,
    Draining, ///< Finishes its requests; takes no new ones.
    Changing, ///< Unavailable during a role change or a load.
    Leaving,  ///< Being withdrawn by the platform.
    Unreachable,
};

/// Load that a backend server reports about itself: the work that all instances sent it.
struct LoadReport
{
    /// On the receiver's clock: time of arrival less the age that the report states.
    TimePoint takenAt{};
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t promptTokens = 0; ///< Prompt tokens that still have to be prefilled.
    std::uint64_t outputTokens = 0; ///< Output tokens still expected.
    std::uint64_t kvTokens = 0;
    std::uint64_t kvCapacityTokens = 0; ///< 0 when unknown.
    bool operator==(const LoadReport &) const = default;
};

/// A model that a backend server has loaded.
struct LoadedModel
{
    ModelId model;
    std::string version;
    auto operator<=>(const LoadedModel &) const = default;
};

/// What an instance knows about one backend server.
struct BackendView
{
    BackendId id;
    DataCentreId site;
    ServiceId service;
    std::string host;
    std::uint16_t port = 0;
    std::vector<LoadedModel> models; ///< Empty for plain services.
    std::vector<std::string> adapters;
    EngineRole role = EngineRole::Mixed;
    BackendPhase phase = BackendPhase::Serving;
    std::uint32_t slots = 16;
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 1000; ///< Over all streams.
    double streamTokensPerSecond = 50;   ///< Upper bound for one stream.
    bool operator==(const BackendView &) const = default;
};

/// Immutable list of the backend servers of one data centre.
struct FleetView
{
    DataCentreId site;
    std::vector<BackendView> backends;
    bool operator==(const FleetView &) const = default;
};

/// Fleet of @p site as @p configuration declares it, used until a fleet table arrives.
FleetView declaredFleet(const DeclaredConfiguration &configuration, const DataCentreId &site);

} // namespace gentianramp
