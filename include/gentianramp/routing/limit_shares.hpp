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

/// Outcome of taking from a limit.
struct LimitAnswer
{
    bool granted = false;
    Duration retryAfter{};
    bool operator==(const LimitAnswer &) const = default;
};

/// Options of LimitShares.
struct LimitSharesOptions
{
    InstanceId self;
    std::vector<InstanceId> instances; ///< All entry instances, with `self`.
    std::uint64_t seed = 1;
    Duration loanTime = std::chrono::seconds(3);
    double clockDrift = 0.01; ///< Largest relative drift between two clocks.
};

/// One instance's part of the customers' token buckets.
///
/// Every instance owns an equal base share of each limit. An instance that needs more borrows
/// from a few others, for a bounded time that the borrower reckons from when it asked and the
/// lender from when it answered. Whatever message is lost, the shares in use at any moment add up
/// to at most 1; an instance that is cut off falls back to its own share. An instance that has
/// just started uses only what an earlier life of it can't have lent.
///
/// Over any time T all instances together admit at most limit * (T + burst) requests plus one for
/// each instance.
class LimitShares
{
public:
    LimitShares(LimitSharesOptions options, TimePoint now);
    ~LimitShares();

    void configure(const std::vector<CustomerLimit> &limits, TimePoint now);

    /// Takes one request with @p tokens tokens.
    LimitAnswer take(const CustomerId &customer, double tokens, TimePoint now);
    /// Gives back a request that was not dispatched.
    void giveBack(const CustomerId &customer, double tokens);
    /// Corrects the tokens taken by @p tokens (more, or less when negative).
    void settle(const CustomerId &customer, double tokens);

    /// Messages that ask others for shares; call about once a second.
    std::vector<LimitMessage> requestShares(TimePoint now);
    /// Takes a message; returns the answer to it, if any.
    std::optional<LimitMessage> handle(const InstanceId &sender, std::string_view payload,
                                       TimePoint now);

    /// Share of the limit that this instance may use now, from 0 to 1.
    double usableShare(const CustomerId &customer, TimePoint now) const;

    /// How much unused limit may pile up.
    static constexpr Duration Burst = std::chrono::seconds(1);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianramp
