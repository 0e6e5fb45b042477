#include <gentianramp/relay/limit_allowance.hpp>

#include <algorithm>
#include <cmath>
#include <gentianramp/registry/limit_granter.hpp>

namespace gentianramp {

namespace {

/// Without a newer table for this time, no leader is heard. Covers the election of another one.
constexpr Duration TableLifetime = std::chrono::milliseconds(2500);
constexpr double UnheardLeaderFactor = 0.5;
/// Requests that may be saved up without grants, in seconds of the rate; at least one.
constexpr Duration SavedTime = std::chrono::milliseconds(500);
/// A limit is split evenly while single requests of all instances are this many requests and
/// seconds of the limit at most.
constexpr double EvenSplitRequests = 3;
constexpr double EvenSplitSeconds = 2;
/// Time constant of the rate of grants.
constexpr Duration GrantRateTime = std::chrono::seconds(4);
/// Rounding errors of the sum of parts of a request.
constexpr double Rounding = 1e-9;

double secondsOf(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void LimitAllowance::setLimit(std::optional<double> perSecond, std::uint32_t instances,
                              TimePoint now)
{
    refill(instances, now);
    const std::optional<double> former = m_limit;
    m_limit = perSecond ? std::optional(usableLimit(*perSecond)) : std::nullopt;
    if (!former || !m_limit)
        m_requests = 0;
    else
        m_requests *= std::min(1.0, *m_limit / *former);
}

void LimitAllowance::noteTable(TimePoint grantedAt, std::uint32_t instances, TimePoint now)
{
    refill(instances, now);
    m_tableAt = std::max(m_tableAt, grantedAt);
}

void LimitAllowance::applyGrant(std::uint64_t account, std::uint32_t total, std::uint32_t instances,
                                TimePoint now)
{
    refill(instances, now);
    if (account > m_account) {
        m_account = account;
        m_applied = total;
    }
    if (account < m_account || total <= m_applied)
        return;
    const double granted = total - std::exchange(m_applied, total);
    m_requests += m_limit ? granted : 0;
    m_granted = grantRate(now) * secondsOf(GrantRateTime) + granted;
    m_grantedAt = now;
}

bool LimitAllowance::isStale(TimePoint now) const
{
    return now - m_tableAt > TableLifetime;
}

double LimitAllowance::grantRate(TimePoint now) const
{
    return m_granted * std::exp(-std::chrono::duration<double>(now - m_grantedAt) / GrantRateTime)
        / secondsOf(GrantRateTime);
}

/// Rate at which requests are added without grants.
double LimitAllowance::ownRate(std::uint32_t instances, TimePoint now) const
{
    if (!m_limit)
        return 0;
    if (m_account == 0) {
        const bool isUseful = instances <= EvenSplitRequests + EvenSplitSeconds * *m_limit;
        return isUseful ? *m_limit / std::max(instances, 1U) : 0;
    }
    return isStale(now) ? UnheardLeaderFactor * grantRate(m_tableAt) : 0;
}

double LimitAllowance::rate(std::uint32_t instances, TimePoint now) const
{
    return std::max(ownRate(instances, now), grantRate(now));
}

double LimitAllowance::remaining(std::uint32_t instances, TimePoint now) const
{
    const double perSecond = ownRate(instances, now);
    const double mostSaved = std::max(perSecond * secondsOf(SavedTime), 1.0);
    const double added = perSecond * secondsOf(now - m_refilledAt);
    return m_requests + std::clamp(added, 0.0, std::max(mostSaved - m_requests, 0.0));
}

void LimitAllowance::refill(std::uint32_t instances, TimePoint now)
{
    m_requests = remaining(instances, now);
    m_refilledAt = now;
}

bool LimitAllowance::mayTake(std::uint32_t instances, TimePoint now) const
{
    return !m_limit || remaining(instances, now) >= 1 - Rounding;
}

void LimitAllowance::take(std::uint32_t instances, TimePoint now)
{
    if (!m_limit)
        return;
    refill(instances, now);
    m_requests -= 1;
}

std::optional<Duration> LimitAllowance::timeToNext(std::uint32_t instances, TimePoint now) const
{
    if (mayTake(instances, now))
        return Duration::zero();
    const double perSecond = ownRate(instances, now);
    if (perSecond <= 0)
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::chrono::duration<double>((1 - remaining(instances, now)) / perSecond));
}

} // namespace gentianramp
