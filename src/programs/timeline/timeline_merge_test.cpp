#include "merged_timeline.hpp"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

constexpr std::int64_t Millisecond = 1'000'000;
constexpr std::int64_t WallBase = 1'790'000'000'000;

/// Processes whose clocks differ by known amounts.
class FakeFleet
{
public:
    explicit FakeFleet(std::uint64_t seed)
        : m_random(seed)
    { }

    void setClock(const std::string &instance, std::int64_t aheadNs)
    {
        m_ahead[instance] = aheadNs;
    }

    void record(const std::string &instance, EventKind kind, std::int64_t trueNs,
                const std::string &request)
    {
        ClockedEvent event;
        event.clock = {instance, 0};
        event.event.kind = kind;
        event.event.instance = instance;
        event.event.monotonicNs = trueNs + m_ahead[instance];
        event.event.wallMs = WallBase + trueNs / Millisecond;
        event.event.request = request;
        m_events.push_back(std::move(event));
    }

    void message(const std::string &from, const std::string &to, std::int64_t trueNs)
    {
        const std::string id = from + "/1/" + std::to_string(++m_sequence);
        std::uniform_int_distribution<std::int64_t> transit(Millisecond, 20 * Millisecond);
        record(from, EventKind::MessageSent, trueNs, id);
        record(to, EventKind::MessageReceived, trueNs + transit(m_random), id);
    }

    const std::vector<ClockedEvent> &events() const { return m_events; }

private:
    std::mt19937_64 m_random;
    std::map<std::string, std::int64_t> m_ahead;
    std::vector<ClockedEvent> m_events;
    std::uint64_t m_sequence = 0;
};

TimelineEvent event(EventKind kind, const std::string &instance, std::int64_t monotonicNs)
{
    TimelineEvent result;
    result.kind = kind;
    result.instance = instance;
    result.monotonicNs = monotonicNs;
    return result;
}

std::int64_t offsetBetween(const ClockOffsets &offsets, const std::string &left,
                           const std::string &right)
{
    return offsets.at({left, 0}).offsetNs - offsets.at({right, 0}).offsetNs;
}

} // namespace

Test(ClockOffsets, MessagesBothWaysBoundTheError)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        FakeFleet fleet(seed);
        const std::int64_t ahead = static_cast<std::int64_t>(seed) * 977 * Millisecond;
        fleet.setClock("b", ahead);
        for (int round = 0; round < 100; ++round) {
            fleet.message("a", "b", round * 50 * Millisecond);
            fleet.message("b", "a", round * 50 * Millisecond + Millisecond);
        }
        const ClockOffsets offsets = estimateOffsets(fleet.events());
        const std::int64_t error
            = std::max(offsets.at({"a", 0}).errorNs, offsets.at({"b", 0}).errorNs);
        const std::int64_t found = offsetBetween(offsets, "a", "b");
        cr_assert_leq(std::llabs(found - ahead), error);
        cr_assert_lt(error, 3 * Millisecond);
    }
}

