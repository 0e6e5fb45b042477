#pragma once

#include "transit_estimator.hpp"

#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace gentianramp {

/// Why a message was not handed on.
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
};

std::string_view toString(DropReason reason);

/// The part of an envelope that decides whether a message is still good.
struct MessageStamp
{
    InstanceId sender;
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    std::int64_t sentNs = 0;
    Duration ttl{};
};

/// Drops messages of earlier lives, overtaken messages and messages that waited too long.
class MessageFilter
{
public:
    /// Reason to drop the message, or none when it is good.
    std::optional<DropReason> check(const MessageStamp &stamp, TimePoint now);

    /// Tells that this process stood still until @p now: messages of senders without a transit
    /// baseline may have waited that long and are dropped for a short while.
    void receiverPaused(TimePoint now);

private:
    struct Sender
    {
        Incarnation incarnation;
        std::uint64_t lastSequence = 0;
        TransitEstimator transit;
    };

    bool mayHaveWaited(const Sender &sender, TimePoint now) const;

    std::unordered_map<InstanceId, Sender> m_senders;
    std::optional<TimePoint> m_resumedAt;
};

} // namespace gentianramp
