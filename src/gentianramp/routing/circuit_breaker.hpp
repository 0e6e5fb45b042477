#pragma once

#include <atomic>
#include <cstdint>
#include <gentianramp/core/clock.hpp>

namespace gentianramp {

/// Stops requests to a backend server that fails or hangs.
///
/// Opens after FailuresToOpen consecutive failures. After the back-off a single idempotent request
/// may probe the server; its success closes the breaker, its failure doubles the back-off.
class CircuitBreaker
{
public:
    /// Whether a request may be sent. True on a breaker that is not closed makes this request the
    /// only probe.
    bool allow(bool idempotent, TimePoint now) noexcept;
    /// Whether allow() would return true; starts no probe.
    bool mayAllow(bool idempotent, TimePoint now) const noexcept;

    void succeeded() noexcept;
    void failed(TimePoint now) noexcept;
    /// The probe ended without showing whether the backend server works.
    void probeAbandoned() noexcept;
    bool closed() const noexcept;

private:
    static constexpr std::uint32_t FailuresToOpen = 3;
    static constexpr std::uint32_t MaxDoublings = 5;

    Duration backoff() const noexcept;

    std::atomic<std::uint32_t> m_failures{0};
    std::atomic<std::uint32_t> m_openings{0};
    std::atomic<Duration::rep> m_openedAt{0};
    std::atomic<bool> m_open{false};
    std::atomic<bool> m_probing{false};
};

} // namespace gentianramp
