#include <gentianramp/admission/served_shares.hpp>

#include <algorithm>
#include <cmath>
#include <random>

namespace gentianramp {

namespace {

/// Long enough to count rare subjects, short enough to follow a burst of a few seconds.
constexpr Duration FadeTime = std::chrono::seconds(10);
/// Callers give up within this time, so that a later request with the same content is a new one.
constexpr Duration RepeatTime = std::chrono::seconds(6);
constexpr Duration PruneInterval = std::chrono::seconds(1);
constexpr double PrunedCount = 0.01;

constexpr double LargeQuantile = 0.9;
/// First samples move the estimate in large steps.
constexpr double FirstStep = 0.5;
constexpr double SmallestStep = 0.02;

constexpr double LargeFloor = 0.5;
constexpr double KindFloor = 0.25;
constexpr double CustomerFloor = 0.25;
/// The rule acts above the floor itself: a subject that is owed a place still waits for it, and
/// each instance counts only its own requests.
constexpr double FloorMargin = 1.4;
/// Shares of fewer requests can't be compared with a floor.
constexpr double MinCompared = 3;

double millisecondsOf(Duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Uniformly distributed in [0, 1) over identities.
double drawnFrom(std::uint64_t identity)
{
    std::mt19937_64 random(identity);
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

void ServedShares::Counts::fade(TimePoint now)
{
    const double kept = std::exp(-std::chrono::duration<double>(now - at) / FadeTime);
    requested *= kept;
    served *= kept;
    at = now;
}

double ServedShares::Counts::share() const
{
    return requested > 0 ? std::min(served / requested, 1.0) : 1;
}

/// Stochastic approximation with steps that are a part of the estimate.
void ServedShares::LargeLimit::add(double value)
{
    ++count;
    if (count == 1)
        ms = value;
    const double step = std::max(FirstStep / std::sqrt(static_cast<double>(count)), SmallestStep);
    ms *= std::exp(step * (value > ms ? LargeQuantile : LargeQuantile - 1));
}

bool ServedShares::isLarge(const AdmissionRequest &request) const
{
    const auto found = m_largeLimits.find(request.kind);
    return found != m_largeLimits.end() && millisecondsOf(request.work) > found->second.ms;
}

void ServedShares::add(const AdmissionRequest &request, double Counts::*member, TimePoint now)
{
    const auto addTo = [&](Counts &counts) {
        counts.fade(now);
        counts.*member += 1;
    };
    addTo(m_all);
    addTo(m_subjects[{SubjectType::Kind, request.kind}]);
    if (isLarge(request))
        addTo(m_subjects[{SubjectType::LargeOfKind, request.kind}]);
    if (!request.customer.empty())
        addTo(m_subjects[{SubjectType::Customer, request.customer}]);
}

void ServedShares::noteRequested(const AdmissionRequest &request, TimePoint now)
{
    prune(now);
    const auto [known, isNew] = m_identities.try_emplace(request.identity, now);
    if (!isNew)
        return;
    m_largeLimits[request.kind].add(millisecondsOf(request.work));
    add(request, &Counts::requested, now);
}

void ServedShares::noteServed(const AdmissionRequest &request, TimePoint now)
{
    add(request, &Counts::served, now);
}

ServedShares::Counts ServedShares::countsOf(const Subject &subject, TimePoint now) const
{
    const auto found = m_subjects.find(subject);
    Counts counts = found == m_subjects.end() ? Counts{0, 0, now} : found->second;
    counts.fade(now);
    return counts;
}

/// A rare subject is owed a place for that part of its requests which its floor states.
bool ServedShares::isBelow(double floor, const Subject &subject, double reference,
                           std::uint64_t identity, TimePoint now) const
{
    const double owedShare = FloorMargin * floor * reference;
    const Counts counts = countsOf(subject, now);
    if (counts.requested < MinCompared)
        return drawnFrom(identity) < owedShare;
    return counts.share() < owedShare;
}

bool ServedShares::isOwed(const AdmissionRequest &request, TimePoint now) const
{
    const double all = m_all.share();
    const Subject kind{SubjectType::Kind, request.kind};
    if (isBelow(KindFloor, kind, all, request.identity, now))
        return true;
    if (!request.customer.empty()
        && isBelow(CustomerFloor, {SubjectType::Customer, request.customer}, all, request.identity,
                   now))
        return true;
    return isLarge(request)
        && isBelow(LargeFloor, {SubjectType::LargeOfKind, request.kind},
                   countsOf(kind, now).share(), request.identity, now);
}

void ServedShares::prune(TimePoint now)
{
    if (now - m_prunedAt < PruneInterval)
        return;
    m_prunedAt = now;
    std::erase_if(m_identities, [&](const auto &entry) { return now - entry.second > RepeatTime; });
    std::erase_if(m_subjects, [&](const auto &entry) {
        Counts counts = entry.second;
        counts.fade(now);
        return counts.requested < PrunedCount;
    });
}

} // namespace gentianramp
