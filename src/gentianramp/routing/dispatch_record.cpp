#include "gentianramp/routing/dispatch_record.hpp"

#include <algorithm>

namespace gentianramp {
namespace {

constexpr std::int64_t LeastOutputLeft = 4; ///< Assumed while an answer goes on past its estimate.

constexpr Duration SpeedInterval = std::chrono::milliseconds(500);

} // namespace

DispatchRecord::DispatchRecord(DispatchClaim claim)
    : m_claim(std::move(claim))
    , m_promptLeft(m_claim.promptTokens)
    , m_outputLeft(std::max<std::int64_t>(m_claim.outputTokens, LeastOutputLeft))
{
    const std::int64_t prompt = m_promptLeft.load(std::memory_order_relaxed);
    const std::int64_t output = m_outputLeft.load(std::memory_order_relaxed);
    if (m_claim.prefillBackend)
        m_claim.prefillBackend->add(1, prompt, 0);
    m_claim.backend->add(1, m_claim.prefillBackend ? 0 : prompt, output);
    DemandCounters &demand = m_claim.service->demand(m_claim.priority);
    demand.outstandingPromptTokens.fetch_add(prompt, std::memory_order_relaxed);
    demand.outstandingOutputTokens.fetch_add(output, std::memory_order_relaxed);
}

DispatchRecord::~DispatchRecord()
{
    end();
}

BackendLoad &DispatchRecord::current() const noexcept
{
    const bool atPrefill = m_claim.prefillBackend && m_prefilling.load(std::memory_order_acquire);
    return atPrefill ? *m_claim.prefillBackend : *m_claim.backend;
}

void DispatchRecord::prefilled(TimePoint now) noexcept
{
    m_seenAt.store(now.time_since_epoch().count(), std::memory_order_relaxed);
    releasePrompt();
}

void DispatchRecord::noteSpeed(std::uint32_t tokens, TimePoint now) noexcept
{
    const Duration since
        = now.time_since_epoch() - Duration(m_seenAt.load(std::memory_order_relaxed));
    if (since < SpeedInterval)
        return;
    const std::uint32_t before = m_seenTokens.exchange(tokens, std::memory_order_relaxed);
    m_seenAt.store(now.time_since_epoch().count(), std::memory_order_relaxed);
    if (tokens > before)
        m_claim.backend->noteStreamRate(
            (tokens - before) / std::chrono::duration<double>(since).count(), now);
}

void DispatchRecord::releasePrompt() noexcept
{
    if (!m_prefilling.exchange(false, std::memory_order_acq_rel))
        return;
    const std::int64_t prompt = m_promptLeft.exchange(0, std::memory_order_relaxed);
    m_claim.service->demand(m_claim.priority)
        .outstandingPromptTokens.fetch_sub(prompt, std::memory_order_relaxed);
    if (m_claim.prefillBackend)
        m_claim.prefillBackend->add(-1, -prompt, 0);
    else
        m_claim.backend->add(0, -prompt, 0);
}

void DispatchRecord::emitted(std::uint32_t tokens, TimePoint now) noexcept
{
    if (m_ended.load(std::memory_order_acquire))
        return;
    noteSpeed(tokens, now);
    const std::int64_t left
        = std::max<std::int64_t>(std::int64_t{m_claim.outputTokens} - tokens, LeastOutputLeft);
    const std::int64_t change = left - m_outputLeft.exchange(left, std::memory_order_relaxed);
    m_claim.backend->add(0, 0, change);
    m_claim.service->demand(m_claim.priority)
        .outstandingOutputTokens.fetch_add(change, std::memory_order_relaxed);
}

bool DispatchRecord::end() noexcept
{
    if (m_ended.exchange(true, std::memory_order_acq_rel))
        return false;
    releasePrompt();
    const std::int64_t left = m_outputLeft.exchange(0, std::memory_order_relaxed);
    m_claim.backend->add(-1, 0, -left);
    m_claim.service->demand(m_claim.priority)
        .outstandingOutputTokens.fetch_sub(left, std::memory_order_relaxed);
    return true;
}

} // namespace gentianramp
