#pragma once

#include <cstdint>
#include <filesystem>
#include <gentianramp/core/error.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gentianramp {

/// Kinds of events on the time line.
enum class EventKind {
    ProcessStarted,
    ProcessStopping,
    ProcessStopped,
    RequestAccepted,
    RequestRefused,
    RequestQueued,
    AttemptStarted,
    AttemptFirstByte,
    AttemptEnded,
    RequestSettled,
    MessageSent,
    MessageReceived,
    MessageDropped,
    ConfigurationAccepted,
    ConfigurationInForce,
    LeaseAcquired,
    LeaseLost,
    LeaderElected,
    OrderSent,
    OrderAnswered,
    RoleChangeStarted,
    RoleChangeEnded,
    BackendLeaving,
    BackendUnhealthy,
    BackendHealthy,
    PeerReachable,
    PeerUnreachable,
    InvariantBroken,
    Fault,
};

std::string_view toString(EventKind kind);
std::optional<EventKind> parseEventKind(std::string_view text);

/// One event of one process.
struct TimelineEvent
{
    EventKind kind = EventKind::ProcessStarted;
    std::int64_t monotonicNs = 0; ///< Clock of the runtime at the event.
    std::int64_t wallMs = 0;      ///< Milliseconds since the Unix epoch.
    std::string instance;         ///< Process that wrote the event.
    std::string request;          ///< Request id, message id or empty.
    std::uint32_t attempt = 0;    ///< Attempt number or 0.
    std::uint64_t term = 0;       ///< Term, fencing number or revision; 0 when none applies.
    std::string peer;             ///< Instance or backend server at the other end, or empty.
    std::string detail;           ///< Free text.

    bool operator==(const TimelineEvent &) const = default;
};

/// Writes @p event as one line of JSON without the line end.
std::string encodeEvent(const TimelineEvent &event);
/// Reads a line that encodeEvent() wrote.
Result<TimelineEvent> decodeEvent(std::string_view line);

/// Options of a TimelineWriter.
struct TimelineOptions
{
    std::filesystem::path file;                ///< Written to; an empty path discards all events.
    std::string instance;                      ///< Name of the writing process.
    std::uint64_t maxBytes = 16 * 1024 * 1024; ///< Size at which the file is rotated to ".1".
    std::size_t maxQueuedEvents = 8192;        ///< Events beyond it are dropped and counted.
};

/// Records events from any thread; a background thread writes them to a bounded file.
class TimelineWriter
{
public:
    explicit TimelineWriter(TimelineOptions options);
    ~TimelineWriter();
    TimelineWriter(const TimelineWriter &) = delete;
    TimelineWriter &operator=(const TimelineWriter &) = delete;

    /// Stamps @p event with times and the instance's name and queues it; a monotonicNs other than
    /// 0 is kept.
    void record(TimelineEvent event);
    /// Blocks until all queued events are in the file.
    void flush();
    /// Events dropped because the queue was full.
    std::uint64_t dropped() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianramp
