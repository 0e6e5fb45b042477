#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace gentianramp {

/// Called with the name and detail of each broken invariant.
using InvariantHook = std::function<void(std::string_view name, std::string_view detail)>;

/// Replaces the hook; without one a broken invariant is only counted and logged.
void setInvariantHook(InvariantHook hook);

/// Counts and reports the invariant @p name as broken unless @p holds; returns @p holds. Logs each
/// invariant at most once a second.
bool checkInvariant(bool holds, std::string_view name, std::string_view detail = {});

/// Number of invariants that this process found broken.
std::uint64_t brokenInvariantCount();

} // namespace gentianramp
