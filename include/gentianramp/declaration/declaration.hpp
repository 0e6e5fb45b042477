#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <optional>
#include <string>
#include <vector>

namespace gentianramp {

/// What may be repeated of a request.
enum class RouteKind {
    Repeatable, ///< May run more than once.
    RunOnce,    ///< Runs at most once for each attempt of the caller.
    Stream,     ///< A stream of events; runs once unless the route lets it be resumed.
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
    std::uint32_t attempts = 1; ///< Most backend servers that one request is sent to.
    bool carriesPrompt = false; ///< Requests name the parts of their prompt.
    bool resumable = false;     ///< A stream may go on at another backend server.
    Duration eventGap{};        ///< Longest pause between events of a timely stream.
    std::vector<ServiceShare> shares;
    bool operator==(const Route &) const = default;

    /// The request may run again after an attempt that may have run.
    bool repeatable() const
    {
        return kind == RouteKind::Repeatable || (kind == RouteKind::Stream && resumable);
    }
};

/// Declared properties of the engines of a service.
struct EngineTraits
{
    std::uint32_t slots = 1;
    std::uint64_t memoryTokens = 0; ///< KV cache of one engine.
    std::uint64_t tokenBytes = 0;   ///< KV cache of one token.
    double linkBitsPerSecond = 0;   ///< Of moves of KV cache between engines; 0: unknown.
    Duration handleLifetime{};      ///< For which a prefilled prompt is kept for its decoder.
    bool operator==(const EngineTraits &) const = default;
};

/// A declared service.
struct DeclaredService
{
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< Of one backend server, from all instances; 0: unknown.
    std::optional<EngineTraits> engine;
    bool operator==(const DeclaredService &) const = default;
};

/// What callers may send and how long they may take.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
    bool operator==(const CallerLimits &) const = default;
};

/// The declared routes and services under a number that operators choose; the highest is in force.
struct Declaration
{
    std::uint64_t number = 0;
    std::vector<Route> routes;
    std::vector<DeclaredService> services;
    CallerLimits limits;
    bool operator==(const Declaration &) const = default;
};

/// Why @p declaration can't be put in force; empty when it can.
std::vector<std::string> declarationFaults(const Declaration &declaration);

} // namespace gentianramp
