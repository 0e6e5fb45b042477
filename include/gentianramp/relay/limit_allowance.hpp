#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <optional>

namespace gentianramp {

/// Requests that one instance may send to a backend server which limits the rate of all instances
/// together. Performs no I/O.
///
/// The registry's leader grants them. Before its first grant, a limit is split evenly where every
/// instance would get a useful part of it. While no leader is heard, the instance goes on with half
/// the rate of its grants, so that all instances together stay within one and a half limits.
class LimitAllowance
{
public:
    /// Sets the limit in requests per second, or that there is none.
    void setLimit(std::optional<double> perSecond, std::uint32_t instances, TimePoint now);
    /// The leader's table of @p grantedAt has the limit.
    void noteTable(TimePoint grantedAt, std::uint32_t instances, TimePoint now);
    /// Adds what was granted since the last call. @p total counts from the opening of @p account;
    /// the first total of an account grants nothing, since earlier ones may have been used.
    void applyGrant(std::uint64_t account, std::uint32_t total, std::uint32_t instances,
                    TimePoint now);

    bool isLimited() const { return m_limit.has_value(); }
    /// When the leader's last table that has the limit was granted.
    TimePoint tableAt() const { return m_tableAt; }
    /// Whether a request may be sent now; always true without a limit.
    bool mayTake(std::uint32_t instances, TimePoint now) const;
    /// A request is sent.
    void take(std::uint32_t instances, TimePoint now);
    /// Requests that may be sent now; a part of one counts too.
    double remaining(std::uint32_t instances, TimePoint now) const;
    /// Requests per second that this instance got lately.
    double rate(std::uint32_t instances, TimePoint now) const;
    /// Time until a request may be sent; empty if that depends on the next grant.
    std::optional<Duration> timeToNext(std::uint32_t instances, TimePoint now) const;
    /// Account of the last grant; 0: none.
    std::uint64_t account() const { return m_account; }
    /// Total of the last grant.
    std::uint32_t applied() const { return m_applied; }

private:
    bool isStale(TimePoint now) const;
    double ownRate(std::uint32_t instances, TimePoint now) const;
    double grantRate(TimePoint now) const;
    void refill(std::uint32_t instances, TimePoint now);

    std::optional<double> m_limit;
    double m_requests = 0; ///< That may be sent, as of m_refilledAt.
    TimePoint m_refilledAt{};
    std::uint64_t m_account = 0;
    std::uint32_t m_applied = 0;
    TimePoint m_tableAt{};
    double m_granted = 0; ///< Sum of the grants, which decays; as of m_grantedAt.
    TimePoint m_grantedAt{};
};

} // namespace gentianramp
