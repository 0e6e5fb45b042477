#include <gentianramp/registry/crash_evidence.hpp>

#include <algorithm>
#include <functional>

namespace gentianramp {

namespace {

/// Crashes at which a part has to be present before it is blamed.
constexpr std::uint32_t CrashesBeforeBlame = 3;
/// The same for a part that was answered before, and for several that nothing tells apart.
constexpr std::uint32_t CrashesBeforeDoubtfulBlame = 5;
/// Crashes within this time may have a common cause other than a prompt, such as a rack that loses
/// power; crashes at one moment alone blame nothing.
constexpr Duration CommonCauseTime = std::chrono::milliseconds(100);
constexpr std::uint32_t MomentsBeforeBlame = 2;
/// Weight of a crash for a part that was never answered, where it is 1 for others.
constexpr std::size_t NeverAnsweredWeight = 2;
/// Time after a crash in which answers to other prompts clear the parts that they share. Covers an
/// answer and its report to all processes.
constexpr Duration ClearingTime = std::chrono::milliseconds(1000);
/// The same from the first answer of the service after the crash, which may come late.
constexpr Duration RestartedClearingTime = std::chrono::milliseconds(250);
/// Crashes that are further apart are not counted together.
constexpr Duration EvidenceLifetime = std::chrono::minutes(2);
/// Lifetime of a blamed part's crashes while no request with it arrives for a trial.
constexpr Duration BlameLifetime = std::chrono::hours(1);
/// Time from the last crash to the first trial; doubles with each trial.
constexpr Duration FirstTrialDelay = std::chrono::seconds(30);
constexpr std::uint32_t MaxTrialDoublings = 6;
/// Trials of a request; it crashes a server again at most as often, and is forgotten like any other
/// suspect.
constexpr std::uint32_t MaxRequestTrials = 2;
constexpr std::size_t MaxCrashes = 256;
constexpr std::size_t MaxPartsOfCrash = 512;
constexpr std::size_t MaxAnsweredParts = 8192;

void combine(std::uint64_t &hash, std::uint64_t value)
{
    hash = (hash ^ value) * 0x9e3779b97f4a7c15ULL;
    hash ^= hash >> 32;
}

std::uint64_t hashOf(const std::string &text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL; // FNV-1a
    for (const char character : text)
        hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
    return hash;
}

std::uint64_t hashOf(const ServerCrash &crash)
{
    std::uint64_t hash = hashOf(crash.server.value());
    combine(hash, static_cast<std::uint64_t>(crash.startedAtMs));
    combine(hash, crash.worksSince ? 1 : 0);
    for (const auto &[number, part] : crash.parts) {
        combine(hash, number);
        combine(hash, part.position);
        combine(hash, static_cast<std::uint64_t>(part.suspicion));
    }
    return hash;
}

bool hasSuspects(const ServerCrash &crash)
{
    return std::any_of(crash.parts.begin(), crash.parts.end(), [](const auto &entry) {
        return entry.second.suspicion != PartSuspicion::Cleared;
    });
}

bool suspects(const ServerCrash &crash, std::uint64_t part)
{
    const auto found = crash.parts.find(part);
    return found != crash.parts.end() && found->second.suspicion != PartSuspicion::Cleared;
}

/// Evidence against one part.
struct Charge
{
    std::vector<TimePoint> crashTimes; ///< In order.
    bool answeredBefore = false;
    std::uint32_t position = 0;

    /// Number of crashes without a common cause.
    std::uint32_t moments() const
    {
        std::uint32_t count = 0;
        TimePoint last{};
        for (const TimePoint time : crashTimes) {
            if (count == 0 || time - last >= CommonCauseTime) {
                ++count;
                last = time;
            }
        }
        return count;
    }
};

/// The parts that were present at most of the crashes; empty unless that is enough to blame them.
std::vector<BlamedPart> mostCharged(const std::vector<const ServerCrash *> &crashes)
{
    std::map<std::uint64_t, Charge> charges;
    for (const ServerCrash *crash : crashes) {
        for (const auto &[number, part] : crash->parts) {
            if (part.suspicion == PartSuspicion::Cleared)
                continue;
            Charge &charge = charges[number];
            charge.crashTimes.push_back(crash->crashedAt);
            charge.answeredBefore
                = charge.answeredBefore || part.suspicion == PartSuspicion::AnsweredBefore;
            charge.position = std::max(charge.position, part.position);
        }
    }
    std::pair<std::size_t, std::uint32_t> highest; // Weight and position.
    std::vector<BlamedPart> parts;
    for (const auto &[part, charge] : charges) {
        const std::size_t crashCount = charge.crashTimes.size();
        const bool isDoubtful = charge.answeredBefore;
        if (charge.moments() < MomentsBeforeBlame
            || crashCount < (isDoubtful ? CrashesBeforeDoubtfulBlame : CrashesBeforeBlame))
            continue;
        const std::pair rank((isDoubtful ? 1 : NeverAnsweredWeight) * crashCount, charge.position);
        if (rank < highest)
            continue;
        if (rank > highest)
            parts.clear();
        highest = rank;
        parts.push_back({part, static_cast<std::uint32_t>(crashCount), charge.crashTimes.back(),
                         charge.position == WholeRequest});
    }
    if (parts.size() > 1 && parts.front().crashes < CrashesBeforeDoubtfulBlame)
        parts.clear();
    return parts;
}

} // namespace

void CrashEvidence::addCrash(const ServerCrash &crash, TimePoint now)
{
    mergeCrash(crash, true, now);
}

bool CrashEvidence::mergeCrash(const ServerCrash &crash, bool observed, TimePoint now)
{
    if (now - crash.crashedAt > BlameLifetime)
        return false;
    const auto [found, isNew] = m_crashes.try_emplace({crash.server, crash.startedAtMs});
    Entry &entry = found->second;
    ServerCrash merged = isNew ? crash : entry.crash;
    if (isNew)
        merged.parts.clear(); // They are added below, within the bound.
    // Ages grow on their way between processes, so that the earliest time is the closest one.
    merged.crashedAt = std::min(merged.crashedAt, crash.crashedAt);
    if (crash.worksSince)
        merged.worksSince
            = std::min(merged.worksSince.value_or(*crash.worksSince), *crash.worksSince);
    for (const auto &[number, part] : crash.parts) {
        CrashPart &known = merged.parts.try_emplace(number, part).first->second;
        known.suspicion = std::max(known.suspicion, part.suspicion);
        known.position = std::max(known.position, part.position);
        const auto answered = m_answeredAt.find(number);
        if (answered == m_answeredAt.end() || known.suspicion == PartSuspicion::Cleared)
            continue;
        const bool isCleared = answered->second > merged.crashedAt;
        const PartSuspicion own
            = isCleared ? PartSuspicion::Cleared : PartSuspicion::AnsweredBefore;
        observed = observed || own > known.suspicion;
        known.suspicion = std::max(known.suspicion, own);
        if (isCleared && !merged.worksSince)
            merged.worksSince = now;
    }
    // The same parts are kept in all processes.
    while (merged.parts.size() > MaxPartsOfCrash)
        merged.parts.erase(std::prev(merged.parts.end()));
    const bool changed = isNew || merged.parts != entry.crash.parts
        || merged.worksSince.has_value() != entry.crash.worksSince.has_value();
    entry.crash = std::move(merged);
    if (!changed)
        return false;
    entry.changedAt = ++m_version;
    if (observed)
        entry.observedAt = m_version;
    if (m_crashes.size() > MaxCrashes)
        dropOldest();
    return true;
}

void CrashEvidence::dropOldest()
{
    m_crashes.erase(
        std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto &a, const auto &b) {
            const bool aMatters = hasSuspects(a.second.crash);
            const bool bMatters = hasSuspects(b.second.crash);
            return std::tuple(aMatters, a.second.crash.crashedAt)
                < std::tuple(bMatters, b.second.crash.crashedAt);
        }));
}

void CrashEvidence::noteServed(const std::string &service, std::span<const std::uint64_t> parts,
                               TimePoint beganAt, TimePoint now)
{
    rememberAnswered(parts, beganAt);
    for (auto &[key, entry] : m_crashes) {
        ServerCrash &crash = entry.crash;
        if (beganAt <= crash.crashedAt)
            continue;
        bool changed = false;
        if (crash.service == service && !crash.worksSince) {
            crash.worksSince = now;
            changed = true;
        }
        for (const std::uint64_t part : parts) {
            const auto found = crash.parts.find(part);
            if (found == crash.parts.end() || found->second.suspicion == PartSuspicion::Cleared)
                continue;
            found->second.suspicion = PartSuspicion::Cleared;
            changed = true;
        }
        if (changed)
            entry.changedAt = entry.observedAt = ++m_version;
    }
}

void CrashEvidence::rememberAnswered(std::span<const std::uint64_t> parts, TimePoint beganAt)
{
    if (m_answeredAt.size() + parts.size() > MaxAnsweredParts)
        std::erase_if(m_answeredAt, [&](const auto &entry) {
            return beganAt - entry.second >= EvidenceLifetime / 4;
        });
    if (m_answeredAt.size() + parts.size() > MaxAnsweredParts)
        m_answeredAt.clear();
    for (const std::uint64_t part : parts)
        m_answeredAt[part] = std::max(m_answeredAt[part], beganAt);
}

bool CrashEvidence::merge(const CrashReports &reports, TimePoint now)
{
    bool changed = false;
    for (const ServerCrash &crash : reports.crashes)
        changed = mergeCrash(crash, false, now) || changed;
    for (const PartTrial &trial : reports.trials) {
        TrialEntry &known = m_trials[trial.part];
        // Two grants under one number come from two leaders; all processes keep the same one.
        const auto rank = [](const PartTrial &one) { return std::tuple(one.number, one.instance); };
        if (rank(trial) <= rank(known.trial))
            continue;
        known = {trial, ++m_version, 0};
        changed = true;
    }
    return changed;
}

void CrashEvidence::expire(TimePoint now)
{
    const std::vector<BlamedPart> blamedParts = blamed(now);
    std::erase_if(m_crashes, [&](const auto &entry) {
        const ServerCrash &crash = entry.second.crash;
        const bool isBlamed
            = std::any_of(blamedParts.begin(), blamedParts.end(),
                          [&](const BlamedPart &part) { return suspects(crash, part.part); });
        return now - crash.crashedAt > (isBlamed ? BlameLifetime : EvidenceLifetime);
    });
    std::erase_if(m_trials, [&](const auto &entry) {
        return now - entry.second.trial.grantedAt > BlameLifetime;
    });
}

std::vector<BlamedPart> CrashEvidence::blamed(TimePoint now) const
{
    std::vector<const ServerCrash *> unexplained;
    for (const auto &[key, entry] : m_crashes) {
        // Answers to other prompts had time to clear their parts.
        if (entry.crash.worksSince && now - entry.crash.crashedAt >= ClearingTime
            && now - *entry.crash.worksSince >= RestartedClearingTime)
            unexplained.push_back(&entry.crash);
    }
    std::sort(
        unexplained.begin(), unexplained.end(),
        [](const ServerCrash *a, const ServerCrash *b) { return a->crashedAt < b->crashedAt; });
    std::vector<BlamedPart> result;
    for (;;) {
        const std::vector<BlamedPart> next = mostCharged(unexplained);
        if (next.empty())
            break;
        std::erase_if(unexplained, [&](const ServerCrash *crash) {
            return std::any_of(next.begin(), next.end(),
                               [&](const BlamedPart &part) { return suspects(*crash, part.part); });
        });
        result.insert(result.end(), next.begin(), next.end());
    }
    addBlamedRequests(result);
    std::sort(result.begin(), result.end(),
              [](const BlamedPart &a, const BlamedPart &b) { return a.part < b.part; });
    return result;
}

/// Adds requests that were never answered and were at enough crashes that nothing else explains,
/// also while the service works no more.
void CrashEvidence::addBlamedRequests(std::vector<BlamedPart> &blamedParts) const
{
    std::map<std::uint64_t, BlamedPart> charged;
    for (const auto &[key, entry] : m_crashes) {
        const ServerCrash &crash = entry.crash;
        const bool isExplained
            = std::any_of(blamedParts.begin(), blamedParts.end(),
                          [&](const BlamedPart &part) { return suspects(crash, part.part); });
        if (isExplained)
            continue;
        for (const auto &[number, part] : crash.parts) {
            if (part.position != WholeRequest || part.suspicion != PartSuspicion::Unanswered)
                continue;
            BlamedPart &request
                = charged.try_emplace(number, BlamedPart{.part = number}).first->second;
            request.isRequest = true;
            ++request.crashes;
            request.lastCrashAt = std::max(request.lastCrashAt, crash.crashedAt);
        }
    }
    for (const auto &[number, request] : charged) {
        if (request.crashes >= CrashesBeforeBlame)
            blamedParts.push_back(request);
    }
}

std::uint32_t CrashEvidence::unansweredCrashes(std::uint64_t request) const
{
    std::uint32_t count = 0;
    for (const auto &[key, entry] : m_crashes) {
        const auto found = entry.crash.parts.find(request);
        if (found == entry.crash.parts.end())
            continue;
        if (found->second.suspicion != PartSuspicion::Unanswered)
            return 0;
        ++count;
    }
    return count;
}

void CrashEvidence::useTrial(std::uint64_t part)
{
    const auto found = m_trials.find(part);
    if (found != m_trials.end())
        found->second.observedAt = found->second.changedAt = ++m_version;
}

bool CrashEvidence::isUnanswered(std::uint64_t part, TimePoint now) const
{
    return std::any_of(m_crashes.begin(), m_crashes.end(), [&](const auto &entry) {
        const ServerCrash &crash = entry.second.crash;
        const auto found = crash.parts.find(part);
        return now - crash.crashedAt >= ClearingTime && found != crash.parts.end()
            && found->second.suspicion == PartSuspicion::Unanswered;
    });
}

std::optional<PartTrial> CrashEvidence::grantTrial(const BlamedPart &blamedPart,
                                                   const InstanceId &instance, TimePoint now)
{
    if (timeToTrial(blamedPart, now) > Duration::zero())
        return std::nullopt;
    const std::optional<PartTrial> last = lastTrial(blamedPart.part);
    const PartTrial trial{blamedPart.part, last ? last->number + 1 : 1, instance, now};
    ++m_version;
    m_trials[blamedPart.part] = {trial, m_version, m_version};
    return trial;
}

Duration CrashEvidence::timeToTrial(const BlamedPart &blamedPart, TimePoint now) const
{
    const std::optional<PartTrial> last = lastTrial(blamedPart.part);
    if (blamedPart.isRequest && last && last->number >= MaxRequestTrials)
        return std::max<Duration>(blamedPart.lastCrashAt + BlameLifetime - now, FirstTrialDelay);
    const std::uint32_t doublings = std::min(last ? last->number : 0, MaxTrialDoublings);
    const TimePoint since
        = std::max(blamedPart.lastCrashAt, last ? last->grantedAt : blamedPart.lastCrashAt);
    return std::max<Duration>(since + FirstTrialDelay * (1U << doublings) - now, Duration::zero());
}

std::optional<PartTrial> CrashEvidence::lastTrial(std::uint64_t part) const
{
    const auto found = m_trials.find(part);
    return found == m_trials.end() ? std::nullopt : std::optional(found->second.trial);
}

CrashReports CrashEvidence::changedSince(std::uint64_t version) const
{
    CrashReports reports;
    for (const auto &[key, entry] : m_crashes) {
        if (entry.changedAt > version)
            reports.crashes.push_back(entry.crash);
    }
    for (const auto &[part, entry] : m_trials) {
        if (entry.changedAt > version)
            reports.trials.push_back(entry.trial);
    }
    return reports;
}

CrashReports CrashEvidence::observedSince(std::uint64_t version) const
{
    CrashReports reports;
    for (const auto &[key, entry] : m_crashes) {
        if (entry.observedAt > version)
            reports.crashes.push_back(entry.crash);
    }
    for (const auto &[part, entry] : m_trials) {
        if (entry.observedAt > version)
            reports.trials.push_back(entry.trial);
    }
    return reports;
}

std::uint64_t CrashEvidence::digest() const
{
    std::uint64_t digest = 0;
    for (const auto &[key, entry] : m_crashes) {
        if (hasSuspects(entry.crash))
            digest += hashOf(entry.crash);
    }
    for (const auto &[part, entry] : m_trials) {
        std::uint64_t hash = hashOf(entry.trial.instance.value());
        combine(hash, part);
        combine(hash, entry.trial.number);
        digest += hash;
    }
    return digest;
}

} // namespace gentianramp
