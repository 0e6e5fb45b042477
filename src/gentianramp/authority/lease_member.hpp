#pragma once

#include <gentianramp/authority/lease_messages.hpp>
#include <optional>

namespace gentianramp {

/// Acceptor state of one group member for the lease of one data centre.
class LeaseMember
{
public:
    /// Grants nothing before @p grantsAllowedAt, when every lease granted in an earlier incarnation
    /// has expired.
    explicit LeaseMember(TimePoint grantsAllowedAt);

    LeasePromise onPrepare(const LeasePrepare &prepare, TimePoint now);
    LeaseAccepted onPropose(const LeasePropose &propose, TimePoint now);
    void onRelease(const LeaseRelease &release);

private:
    struct Grant
    {
        Ballot ballot;
        FencingNumber fencing;
        TimePoint expiresAt;
    };

    TimePoint m_grantsAllowedAt;
    Ballot m_promised;
    std::optional<Grant> m_grant;
    FencingNumber m_highestFencing;
};

} // namespace gentianramp
