#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianramp {

/// Whether the requests of a route may run more than once.
enum class RouteKind {
    Repeatable, ///< May run more than once.
    RunOnce,    ///< Runs at most once for each attempt of the caller.
    Stream,     ///< Event stream; runs once unless the route is resumable.
};

/// A service that takes a share of a route's requests.
struct ServiceShare
{
    std::string service;
    double weight = 1;
    bool operator==(const ServiceShare &) const = default;
};

/// Requests with the same host and path prefix.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::RunOnce;
    Duration timeout{};         ///< Longest time that a request is kept waiting.
    Duration latencyTarget{};   ///< Time within which an answer, or its first event, is on time.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::uint32_t attempts = 1; ///< Maximum number of backend servers that one request is sent to.
    bool carriesPrompt = false; ///< Requests list the parts of their prompt.
    bool resumable = false;     ///< A stream may be resumed at another backend server.
    Duration eventGap{};        ///< Longest pause between events of a timely stream.
    bool isPublic = false;      ///< Needs no key, even if customers are declared.
    std::vector<ServiceShare> shares;
    bool operator==(const Route &) const = default;

    /// Whether a request may be sent again after an attempt that may have run.
    bool repeatable() const
    {
        return kind == RouteKind::Repeatable || (kind == RouteKind::Stream && resumable);
    }
};

/// Declared properties of the engines of a service.
struct EngineTraits
{
    std::uint32_t slots = 1;
    std::uint64_t memoryTokens = 0; ///< KV cache of one engine in tokens.
    std::uint64_t tokenBytes = 0;   ///< Size of one token in the KV cache.
    double linkBitsPerSecond = 0;   ///< Rate of KV cache transfers between engines; 0: unknown.
    Duration
        handleLifetime{}; ///< Time for which a prefilled prompt is kept for the decoding engine.
    bool operator==(const EngineTraits &) const = default;
};

/// Bounds and prices of the servers of a service whose number may be ordered.
struct ScalingTraits
{
    std::uint32_t minServers = 0; ///< Of each data centre, spot servers included.
    std::uint32_t maxServers = 0; ///< Of each data centre, spot servers included.
    Duration bootTime{};          ///< From the order until a server takes requests.
    /// Price of a spot server as a share of that of a server on demand; empty: there are none.
    std::optional<double> spotPrice;
    std::map<DataCentreId, double> prices; ///< Of a second of a server on demand.
    bool operator==(const ScalingTraits &) const = default;
};

/// A declared service.
struct DeclaredService
{
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< To one backend server, from all instances; 0: unknown.
    std::optional<EngineTraits> engine;
    std::optional<ScalingTraits> scaling;
    bool operator==(const DeclaredService &) const = default;
};

/// A customer whose requests carry one of its keys.
struct Customer
{
    std::string name;
    std::vector<std::string> keys;
    /// Goes before the priority of the route; 0 is the most urgent.
    std::optional<std::uint32_t> priority;
    bool operator==(const Customer &) const = default;
};

/// Limits on the size and duration of requests.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
    bool operator==(const CallerLimits &) const = default;
};

/// Highest number of a declaration; the lowest is 1. Earlier builds took negative numbers, which
/// became higher ones.
constexpr std::uint64_t MaxDeclarationNumber = std::numeric_limits<std::int64_t>::max();

/// Routes and services under a number chosen by operators. The declaration with the highest number
/// is in force.
struct Declaration
{
    std::uint64_t number = 0;
    std::vector<Route> routes;
    std::vector<DeclaredService> services;
    CallerLimits limits;
    /// Empty: requests need no key.
    std::optional<std::vector<Customer>> customers;
    bool operator==(const Declaration &) const = default;
};

/// Whether a declaration with @p number replaces one with the number @p held; 0: none is held. A
/// number above MaxDeclarationNumber replaces nothing and is replaced by every other one.
bool isNewerDeclaration(std::uint64_t number, std::uint64_t held);

/// Reasons for which @p declaration is invalid; empty if it is valid.
std::vector<std::string> declarationFaults(const Declaration &declaration);

} // namespace gentianramp
