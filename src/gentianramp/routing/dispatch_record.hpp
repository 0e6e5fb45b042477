#pragma once

#include <atomic>
#include <cstdint>
#include <gentianramp/routing/request_attributes.hpp>
#include <memory>
#include <vector>

#include "gentianramp/routing/backend_load.hpp"
#include "gentianramp/routing/routing_table.hpp"

namespace gentianramp {

/// What a dispatched request occupies at its backend servers.
struct DispatchClaim
{
    ServiceId serviceId;
    std::shared_ptr<ServiceState> service;
    std::shared_ptr<BackendLoad> backend;
    std::shared_ptr<BackendLoad> prefillBackend; ///< Null when one backend server does both.
    CustomerId customer;
    std::uint32_t priority = 0;
    std::uint32_t promptTokens = 0; ///< With expected cache hits subtracted.
    std::uint32_t outputTokens = 0; ///< Expected.
    double takenTokens = 0;         ///< Taken from the customer's limit.
    std::vector<PromptPrefix> prefixes;
};

/// Accounting of one dispatched request. Counts its work from construction to its end.
class DispatchRecord
{
public:
    explicit DispatchRecord(DispatchClaim claim);
    ~DispatchRecord();
    DispatchRecord(const DispatchRecord &) = delete;
    DispatchRecord &operator=(const DispatchRecord &) = delete;

    const DispatchClaim &claim() const noexcept { return m_claim; }
    /// The backend server that the request is at: prefill until the first token.
    BackendLoad &current() const noexcept;
    void prefilled(TimePoint now) noexcept;
    void emitted(std::uint32_t tokens, TimePoint now) noexcept;
    /// Releases everything; true for the first call.
    bool end() noexcept;

private:
    void releasePrompt() noexcept;
    void noteSpeed(std::uint32_t tokens, TimePoint now) noexcept;

    DispatchClaim m_claim;
    std::atomic<std::int64_t> m_promptLeft;
    std::atomic<std::int64_t> m_outputLeft;
    std::atomic<std::uint32_t> m_seenTokens{0};
    std::atomic<Duration::rep> m_seenAt{0};
    std::atomic<bool> m_prefilling{true};
    std::atomic<bool> m_ended{false};
};

} // namespace gentianramp
