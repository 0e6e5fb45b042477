#include <gentianramp/core/timeline.hpp>

#include <array>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <fstream>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/thread.hpp>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace gentianramp {

namespace {

using nlohmann::json;

struct KindName
{
    EventKind kind;
    std::string_view name;
};

constexpr std::array KindNames{
    KindName{EventKind::ProcessStarted, "process_started"},
    KindName{EventKind::ProcessStopping, "process_stopping"},
    KindName{EventKind::ProcessStopped, "process_stopped"},
    KindName{EventKind::RequestAccepted, "request_accepted"},
    KindName{EventKind::RequestRefused, "request_refused"},
    KindName{EventKind::RequestQueued, "request_queued"},
    KindName{EventKind::AttemptStarted, "attempt_started"},
    KindName{EventKind::AttemptFirstByte, "attempt_first_byte"},
    KindName{EventKind::AttemptEnded, "attempt_ended"},
    KindName{EventKind::RequestSettled, "request_settled"},
    KindName{EventKind::MessageSent, "message_sent"},
    KindName{EventKind::MessageReceived, "message_received"},
    KindName{EventKind::MessageDropped, "message_dropped"},
    KindName{EventKind::ConfigurationAccepted, "configuration_accepted"},
    KindName{EventKind::ConfigurationInForce, "configuration_in_force"},
    KindName{EventKind::LeaseAcquired, "lease_acquired"},
    KindName{EventKind::LeaseLost, "lease_lost"},
    KindName{EventKind::LeaderElected, "leader_elected"},
    KindName{EventKind::OrderSent, "order_sent"},
    KindName{EventKind::OrderAnswered, "order_answered"},
    KindName{EventKind::RoleChangeStarted, "role_change_started"},
    KindName{EventKind::RoleChangeEnded, "role_change_ended"},
    KindName{EventKind::BackendLeaving, "backend_leaving"},
    KindName{EventKind::BackendUnhealthy, "backend_unhealthy"},
    KindName{EventKind::BackendHealthy, "backend_healthy"},
    KindName{EventKind::PeerReachable, "peer_reachable"},
    KindName{EventKind::PeerUnreachable, "peer_unreachable"},
    KindName{EventKind::InvariantBroken, "invariant_broken"},
    KindName{EventKind::Fault, "fault"},
};

std::filesystem::path rotatedName(const std::filesystem::path &file)
{
    return file.string() + ".1";
}

} // namespace

std::string_view toString(EventKind kind)
{
    for (const KindName &entry : KindNames) {
        if (entry.kind == kind)
            return entry.name;
    }
    return "unknown";
}

std::optional<EventKind> parseEventKind(std::string_view text)
{
    for (const KindName &entry : KindNames) {
        if (entry.name == text)
            return entry.kind;
    }
    return std::nullopt;
}

std::string encodeEvent(const TimelineEvent &event)
{
    json line{
        {"kind", toString(event.kind)},
        {"mono_ns", event.monotonicNs},
        {"wall_ms", event.wallMs},
        {"instance", event.instance},
    };
    if (!event.request.empty())
        line["request"] = event.request;
    if (event.attempt != 0)
        line["attempt"] = event.attempt;
    if (event.term != 0)
        line["term"] = event.term;
    if (!event.peer.empty())
        line["peer"] = event.peer;
    if (!event.detail.empty())
        line["detail"] = event.detail;
    return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<TimelineEvent> decodeEvent(std::string_view line)
{
    const json parsed = json::parse(line, nullptr, false);
    if (!parsed.is_object())
        return {Error::Malformed, "not a JSON object"};
    try {
        const auto kind = parseEventKind(parsed.at("kind").get<std::string>());
        if (!kind)
            return {Error::Malformed, "unknown event kind"};
        TimelineEvent event;
        event.kind = *kind;
        event.monotonicNs = parsed.at("mono_ns").get<std::int64_t>();
        event.wallMs = parsed.at("wall_ms").get<std::int64_t>();
        event.instance = parsed.at("instance").get<std::string>();
        event.request = parsed.value("request", std::string());
        event.attempt = parsed.value("attempt", 0U);
        event.term = parsed.value("term", std::uint64_t{0});
        event.peer = parsed.value("peer", std::string());
        event.detail = parsed.value("detail", std::string());
        return event;
    } catch (const json::exception &problem) {
        return {Error::Malformed, problem.what()};
    }
}

struct TimelineWriter::State
{
    explicit State(TimelineOptions chosen)
        : options(std::move(chosen))
    { }

    void run()
    {
        std::unique_lock lock(mutex);
        for (;;) {
            wake.wait(lock, [this] { return stopping || !queue.empty(); });
            if (queue.empty())
                return;
            std::deque<TimelineEvent> batch;
            batch.swap(queue);
            lock.unlock();
            for (const TimelineEvent &event : batch)
                write(event);
            out.flush();
            lock.lock();
            written += batch.size();
            drained.notify_all();
        }
    }

    void open()
    {
        std::error_code ignored;
        std::filesystem::create_directories(options.file.parent_path(), ignored);
        out.open(options.file, std::ios::app);
        bytes = std::filesystem::file_size(options.file, ignored);
        if (ignored)
            bytes = 0;
    }

    void write(const TimelineEvent &event)
    {
        const std::string line = encodeEvent(event);
        if (bytes + line.size() > options.maxBytes)
            rotate();
        out << line << '\n';
        bytes += line.size() + 1;
    }

    void rotate()
    {
        std::error_code ignored;
        out.close();
        std::filesystem::rename(options.file, rotatedName(options.file), ignored);
        out.open(options.file, std::ios::trunc);
        bytes = 0;
    }

    const TimelineOptions options;
    std::mutex mutex;
    std::condition_variable wake;
    std::condition_variable drained;
    std::deque<TimelineEvent> queue;
    std::uint64_t queued = 0;
    std::uint64_t written = 0;
    bool stopping = false;
    std::atomic<std::uint64_t> droppedCount{0};
    std::ofstream out;
    std::uint64_t bytes = 0;
    std::thread thread;
};

TimelineWriter::TimelineWriter(TimelineOptions options)
    : m_state(std::make_unique<State>(std::move(options)))
{
    if (m_state->options.file.empty())
        return;
    m_state->open();
    m_state->thread = std::thread([state = m_state.get()] {
        setThreadName("timeline");
        state->run();
    });
}

TimelineWriter::~TimelineWriter()
{
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->stopping = true;
    }
    m_state->wake.notify_all();
    if (m_state->thread.joinable())
        m_state->thread.join();
}

void TimelineWriter::record(TimelineEvent event)
{
    if (m_state->options.file.empty())
        return;
    if (event.monotonicNs == 0)
        event.monotonicNs = RuntimeClock::now().time_since_epoch().count();
    event.wallMs = wallClockMs();
    event.instance = m_state->options.instance;
    {
        const std::lock_guard lock(m_state->mutex);
        if (m_state->queue.size() >= m_state->options.maxQueuedEvents) {
            m_state->droppedCount.fetch_add(1, std::memory_order_relaxed);
            return;
        }
        m_state->queue.push_back(std::move(event));
        ++m_state->queued;
    }
    m_state->wake.notify_one();
}

void TimelineWriter::flush()
{
    std::unique_lock lock(m_state->mutex);
    m_state->drained.wait(lock, [this] { return m_state->written == m_state->queued; });
}

std::uint64_t TimelineWriter::dropped() const
{
    return m_state->droppedCount.load(std::memory_order_relaxed);
}

} // namespace gentianramp
