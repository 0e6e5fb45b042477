#include <gentianramp/relay/retry_allowance.hpp>

namespace gentianramp {

namespace {

/// Share of the budget that is used. The rest covers the width of a bucket, and requests that this
/// instance counts but that are not counted where the bound is checked from outside.
constexpr double UsedBudgetShare = 0.7;

} // namespace

RetryAllowance::RetryAllowance(RetryBounds bounds)
    : m_bounds(bounds)
{ }

RetryAllowance::Bucket &RetryAllowance::bucketAt(TimePoint now)
{
    const Duration width = m_bounds.window / (Buckets - 1);
    const std::int64_t number = now.time_since_epoch() / width;
    Bucket &bucket = m_buckets[static_cast<std::size_t>(number) % Buckets];
    if (bucket.number != number)
        bucket = {.number = number};
    return bucket;
}

void RetryAllowance::noteRequest(TimePoint now)
{
    ++bucketAt(now).requests;
}

bool RetryAllowance::take(std::uint32_t instances, TimePoint now)
{
    Bucket &current = bucketAt(now);
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
    for (const Bucket &bucket : m_buckets) {
        if (bucket.number < 0
            || bucket.number + static_cast<std::int64_t>(Buckets) <= current.number)
            continue;
        requests += bucket.requests;
        repeats += bucket.repeats;
    }
    const double slack = m_bounds.slack / (instances == 0 ? 1 : instances);
    const double allowed = UsedBudgetShare * (m_bounds.ratio * requests + slack);
    if (repeats + 1 > allowed)
        return false;
    ++current.repeats;
    return true;
}

} // namespace gentianramp
