#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianramp {

/// Limit of one customer over all instances.
struct CustomerLimit
{
    CustomerId customer;
    double requestsPerSecond = 0; ///< 0: no limit.
    double tokensPerSecond = 0;   ///< 0: no limit.
    bool operator==(const CustomerLimit &) const = default;
};

/// Message to another entry instance about customers' limits.
struct LimitMessage
{
    InstanceId to;
    std::string payload; ///< For PayloadKind::Limit.
    bool operator==(const LimitMessage &) const = default;
};

/// Result of charging a request to a limit.
struct LimitResult
{
    bool granted = false;
    Duration retryAfter{};
    bool operator==(const LimitResult &) const = default;
};

/// Options of LimitShares.
struct LimitSharesOptions
{
    InstanceId self;
    std::vector<InstanceId> instances; ///< All entry instances, including `self`.
    std::uint64_t seed = 1;
    Duration loanDuration = std::chrono::seconds(3);
    double clockDrift = 0.01; ///< Largest relative drift between two clocks.
};

/// One instance's part of the customers' token buckets.
///
/// Every instance owns an equal base share of each limit. An instance that needs more borrows
/// from a few others for `loanDuration`. The borrower counts this time from its request, shortened
/// by the clock drift, the lender from its later answer, extended by the drift; so a loan has
/// ended at the borrower before the lender uses that share again. Whatever message is lost, the
/// shares in use at any moment add up to at most 1, and a partitioned instance falls back to its
/// own share. A restarted instance doesn't know the loans that its previous incarnation gave, so
/// it withholds the lendable part of its base share until these have expired.
///
/// Over any time T all instances together admit at most limit * (T + burst) requests plus one for
/// each instance.
class LimitShares
{
public:
    LimitShares(LimitSharesOptions options, TimePoint now);
    ~LimitShares();

    void configure(const std::vector<CustomerLimit> &limits, TimePoint now);

    /// Charges one request with @p tokens tokens to the limit.
    LimitResult take(const CustomerId &customer, double tokens, TimePoint now);
    /// Returns the charge of a request that was not dispatched.
    void refund(const CustomerId &customer, double tokens);
    /// Charges another @p tokens tokens; a negative number refunds them. Corrects the estimate that
    /// take() charged.
    void settle(const CustomerId &customer, double tokens);

    /// Updates the demand and returns messages that ask other instances for shares; call about once
    /// a second.
    std::vector<LimitMessage> requestShares(TimePoint now);
    /// Handles a message of another instance; returns the answer, if any.
    std::optional<LimitMessage> handle(const InstanceId &sender, std::string_view payload,
                                       TimePoint now);

    /// Share of the limit that this instance may use now, from 0 to 1.
    double usableShare(const CustomerId &customer, TimePoint now) const;

    /// Time over which unused limit accumulates.
    static constexpr Duration Burst = std::chrono::seconds(1);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianramp
