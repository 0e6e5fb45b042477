#pragma once

#include "transit_estimator.hpp"

#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace gentianramp {

/// Why a message was dropped.
enum class DropReason {
    Malformed,
    ForgedSender,
    OldIncarnation,
    OutOfOrder,
    Expired,
    ReceiverPaused,
    Blocked,
    NotPermitted,
    NotConnected,
    QueueFull,
    Failed, ///< The hook for received messages threw.
};

std::string_view toString(DropReason reason);

/// The fields of an envelope that decide whether a message is accepted.
struct MessageHeader
{
    InstanceId sender;
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    std::int64_t sentNs = 0;
    Duration ttl{};
};

/// Drops messages of earlier incarnations, out-of-order messages and messages older than their TTL.
class MessageFilter
{
public:
    /// Returns the reason to drop the message, or nothing when it is accepted.
    std::optional<DropReason> check(const MessageHeader &header, TimePoint now);

    /// Reports that this process was paused until @p now. Messages may have waited in the socket
    /// during the pause. Their delay cannot be estimated for senders without a transit baseline, so
    /// that messages of these senders are dropped for 200 ms.
    void receiverPaused(TimePoint now);

private:
    struct Sender
    {
        Incarnation incarnation;
        std::uint64_t lastSequence = 0;
        TransitEstimator transit;
    };

    bool mayBeDelayed(const Sender &sender, TimePoint now) const;

    std::unordered_map<InstanceId, Sender> m_senders;
    std::optional<TimePoint> m_resumedAt;
};

} // namespace gentianramp
