#pragma once

#include <compare>
#include <gentianramp/config/declared_configuration.hpp>
#include <gentianramp/core/ids.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// Kinds of orders of the engine protocol (docs/ENGINE-PROTOCOL.md).
enum class OrderKind {
    SetRole,
    Load,
    Unload,
    Drain,
    Undrain,
    Fence, ///< Only tells the engine the fencing number.
};

/// Name of @p kind in the protocol.
std::string_view toString(OrderKind kind);

/// An order to one engine, before it gets a fencing number and an id.
struct PlannedOrder
{
    BackendId backend;
    OrderKind kind = OrderKind::Drain;
    EngineRole role = EngineRole::Mixed; ///< For OrderKind::SetRole.
    ModelId model;                       ///< For Load and Unload.
    std::string version;                 ///< For Load and Unload of a model.
    std::string adapter;                 ///< For Load and Unload of an adapter; else empty.
    bool operator==(const PlannedOrder &) const = default;
};

/// Service phase of an engine.
enum class EnginePhase {
    Serving,
    Changing,
    Draining,
    Leaving,
};

/// State reported by an engine.
struct EngineReport
{
    BackendId backend;
    EnginePhase phase = EnginePhase::Serving;
    EngineRole role = EngineRole::Mixed;
    std::map<ModelId, std::vector<std::string>> versions; ///< Loaded versions of each model.
    std::vector<std::string> adapters;
    FencingNumber fencing; ///< Largest fencing number that the engine has seen.
    bool orderRunning = false;
    std::uint32_t requestsRunning = 0;
    bool operator==(const EngineReport &) const = default;
};

} // namespace gentianramp
