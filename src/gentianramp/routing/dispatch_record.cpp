#include "gentianramp/routing/dispatch_record.hpp"

#include <algorithm>

namespace gentianramp {
namespace {

constexpr std::int64_t MinOutputLeft = 4; ///< Assumed when an answer exceeds its estimated length.

constexpr Duration RateSampleInterval = std::chrono::milliseconds(500);

} // namespace

DispatchRecord::DispatchRecord(DispatchClaim claim)
    : m_claim(std::move(claim))
    , m_promptLeft(m_claim.promptTokens)
    , m_outputLeft(std::max<std::int64_t>(m_claim.outputTokens, MinOutputLeft))
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

BackendLoad &DispatchRecord::currentBackend() const noexcept
{
    const bool atPrefill = m_claim.prefillBackend && m_prefilling.load(std::memory_order_acquire);
    return atPrefill ? *m_claim.prefillBackend : *m_claim.backend;
}

void DispatchRecord::recordPrefillDone(TimePoint now) noexcept
{
    m_rateSampleAt.store(now.time_since_epoch().count(), std::memory_order_relaxed);
    releasePrompt();
}

void DispatchRecord::sampleStreamRate(std::uint32_t tokens, TimePoint now) noexcept
{
    const Duration elapsed
        = now.time_since_epoch() - Duration(m_rateSampleAt.load(std::memory_order_relaxed));
    if (elapsed < RateSampleInterval)
        return;
    const std::uint32_t before = m_rateSampleTokens.exchange(tokens, std::memory_order_relaxed);
    m_rateSampleAt.store(now.time_since_epoch().count(), std::memory_order_relaxed);
    if (tokens > before)
        m_claim.backend->recordStreamRate(
            (tokens - before) / std::chrono::duration<double>(elapsed).count(), now);
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

void DispatchRecord::recordEmitted(std::uint32_t tokens, TimePoint now) noexcept
{
    if (m_ended.load(std::memory_order_acquire))
        return;
    sampleStreamRate(tokens, now);
    const std::int64_t left
        = std::max<std::int64_t>(std::int64_t{m_claim.outputTokens} - tokens, MinOutputLeft);
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
