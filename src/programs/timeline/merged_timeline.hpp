#pragma once

#include "clock_offsets.hpp"

#include <optional>
#include <string>
#include <vector>

namespace gentianramp {

/// An event on the reference clock.
struct MergedEvent
{
    std::int64_t timeNs = 0; ///< Since the first event of all.
    std::int64_t wallMs = 0; ///< By the wall clock of the reference.
    TimelineEvent event;
};

/// Events of all processes in one order.
struct MergedTimeline
{
    std::vector<MergedEvent> events;
    ClockOffsets offsets;
};

/// Puts all events on the reference clock and orders them.
MergedTimeline mergeEvents(const std::vector<ClockedEvent> &events);

/// Which events are shown.
struct EventFilter
{
    std::string request;
    std::optional<std::int64_t> fromNs; ///< Since the first event.
    std::optional<std::int64_t> toNs;
    bool messages = true; ///< Also events of single messages.

    bool matches(const MergedEvent &event) const;
};

/// "+1.234567 2026-12-03T20:37:47.123Z entry-1 request_accepted request=... ...".
std::string describeEvent(const MergedEvent &event);
/// One line for each clock with its offset, error and source.
std::string describeOffsets(const ClockOffsets &offsets);

/// Trace-event JSON of the events that @p filter takes: requests, attempts and role changes as
/// spans, messages as flows, all else as instants; one process for each instance.
std::string chromeTrace(const MergedTimeline &timeline, const EventFilter &filter);

} // namespace gentianramp
