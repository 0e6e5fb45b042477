#include "merged_timeline.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

namespace gentianramp {

namespace {

constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;
constexpr std::int64_t NanosecondsPerMillisecond = 1'000'000;
constexpr std::int64_t MillisecondsPerSecond = 1000;

/// Median of wall time minus time on the reference clock, over the events of that clock.
std::int64_t wallAtZero(const std::vector<ClockedEvent> &events, const ClockOffsets &offsets)
{
    std::vector<std::int64_t> differences;
    for (const ClockedEvent &each : events) {
        if (offsets.at(each.clock).source == OffsetSource::Reference)
            differences.push_back(each.event.wallMs * NanosecondsPerMillisecond
                                  - each.event.monotonicNs);
    }
    const auto middle = differences.begin() + static_cast<std::ptrdiff_t>(differences.size() / 2);
    std::nth_element(differences.begin(), middle, differences.end());
    return *middle;
}

std::string describeWallTime(std::int64_t wallMs)
{
    const std::time_t seconds = wallMs / MillisecondsPerSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 64> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
                  parts.tm_year + 1900, parts.tm_mon + 1, parts.tm_mday, parts.tm_hour,
                  parts.tm_min, parts.tm_sec, static_cast<int>(wallMs % MillisecondsPerSecond));
    return buffer.data();
}

std::string describeNs(std::int64_t value, int decimals)
{
    std::array<char, 64> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%+.*f", decimals,
                  static_cast<double>(value) / static_cast<double>(NanosecondsPerSecond));
    return buffer.data();
}

void appendField(std::string &line, std::string_view key, const std::string &value)
{
    if (value.empty())
        return;
    line += ' ';
    line += key;
    line += '=';
    line += value;
}

} // namespace

MergedTimeline mergeEvents(const std::vector<ClockedEvent> &events)
{
    MergedTimeline timeline;
    if (events.empty())
        return timeline;
    timeline.offsets = estimateOffsets(events);
    const std::int64_t wallNs = wallAtZero(events, timeline.offsets);
    timeline.events.reserve(events.size());
    for (const ClockedEvent &each : events) {
        // Offsets say how a clock lags behind the reference, so they are added.
        const std::int64_t time = each.event.monotonicNs + timeline.offsets.at(each.clock).offsetNs;
        timeline.events.push_back({time, (time + wallNs) / NanosecondsPerMillisecond, each.event});
    }
    std::stable_sort(timeline.events.begin(), timeline.events.end(),
                     [](const MergedEvent &left, const MergedEvent &right) {
                         return left.timeNs < right.timeNs;
                     });
    const std::int64_t first = timeline.events.front().timeNs;
    for (MergedEvent &each : timeline.events)
        each.timeNs -= first;
    return timeline;
}

bool EventFilter::matches(const MergedEvent &event) const
{
    const EventKind kind = event.event.kind;
    const bool isMessage = kind == EventKind::MessageSent || kind == EventKind::MessageReceived;
    if (isMessage && !messages && request.empty())
        return false;
    if (!request.empty() && event.event.request != request)
        return false;
    return (!fromNs || event.timeNs >= *fromNs) && (!toNs || event.timeNs <= *toNs);
}

std::string describeEvent(const MergedEvent &event)
{
    std::string line = describeNs(event.timeNs, 6) + ' ' + describeWallTime(event.wallMs) + ' '
        + event.event.instance + ' ' + std::string(toString(event.event.kind));
    appendField(line, "request", event.event.request);
    if (event.event.attempt != 0)
        appendField(line, "attempt", std::to_string(event.event.attempt));
    if (event.event.term != 0)
        appendField(line, "term", std::to_string(event.event.term));
    appendField(line, "peer", event.event.peer);
    appendField(line, "detail", event.event.detail);
    return line;
}

std::string describeOffsets(const ClockOffsets &offsets)
{
    std::string text;
    for (const auto &[clock, offset] : offsets) {
        text += "clock " + clock.instance;
        if (clock.life > 0)
            text += "#" + std::to_string(clock.life);
        text += " offset=" + describeNs(offset.offsetNs, 6) + "s";
        if (offset.source == OffsetSource::BothWays)
            text += " error=" + describeNs(offset.errorNs, 6).substr(1) + "s";
        text += " by ";
        text += toString(offset.source);
        text += '\n';
    }
    return text;
}

} // namespace gentianramp
