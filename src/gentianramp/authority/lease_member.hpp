#pragma once

#include <gentianramp/authority/lease_messages.hpp>
#include <optional>

namespace gentianramp {

/// A member's memory of the lease of one data centre.
class LeaseMember
{
public:
    /// Grants nothing before @p grantsFrom, when every lease of an earlier life is over.
    explicit LeaseMember(TimePoint grantsFrom);

    LeasePromise onPrepare(const LeasePrepare &prepare, TimePoint now);
    LeaseAccepted onPropose(const LeasePropose &propose, TimePoint now);
    void onRelease(const LeaseRelease &release);

private:
    struct Grant
    {
        Ballot ballot;
        FencingNumber fencing;
        TimePoint until;
    };

    TimePoint m_grantsFrom;
    Ballot m_promised;
    std::optional<Grant> m_grant;
    FencingNumber m_highestFencing;
};

} // namespace gentianramp
