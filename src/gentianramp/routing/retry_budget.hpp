#pragma once

#include <atomic>
#include <cstdint>

namespace gentianramp {

/// Bounds retries to a percentage of first attempts.
class RetryBudget
{
public:
    /// A first attempt earns @p percent hundredths of a retry.
    void recordFirstAttempt(std::uint32_t percent) noexcept;
    /// Takes one retry; false when the budget is used up.
    bool takeRetry() noexcept;

private:
    static constexpr std::int64_t RetryCost = 100;
    static constexpr std::int64_t Capacity = 10 * RetryCost;
    std::atomic<std::int64_t> m_balance{RetryCost};
};

} // namespace gentianramp
