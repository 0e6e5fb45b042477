#pragma once

#include "event_files.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace gentianramp {

/// What an offset was estimated from.
enum class OffsetSource {
    Reference, ///< The clock that the others are put on.
    BothWays,  ///< Messages in both directions; the error is bounded.
    OneWay,    ///< Messages in one direction; off by up to their transit time.
    WallClock, ///< No matched message; as good as the machines' wall clocks.
};

std::string_view toString(OffsetSource source);

/// What to add to the times of one clock.
struct ClockOffset
{
    std::int64_t offsetNs = 0;
    std::int64_t errorNs = 0; ///< Bound of the error for BothWays, summed over the way.
    OffsetSource source = OffsetSource::WallClock;
    bool operator==(const ClockOffset &) const = default;
};

using ClockOffsets = std::map<ClockName, ClockOffset>;

/// Estimates the offset of every clock in @p events to the one with the most matched messages.
///
/// For two clocks the smallest difference between receipt and sending in each direction bounds the
/// offset from both sides; the middle is taken, half the width is the error. Clocks are joined in
/// the order of their errors, so that each offset goes over the narrowest bounds. Offsets are taken
/// as constant over the files: drift between the machines adds to the error.
ClockOffsets estimateOffsets(const std::vector<ClockedEvent> &events);

} // namespace gentianramp
