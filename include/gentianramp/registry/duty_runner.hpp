#pragma once

#include <cstdint>
#include <deque>
#include <gentianramp/core/clock.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianramp {

/// A call that one instance at a time may make.
struct DutyCall
{
    enum class Kind {
        ReportUsage,  ///< Every call has to be delivered.
        OrderServers, ///< Only the newest call of a subject counts.
    };

    Kind kind = Kind::ReportUsage;
    /// Calls of a subject are made one after the other.
    std::string subject;
    /// Tells calls of a subject apart that do not replace each other.
    std::string variant;
    std::string body; ///< Sent as it is.
    bool operator==(const DutyCall &) const = default;
};

/// How a call ended.
enum class DutyAnswer {
    Done,        ///< Carried out.
    Unavailable, ///< It can't be carried out now.
    Rejected,    ///< It is not repeated.
    Unanswered,  ///< Too many calls, an error of the receiver, or no answer: it is repeated.
};

/// Whether this process may make calls that one instance at a time may make, and under which
/// fencing token. Performs no I/O.
class DutyAuthority
{
public:
    /// @p margin is the time from which a new holder makes calls: the former one may take itself
    /// for the holder for a while, and its last call may still be on its way.
    explicit DutyAuthority(Duration margin)
        : m_margin(margin)
    { }

    /// This process leads from @p now on; @p token is larger than those of all former holders.
    void gain(std::uint64_t token, TimePoint now);
    void lose() { m_token = 0; }
    bool mayAct(TimePoint now) const { return m_token != 0 && now >= m_actsFrom; }
    /// 0 while this process does not lead.
    std::uint64_t token() const { return m_token; }

private:
    Duration m_margin;
    std::uint64_t m_token = 0;
    TimePoint m_actsFrom{};
};

/// Allows one call after the leadership was confirmed. Checked directly before the first byte is
/// sent: the process may have been suspended, or have lost and regained the leadership, meanwhile.
class DutyPermit
{
public:
    /// Longest time from the request for the confirmation to the call. With the time-out of a call
    /// it stays below the margin after which a successor, elected directly after the confirmation,
    /// makes calls.
    static constexpr Duration MaxAge = std::chrono::milliseconds(700);

    /// @p askedAt is when the confirmation was asked for.
    DutyPermit(std::uint64_t token, TimePoint askedAt)
        : m_token(token)
        , m_askedAt(askedAt)
    { }

    bool isValid(const DutyAuthority &authority, TimePoint now) const
    {
        return authority.token() == m_token && authority.mayAct(now) && now - m_askedAt <= MaxAge;
    }
    std::uint64_t token() const { return m_token; }
    bool operator==(const DutyPermit &) const = default;

private:
    std::uint64_t m_token;
    TimePoint m_askedAt;
};

/// Options of a DutyRunner.
struct DutyRunnerOptions
{
    /// Share of the receiver's rate limit that is used.
    double callsPerSecond = 25;
    Duration firstRetryDelay = std::chrono::milliseconds(250); ///< Doubles with each failure.
    Duration longestRetryDelay = std::chrono::seconds(2);
};

/// Decides when calls are made: at a bounded rate, one at a time for each subject, and again after
/// a failure. Performs no I/O.
class DutyRunner
{
public:
    explicit DutyRunner(DutyRunnerOptions options);

    /// Adds a call. It replaces a waiting call of its kind, subject and variant, unless each call
    /// of the kind has to be delivered.
    void add(DutyCall call, TimePoint now);
    /// The next call to make now; empty if there is none. To be called until it is empty.
    std::optional<DutyCall> take(TimePoint now);
    /// The call that take() returned ended.
    void finish(const DutyCall &call, DutyAnswer answer, TimePoint now);
    /// Drops all calls: this process is not the holder any more.
    void clear();
    std::size_t waiting() const;

private:
    struct Subject
    {
        std::deque<DutyCall> calls;
        bool inFlight = false;
        std::uint32_t failures = 0; ///< In a row.
        TimePoint notBefore{};
    };
    using SubjectKey = std::pair<DutyCall::Kind, std::string>;

    DutyRunnerOptions m_options;
    TimePoint m_nextCallAt{};
    std::map<SubjectKey, Subject> m_subjects;
};

} // namespace gentianramp
