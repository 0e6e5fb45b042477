#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace gentianramp {

/// What is known of one prompt part that was present at a crash, in the order of the evidence for
/// its innocence.
enum class PartSuspicion {
    Unanswered,     ///< No answer to a prompt with it is known.
    AnsweredBefore, ///< Prompts with it were answered before the crash, but not since.
    Cleared,        ///< An answer to a prompt with it began after the crash.
};

/// Position of a request as a whole, which is more specific than any part of its prompt.
constexpr std::uint32_t WholeRequest = std::numeric_limits<std::uint32_t>::max();

/// A prompt part, or a request as a whole, that was present at a crash.
struct CrashPart
{
    PartSuspicion suspicion = PartSuspicion::Unanswered;
    /// In its prompt, or WholeRequest; parts further back are more specific.
    std::uint32_t position = 0;
    bool operator==(const CrashPart &) const = default;
};

/// A crash of a backend server, with the prompt parts and the requests that may have caused it.
struct ServerCrash
{
    BackendId server;
    std::int64_t startedAtMs = 0; ///< Tells the crashed incarnation of the server.
    std::string service;
    TimePoint crashedAt{};                    ///< By the clock of this process.
    std::map<std::uint64_t, CrashPart> parts; ///< By number.
    /// When an answer of the service began after the crash, so that it does not fail altogether;
    /// empty: not yet.
    std::optional<TimePoint> worksSince;
    bool operator==(const ServerCrash &) const = default;
};

/// Permission for one entry process to send one request with a blamed part.
struct PartTrial
{
    std::uint64_t part = 0;
    std::uint32_t number = 0; ///< Trials of the part so far, this one included.
    InstanceId instance;      ///< Entry process that may send the request.
    TimePoint grantedAt{};
    bool operator==(const PartTrial &) const = default;
};

/// What one process tells another about crashes.
struct CrashReports
{
    std::vector<ServerCrash> crashes;
    std::vector<PartTrial> trials;
    bool operator==(const CrashReports &) const = default;
};

/// A prompt part, or a request as a whole, that crashes backend servers, as far as the evidence
/// shows.
struct BlamedPart
{
    std::uint64_t part = 0;
    std::uint32_t crashes = 0; ///< Crashes that no other blamed part explains.
    TimePoint lastCrashAt{};
    bool isRequest = false;
    bool operator==(const BlamedPart &) const = default;
};

/// Finds prompt parts that crash the backend servers which answer them.
///
/// Entry processes report which parts waited for an answer at a server when it crashed, and clear
/// each part of which an answer began afterwards. A part that was present at several crashes and
/// never cleared is blamed; crashes that it explains do not count against others. Of parts that
/// were present at the same crashes, those that were never answered are blamed first, and of these
/// the most specific one: if it is the wrong one, requests without it go on crashing servers.
///
/// A request as a whole counts like a part, of which it is the most specific. It is blamed at once:
/// no other request is refused for it, and it may come again before a service works.
/// Reports are merged in any order and any number of times with the same result. Performs no I/O.
class CrashEvidence
{
public:
    /// Records a crash that this process observed, and the parts of its requests there.
    void addCrash(const ServerCrash &crash, TimePoint now);
    /// An answer of @p service to a prompt with these parts began at @p beganAt and is complete
    /// now.
    void noteServed(const std::string &service, std::span<const std::uint64_t> parts,
                    TimePoint beganAt, TimePoint now);
    /// This process uses the last trial of a part. It is reported, since those that granted it may
    /// have restarted and begun to count anew.
    void useTrial(std::uint64_t part);
    /// Adds what another process reported. True when something was new.
    bool merge(const CrashReports &reports, TimePoint now);
    /// Drops crashes that no longer count.
    void expire(TimePoint now);

    /// Parts that are blamed, in the order of their numbers.
    std::vector<BlamedPart> blamed(TimePoint now) const;

    /// Whether this part waited at a crash a while ago and no answer to a prompt with it is known,
    /// from before the crash or since.
    bool isUnanswered(std::uint64_t part, TimePoint now) const;

    /// Number of crashes at which this request waited, if no answer to it is known.
    std::uint32_t unansweredCrashes(std::uint64_t request) const;

    /// Time until a trial of a blamed part may be granted.
    Duration timeToTrial(const BlamedPart &blamedPart, TimePoint now) const;
    /// Grants a trial of a blamed part to @p instance, which refuses requests with it. Empty while
    /// the last crash or trial is too recent.
    std::optional<PartTrial> grantTrial(const BlamedPart &blamedPart, const InstanceId &instance,
                                        TimePoint now);
    /// The last trial of a part; empty when there was none.
    std::optional<PartTrial> lastTrial(std::uint64_t part) const;

    /// Counts changes of the evidence; 0 while there was none.
    std::uint64_t version() const { return m_version; }
    /// What changed after @p version.
    CrashReports changedSince(std::uint64_t version) const;
    /// What this process itself observed or granted after @p version.
    CrashReports observedSince(std::uint64_t version) const;
    /// Digest of the evidence that still matters; equal in processes that hold the same. 0: none.
    std::uint64_t digest() const;
    std::size_t crashCount() const { return m_crashes.size(); }

private:
    using CrashKey = std::pair<BackendId, std::int64_t>;
    struct Entry
    {
        ServerCrash crash;
        std::uint64_t changedAt = 0;  ///< Version.
        std::uint64_t observedAt = 0; ///< Version of the last change that this process observed.
    };
    struct TrialEntry
    {
        PartTrial trial;
        std::uint64_t changedAt = 0;  ///< Version.
        std::uint64_t observedAt = 0; ///< Version at which this process granted or used it.
    };

    bool mergeCrash(const ServerCrash &crash, bool observed, TimePoint now);
    void addBlamedRequests(std::vector<BlamedPart> &blamedParts) const;
    void rememberAnswered(std::span<const std::uint64_t> parts, TimePoint beganAt);
    void dropOldest();

    std::map<CrashKey, Entry> m_crashes;
    std::map<std::uint64_t, TrialEntry> m_trials; ///< By part.
    /// Begin of the last answer of this process to a prompt with a part.
    std::unordered_map<std::uint64_t, TimePoint> m_answeredAt;
    std::uint64_t m_version = 0;
};

} // namespace gentianramp
