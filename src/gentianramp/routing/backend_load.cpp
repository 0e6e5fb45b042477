#include "gentianramp/routing/backend_load.hpp"

#include <algorithm>
#include <gentianramp/core/invariant.hpp>

namespace gentianramp {
namespace {

constexpr Duration FullWeightReportAge = std::chrono::seconds(2);
constexpr double StreamRateSmoothing = 0.2;
constexpr double StreamRateLifetimeSeconds = 3;
constexpr Duration MaxReportAge = std::chrono::seconds(8);

/// Weight of a report: 1 up to FullWeightReportAge, then falling linearly to 0 at MaxReportAge.
double reportWeight(Duration age)
{
    const double excess = static_cast<double>((age - FullWeightReportAge).count());
    const double span = static_cast<double>((MaxReportAge - FullWeightReportAge).count());
    return std::clamp(1 - excess / span, 0.0, 1.0);
}

double nonNegative(const std::atomic<std::int64_t> &value)
{
    return std::max(0.0, static_cast<double>(value.load(std::memory_order_relaxed)));
}

} // namespace

BackendLoad::BackendLoad(BackendNumber number)
    : m_number(number)
{ }

void BackendLoad::add(std::int64_t requests, std::int64_t promptTokens,
                      std::int64_t outputTokens) noexcept
{
    m_requests.fetch_add(requests, std::memory_order_relaxed);
    m_promptTokens.fetch_add(promptTokens, std::memory_order_relaxed);
    m_outputTokens.fetch_add(outputTokens, std::memory_order_relaxed);
    if (requests <= 0)
        return;
    m_sentRequests.fetch_add(static_cast<std::uint64_t>(requests), std::memory_order_relaxed);
    m_sentPromptTokens.fetch_add(
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, promptTokens)),
        std::memory_order_relaxed);
}

SentWork BackendLoad::sent() const noexcept
{
    return {static_cast<double>(m_sentRequests.load(std::memory_order_relaxed)),
            static_cast<double>(m_sentPromptTokens.load(std::memory_order_relaxed))};
}

SentWork BackendLoad::sentSinceReport(TimePoint now) const noexcept
{
    const TimePoint reportedAt{Duration(m_reportedAt.load(std::memory_order_relaxed))};
    if (now - reportedAt > FullWeightReportAge)
        return {};
    const SentWork total = sent();
    return {
        std::max(0.0, total.requests - m_sentRequestsAtReport.load(std::memory_order_relaxed)),
        std::max(0.0,
                 total.promptTokens - m_sentPromptTokensAtReport.load(std::memory_order_relaxed))};
}

void BackendLoad::recordStreamRate(double tokensPerSecond, TimePoint now) noexcept
{
    const double before = m_streamRate.load(std::memory_order_relaxed);
    const double gain = before == 0 ? 1 : StreamRateSmoothing;
    m_streamRate.store(before + gain * (tokensPerSecond - before), std::memory_order_relaxed);
    m_streamRateAt.store(now.time_since_epoch().count(), std::memory_order_relaxed);
}

double BackendLoad::streamRate(double expected, TimePoint now) const noexcept
{
    const TimePoint measuredAt{Duration(m_streamRateAt.load(std::memory_order_relaxed))};
    const double measured = m_streamRate.load(std::memory_order_relaxed);
    if (measured <= 0)
        return expected;
    const double age = std::chrono::duration<double>(now - measuredAt).count();
    const double weight = std::clamp(1 - age / StreamRateLifetimeSeconds, 0.0, 1.0);
    return weight * measured + (1 - weight) * expected;
}

WorkAmount BackendLoad::own() const noexcept
{
    return {nonNegative(m_requests), nonNegative(m_promptTokens), nonNegative(m_outputTokens)};
}

WorkAmount BackendLoad::estimate(TimePoint now) const noexcept
{
    WorkAmount work = own();
    const TimePoint reportedAt{Duration(m_reportedAt.load(std::memory_order_relaxed))};
    const double weight = reportWeight(now - reportedAt);
    work.requests += weight * m_othersRequests.load(std::memory_order_relaxed);
    work.promptTokens += weight * m_othersPromptTokens.load(std::memory_order_relaxed);
    work.outputTokens += weight * m_othersOutputTokens.load(std::memory_order_relaxed);
    return work;
}

void BackendLoad::sample(TimePoint now)
{
    checkInvariant(m_requests >= 0 && m_promptTokens >= 0 && m_outputTokens >= 0,
                   "outstanding_not_negative");
    const std::lock_guard lock(m_samplesMutex);
    m_samples[m_nextSample] = {now, own(), sent()};
    m_nextSample = (m_nextSample + 1) % SampleCount;
}

BackendLoad::Sample BackendLoad::sampleAt(TimePoint at) const
{
    const Sample *best = nullptr;
    for (const Sample &sample : m_samples) {
        if (sample.at <= at && (best == nullptr || sample.at > best->at))
            best = &sample;
    }
    return best == nullptr ? Sample{} : *best;
}

void BackendLoad::applyReport(const LoadReport &report, TimePoint now)
{
    const std::lock_guard lock(m_samplesMutex);
    const TimePoint previous{Duration(m_reportedAt.load(std::memory_order_relaxed))};
    const TimePoint takenAt = std::min(report.takenAt, now);
    if (takenAt < previous)
        return;
    // A new report shows that the backend server responds again. Only idempotent requests may probe
    // an open breaker, so for a service without them a report is the only way to close it.
    if (m_breaker.mayAllow(true, takenAt))
        m_breaker.succeeded();
    const Sample atReport = sampleAt(takenAt);
    const WorkAmount &ownAtReport = atReport.own;
    const double requests = static_cast<double>(report.running) + report.queued;
    m_othersRequests.store(std::max(0.0, requests - ownAtReport.requests),
                           std::memory_order_relaxed);
    m_othersPromptTokens.store(
        std::max(0.0, static_cast<double>(report.promptTokens) - ownAtReport.promptTokens),
        std::memory_order_relaxed);
    m_othersOutputTokens.store(
        std::max(0.0, static_cast<double>(report.outputTokens) - ownAtReport.outputTokens),
        std::memory_order_relaxed);
    m_sentRequestsAtReport.store(atReport.sent.requests, std::memory_order_relaxed);
    m_sentPromptTokensAtReport.store(atReport.sent.promptTokens, std::memory_order_relaxed);
    m_reportedAt.store(takenAt.time_since_epoch().count(), std::memory_order_relaxed);
}

bool BackendLoad::recordCacheEvent(std::uint64_t sequence, bool restarted) noexcept
{
    const std::uint64_t last = m_cacheSequence.exchange(sequence, std::memory_order_relaxed);
    return !restarted && last != 0 && sequence > last + 1;
}

} // namespace gentianramp
