#include "clock_offsets.hpp"

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <queue>
#include <string_view>
#include <unordered_map>

namespace gentianramp {

namespace {

constexpr std::int64_t NanosecondsPerMillisecond = 1'000'000;
constexpr std::int64_t RecordingDelayNs = 100'000; // an event is stamped after its message went
constexpr std::int64_t OneWayPenaltyNs = 3'600'000'000'000; // one way only when there is no other

/// Direction in which messages went.
struct Direction
{
    ClockName from;
    ClockName to;
    auto operator<=>(const Direction &) const = default;
};

/// Smallest receipt time minus sending time of each direction, and how many pairs there were.
struct MatchedPairs
{
    std::map<Direction, std::int64_t> smallest;
    std::map<ClockName, std::uint64_t> count;
};

MatchedPairs matchPairs(const std::vector<ClockedEvent> &events)
{
    std::unordered_map<std::string_view, const ClockedEvent *> sendings;
    for (const ClockedEvent &each : events) {
        if (each.event.kind == EventKind::MessageSent && !each.event.request.empty())
            sendings.try_emplace(each.event.request, &each);
    }
    MatchedPairs pairs;
    for (const ClockedEvent &each : events) {
        if (each.event.kind != EventKind::MessageReceived)
            continue;
        const auto sending = sendings.find(each.event.request);
        if (sending == sendings.end() || sending->second->clock == each.clock)
            continue;
        const ClockName &from = sending->second->clock;
        const std::int64_t difference = each.event.monotonicNs - sending->second->event.monotonicNs;
        const auto [entry, isNew] = pairs.smallest.try_emplace({from, each.clock}, difference);
        if (!isNew)
            entry->second = std::min(entry->second, difference);
        ++pairs.count[from];
        ++pairs.count[each.clock];
    }
    return pairs;
}

/// How far the clock of @p to is ahead of that of @p from.
ClockOffset aheadOf(const MatchedPairs &pairs, const ClockName &from, const ClockName &to)
{
    const auto there = pairs.smallest.find({from, to});
    const auto back = pairs.smallest.find({to, from});
    const auto end = pairs.smallest.end();
    if (there != end && back != end)
        return {(there->second - back->second) / 2,
                std::abs(there->second + back->second) / 2 + RecordingDelayNs,
                OffsetSource::BothWays};
    if (there != end)
        return {there->second, OneWayPenaltyNs, OffsetSource::OneWay};
    return {-back->second, OneWayPenaltyNs, OffsetSource::OneWay};
}

std::map<ClockName, std::vector<ClockName>> neighboursOf(const MatchedPairs &pairs)
{
    std::map<ClockName, std::vector<ClockName>> neighbours;
    for (const auto &[direction, smallest] : pairs.smallest) {
        neighbours[direction.from].push_back(direction.to);
        neighbours[direction.to].push_back(direction.from);
    }
    return neighbours;
}

/// Median of wall time minus monotonic time of each clock.
std::map<ClockName, std::int64_t> wallDifferences(const std::vector<ClockedEvent> &events)
{
    std::map<ClockName, std::vector<std::int64_t>> differences;
    for (const ClockedEvent &each : events)
        differences[each.clock].push_back(each.event.wallMs * NanosecondsPerMillisecond
                                          - each.event.monotonicNs);
    std::map<ClockName, std::int64_t> medians;
    for (auto &[clock, values] : differences) {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        medians.emplace(clock, *middle);
    }
    return medians;
}

/// A clock that can be joined, with its estimate.
struct Candidate
{
    ClockOffset offset;
    ClockName clock;
    bool operator>(const Candidate &other) const
    {
        return std::tie(offset.errorNs, clock) > std::tie(other.offset.errorNs, other.clock);
    }
};

/// Joins all clocks that messages lead to from @p reference.
ClockOffsets joinFrom(const ClockName &reference, const MatchedPairs &pairs)
{
    const auto neighbours = neighboursOf(pairs);
    ClockOffsets joined;
    std::priority_queue<Candidate, std::vector<Candidate>, std::greater<>> candidates;
    candidates.push({{0, 0, OffsetSource::Reference}, reference});
    while (!candidates.empty()) {
        const Candidate next = candidates.top();
        candidates.pop();
        if (!joined.emplace(next.clock, next.offset).second)
            continue;
        const auto around = neighbours.find(next.clock);
        if (around == neighbours.end())
            continue;
        for (const ClockName &other : around->second) {
            ClockOffset offset = aheadOf(pairs, next.clock, other);
            offset.offsetNs = next.offset.offsetNs - offset.offsetNs;
            offset.errorNs += next.offset.errorNs;
            if (next.offset.source == OffsetSource::OneWay)
                offset.source = OffsetSource::OneWay;
            candidates.push({offset, other});
        }
    }
    return joined;
}

ClockName chooseReference(const MatchedPairs &pairs, const std::vector<ClockedEvent> &events)
{
    const auto most = std::max_element(
        pairs.count.begin(), pairs.count.end(),
        [](const auto &left, const auto &right) { return left.second < right.second; });
    return most == pairs.count.end() ? events.front().clock : most->first;
}

} // namespace

std::string_view toString(OffsetSource source)
{
    switch (source) {
    case OffsetSource::Reference:
        return "reference";
    case OffsetSource::BothWays:
        return "messages both ways";
    case OffsetSource::OneWay:
        return "messages one way";
    case OffsetSource::WallClock:
        return "wall clock";
    }
    return "unknown";
}

ClockOffsets estimateOffsets(const std::vector<ClockedEvent> &events)
{
    if (events.empty())
        return {};
    const MatchedPairs pairs = matchPairs(events);
    const ClockName reference = chooseReference(pairs, events);
    ClockOffsets offsets = joinFrom(reference, pairs);
    const auto wall = wallDifferences(events);
    for (const auto &[clock, difference] : wall)
        offsets.try_emplace(
            clock, ClockOffset{difference - wall.at(reference), 0, OffsetSource::WallClock});
    return offsets;
}

} // namespace gentianramp
