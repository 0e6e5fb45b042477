#pragma once

#include <gentianramp/core/clock.hpp>
#include <optional>
#include <string_view>

namespace gentianramp {

/// The later of @p known and @p now, which is the present of a state machine. A caller that held on
/// to its time over a wait or a callback passes an earlier one than the call before; nothing that
/// the state machine knows may then lie ahead of it. Counted as the broken @p invariant.
TimePoint latestTime(TimePoint known, TimePoint now, std::string_view invariant);

/// Time from @p time to @p now. Empty if @p time is after @p now: what is dated after the present
/// must not be taken for fresh. Counted as the broken @p invariant.
std::optional<Duration> ageOf(TimePoint time, TimePoint now, std::string_view invariant);

} // namespace gentianramp