Test(ClockOffsets, LateStampsOfSendingsStayWithinTheError)
{
    // The receiver stamps a message before its sender's event is stamped.
    FakeFleet fleet(1);
    for (int round = 0; round < 10; ++round) {
        const std::int64_t time = round * Millisecond;
        const std::string suffix = std::to_string(round);
        fleet.record("a", EventKind::MessageSent, time + 80'000, "a/1/" + suffix);
        fleet.record("b", EventKind::MessageReceived, time + 20'000, "a/1/" + suffix);
        fleet.record("b", EventKind::MessageSent, time + 30'000, "b/1/" + suffix);
        fleet.record("a", EventKind::MessageReceived, time + 40'000, "b/1/" + suffix);
    }
    const ClockOffsets offsets = estimateOffsets(fleet.events());
    const std::int64_t error = std::max(offsets.at({"a", 0}).errorNs, offsets.at({"b", 0}).errorNs);
    cr_assert_leq(std::llabs(offsetBetween(offsets, "a", "b")), error);
}

Test(ClockOffsets, GoOverOtherProcesses)
{
    FakeFleet fleet(3);
    fleet.setClock("b", 500 * Millisecond);
    fleet.setClock("c", -9000 * Millisecond);
    for (int round = 0; round < 200; ++round) {
        fleet.message("a", "b", round * Millisecond);
        fleet.message("b", "a", round * Millisecond);
        fleet.message("b", "c", round * Millisecond);
        fleet.message("c", "b", round * Millisecond);
    }
    const ClockOffsets offsets = estimateOffsets(fleet.events());
    cr_assert(offsets.at({"b", 0}).source == OffsetSource::Reference);
    const std::int64_t found = offsetBetween(offsets, "a", "c");
    cr_assert_leq(std::llabs(found + 9000 * Millisecond), 6 * Millisecond);
}

Test(ClockOffsets, FallBackToOneWayAndToTheWallClock)
{
    FakeFleet fleet(4);
    fleet.setClock("b", 70 * Millisecond);
    fleet.setClock("c", 5000 * Millisecond);
    fleet.message("a", "b", 0);
    fleet.record("c", EventKind::ProcessStarted, 10 * Millisecond, "");
    const ClockOffsets offsets = estimateOffsets(fleet.events());
    cr_assert(offsets.at({"b", 0}).source == OffsetSource::OneWay
              || offsets.at({"a", 0}).source == OffsetSource::OneWay);
    cr_assert(offsets.at({"c", 0}).source == OffsetSource::WallClock);
    cr_assert_leq(std::llabs(offsetBetween(offsets, "a", "c") - 5000 * Millisecond),
                  2 * Millisecond);
}

Test(MergedTimeline, PutsCausesBeforeEffects)
{
    FakeFleet fleet(5);
    fleet.setClock("b", -3000 * Millisecond);
    for (int round = 0; round < 50; ++round) {
        fleet.message("a", "b", round * Millisecond);
        fleet.message("b", "a", round * Millisecond);
    }
    fleet.record("a", EventKind::RequestAccepted, 100 * Millisecond, "r1");
    fleet.record("b", EventKind::AttemptStarted, 110 * Millisecond, "r1");
    fleet.record("a", EventKind::RequestSettled, 130 * Millisecond, "r1");
    const MergedTimeline timeline = mergeEvents(fleet.events());
    std::vector<EventKind> kinds;
    for (const MergedEvent &each : timeline.events) {
        if (EventFilter{.request = "r1"}.matches(each))
            kinds.push_back(each.event.kind);
    }
    const std::vector<EventKind> expected{EventKind::RequestAccepted, EventKind::AttemptStarted,
                                          EventKind::RequestSettled};
    cr_assert(kinds == expected);
}

Test(EventFiles, CountsBadLinesAndBoundsMemory)
{
    std::stringstream in;
    in << encodeEvent(event(EventKind::ProcessStarted, "a", 5)) << "\n{broken\n\n[]\n";
    for (int round = 0; round < 10; ++round)
        in << encodeEvent(event(EventKind::RequestAccepted, "a", 6 + round)) << '\n';
    LoadedEvents loaded;
    ClockedEvent last;
    readEvents(in, 4, loaded, last);
    cr_assert_eq(loaded.events.size(), 4U);
    cr_assert_eq(loaded.badLines, 2U);
    cr_assert_eq(loaded.droppedEvents, 7U);
}

Test(EventFiles, RebootedMachineHasANewClock)
{
    std::stringstream in;
    in << encodeEvent(event(EventKind::ProcessStarted, "a", 1000)) << '\n'
       << encodeEvent(event(EventKind::ProcessStarted, "a", 2000)) << '\n'
       << encodeEvent(event(EventKind::ProcessStarted, "a", 10)) << '\n';
    LoadedEvents loaded;
    ClockedEvent last;
    readEvents(in, 100, loaded, last);
    cr_assert_eq(loaded.events[1].clock.life, 0U);
    cr_assert_eq(loaded.events[2].clock.life, 1U);
}

Test(EventFiles, RandomBytesAreOnlyCounted)
{
    std::mt19937_64 random(11);
    std::uniform_int_distribution<int> byte(0, 255);
    std::string text = encodeEvent(event(EventKind::Fault, "a", 1)) + "\n";
    for (int count = 0; count < 20000; ++count)
        text += static_cast<char>(byte(random));
    std::istringstream in(text);
    LoadedEvents loaded;
    ClockedEvent last;
    readEvents(in, 100, loaded, last);
    cr_assert_eq(loaded.events.size(), 1U);
    cr_assert_gt(loaded.badLines, 0U);
}

Test(ChromeTrace, HasSpansFlowsAndProcessNames)
{
    FakeFleet fleet(6);
    fleet.record("a", EventKind::RequestAccepted, 0, "r1");
    fleet.message("a", "b", Millisecond);
    fleet.record("a", EventKind::RequestSettled, 30 * Millisecond, "r1");
    const auto trace = nlohmann::json::parse(chromeTrace(mergeEvents(fleet.events()), {}));
    std::string phases;
    for (const auto &each : trace.at("traceEvents"))
        phases += each.at("ph").get<std::string>();
    for (const char phase : {'M', 'b', 'e', 's', 'f'})
        cr_assert(phases.find(phase) != std::string::npos, "no phase %c", phase);
}

Test(MergedTimeline, DescribesAnEventOnOneLine)
{
    FakeFleet fleet(7);
    fleet.record("a", EventKind::RequestAccepted, 0, "r1");
    const MergedTimeline timeline = mergeEvents(fleet.events());
    const std::string line = describeEvent(timeline.events.front());
    cr_assert(line.ends_with("a request_accepted request=r1"), "%s", line.c_str());
    cr_assert(line.starts_with("+0.000000 2026-"), "%s", line.c_str());
}
