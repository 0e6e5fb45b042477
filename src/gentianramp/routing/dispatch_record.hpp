#pragma once

#include <atomic>
#include <cstdint>
#include <gentianramp/routing/request_attributes.hpp>
#include <memory>
#include <vector>

#include "gentianramp/routing/backend_load.hpp"
#include "gentianramp/routing/routing_table.hpp"

namespace gentianramp {

/// Work of a dispatched request at its backend servers.
struct DispatchClaim
{
    ServiceId serviceId;
    std::shared_ptr<ServiceState> service;
    std::shared_ptr<BackendLoad> backend;
    std::shared_ptr<BackendLoad> prefillBackend; ///< Null when `backend` also runs the prefill.
    CustomerId customer;
    std::uint32_t priority = 0;
    std::uint32_t promptTokens = 0; ///< With expected cache hits subtracted.
    std::uint32_t outputTokens = 0; ///< Expected.
    double takenTokens = 0;         ///< Charged to the customer's limit.
    std::vector<PromptPrefix> prefixes;
};

/// Accounting of one dispatched request; its work counts as outstanding until end().
class DispatchRecord
{
public:
    explicit DispatchRecord(DispatchClaim claim);
    ~DispatchRecord();
    DispatchRecord(const DispatchRecord &) = delete;
    DispatchRecord &operator=(const DispatchRecord &) = delete;

    const DispatchClaim &claim() const noexcept { return m_claim; }
    /// Backend server that works on the request: until recordPrefillDone() the prefill server, if
    /// any, then the one that answers.
    BackendLoad &currentBackend() const noexcept;
    void recordPrefillDone(TimePoint now) noexcept;
    /// @p tokens counts the tokens since the start of the answer.
    void recordEmitted(std::uint32_t tokens, TimePoint now) noexcept;
    /// Removes the remaining work from the outstanding work; true for the first call.
    bool end() noexcept;

private:
    void releasePrompt() noexcept;
    void sampleStreamRate(std::uint32_t tokens, TimePoint now) noexcept;

    DispatchClaim m_claim;
    std::atomic<std::int64_t> m_promptLeft;
    std::atomic<std::int64_t> m_outputLeft;
    std::atomic<std::uint32_t> m_rateSampleTokens{0};
    std::atomic<Duration::rep> m_rateSampleAt{0};
    std::atomic<bool> m_prefilling{true};
    std::atomic<bool> m_ended{false};
};

} // namespace gentianramp
