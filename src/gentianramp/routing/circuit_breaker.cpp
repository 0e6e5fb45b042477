#include "gentianramp/routing/circuit_breaker.hpp"

#include <algorithm>

namespace gentianramp {
namespace {

constexpr Duration InitialBackoff = std::chrono::seconds(1);

} // namespace

Duration CircuitBreaker::backoff() const noexcept
{
    const std::uint32_t openings = m_openings.load(std::memory_order_relaxed);
    const std::uint32_t doublings = std::min(MaxDoublings, openings > 0 ? openings - 1 : 0);
    return InitialBackoff * (1U << doublings);
}

bool CircuitBreaker::mayAllow(bool idempotent, TimePoint now) const noexcept
{
    if (closed())
        return true;
    if (!idempotent || m_probing.load(std::memory_order_acquire))
        return false;
    const Duration opened(m_openedAt.load(std::memory_order_relaxed));
    return now.time_since_epoch() >= opened + backoff();
}

bool CircuitBreaker::allow(bool idempotent, TimePoint now) noexcept
{
    if (closed())
        return true;
    return mayAllow(idempotent, now) && !m_probing.exchange(true, std::memory_order_acq_rel);
}

void CircuitBreaker::succeeded() noexcept
{
    if (m_failures.load(std::memory_order_relaxed) != 0)
        m_failures.store(0, std::memory_order_relaxed);
    if (closed())
        return;
    m_openings.store(0, std::memory_order_relaxed);
    m_open.store(false, std::memory_order_release);
    m_probing.store(false, std::memory_order_release);
}

void CircuitBreaker::failed(TimePoint now) noexcept
{
    const std::uint32_t failures = m_failures.fetch_add(1, std::memory_order_relaxed) + 1;
    const bool probeFailed = m_probing.load(std::memory_order_acquire);
    if (!probeFailed && (failures < FailuresToOpen || !closed()))
        return;
    m_openings.fetch_add(1, std::memory_order_relaxed);
    m_openedAt.store(now.time_since_epoch().count(), std::memory_order_relaxed);
    m_open.store(true, std::memory_order_release);
    m_probing.store(false, std::memory_order_release);
}

void CircuitBreaker::probeAbandoned() noexcept
{
    m_probing.store(false, std::memory_order_release);
}

bool CircuitBreaker::closed() const noexcept
{
    return !m_open.load(std::memory_order_acquire);
}

} // namespace gentianramp
