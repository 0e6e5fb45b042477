#pragma once

#include <atomic>
#include <cstdint>
#include <gentianramp/core/clock.hpp>

namespace gentianramp {

/// Keeps work away from a backend server that fails or hangs.
///
/// Opens after consecutive failures. When the pause is over one idempotent request may probe;
/// its success closes the breaker, its failure doubles the pause.
class CircuitBreaker
{
public:
    /// Whether a request may be sent. Takes the only probe when it returns true on a breaker
    /// that is not closed.
    bool allow(bool idempotent, TimePoint now) noexcept;
    /// Whether allow() could return true; takes nothing.
    bool mayAllow(bool idempotent, TimePoint now) const noexcept;

    void succeeded() noexcept;
    void failed(TimePoint now) noexcept;
    /// The probe ended without telling anything.
    void probeAbandoned() noexcept;
    bool closed() const noexcept;

private:
    static constexpr std::uint32_t FailuresToOpen = 3;
    static constexpr std::uint32_t MaxDoublings = 5;

    Duration pauseLength() const noexcept;

    std::atomic<std::uint32_t> m_failures{0};
    std::atomic<std::uint32_t> m_openings{0};
    std::atomic<Duration::rep> m_openedAt{0};
    std::atomic<bool> m_open{false};
    std::atomic<bool> m_probing{false};
};

} // namespace gentianramp
