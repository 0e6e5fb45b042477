#include "gentianramp/routing/retry_budget.hpp"

#include <algorithm>

namespace gentianramp {

void RetryBudget::recordFirstAttempt(std::uint32_t percent) noexcept
{
    std::int64_t balance = m_balance.load(std::memory_order_relaxed);
    while (!m_balance.compare_exchange_weak(balance, std::min(Capacity, balance + percent),
                                            std::memory_order_relaxed)) {
    }
}

bool RetryBudget::takeRetry() noexcept
{
    std::int64_t balance = m_balance.load(std::memory_order_relaxed);
    while (balance >= RetryCost) {
        if (m_balance.compare_exchange_weak(balance, balance - RetryCost,
                                            std::memory_order_relaxed))
            return true;
    }
    return false;
}

} // namespace gentianramp
