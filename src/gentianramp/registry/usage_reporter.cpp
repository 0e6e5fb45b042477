#include <gentianramp/registry/usage_reporter.hpp>

#include <algorithm>
#include <gentianramp/core/log.hpp>

namespace gentianramp {

UsageReporter::UsageReporter(UsageReporterOptions options)
    : m_options(options)
{ }

std::uint64_t UsageReporter::windowOf(std::int64_t trueMs) const
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(trueMs, 0)
                                      / toMilliseconds(m_options.window));
}

void UsageReporter::lead(const std::optional<UsageRecord> &record, std::int64_t trueMs,
                         std::optional<std::int64_t> systemStartMs)
{
    m_delivered.clear();
    if (record && record->decided > 0)
        m_next = record->decided + 1;
    else if (systemStartMs)
        m_next = windowOf(*systemStartMs);
    else
        m_next = windowOf(trueMs) + 1;
}

std::optional<std::uint64_t> UsageReporter::due(const UsageAggregate &usage, std::int64_t trueMs,
                                                TimePoint now) const
{
    if (m_next == 0 || windowOf(trueMs) <= m_next)
        return std::nullopt;
    const std::int64_t endMs
        = static_cast<std::int64_t>(m_next + 1) * toMilliseconds(m_options.window);
    const bool isComplete = usage.isComplete(endMs, now - m_options.processTimeout);
    if (!isComplete && trueMs < endMs + toMilliseconds(m_options.lateness) / 2)
        return std::nullopt;
    return m_next;
}

void UsageReporter::noteDecided(std::uint64_t window)
{
    if (m_next != 0)
        m_next = std::max(m_next, window + 1);
}

void UsageReporter::noteDelivered(std::uint64_t window)
{
    m_delivered.push_back(window);
}

UsageRecord UsageReporter::next(const std::optional<UsageRecord> &record, UsageReport report) const
{
    UsageRecord next = record.value_or(UsageRecord());
    std::erase_if(next.undelivered, [&](const UsageReport &stored) {
        return std::find(m_delivered.begin(), m_delivered.end(), stored.window)
            != m_delivered.end();
    });
    next.decided = report.window;
    next.undelivered.push_back(std::move(report));
    while (next.undelivered.size() > m_options.maxUndelivered) {
        logWarning("usage_report_dropped", {{"window", next.undelivered.front().window}});
        next.undelivered.erase(next.undelivered.begin());
    }
    return next;
}

} // namespace gentianramp
