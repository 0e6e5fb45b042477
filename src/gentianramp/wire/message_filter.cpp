#include "message_filter.hpp"

namespace gentianramp {

namespace {

constexpr Duration DistrustAfterPause = std::chrono::milliseconds(200);

} // namespace

std::string_view toString(DropReason reason)
{
    switch (reason) {
    case DropReason::Malformed:
        return "malformed";
    case DropReason::ForgedSender:
        return "forged_sender";
    case DropReason::OldIncarnation:
        return "old_incarnation";
    case DropReason::OutOfOrder:
        return "out_of_order";
    case DropReason::Expired:
        return "expired";
    case DropReason::ReceiverPaused:
        return "receiver_paused";
    case DropReason::Blocked:
        return "blocked";
    case DropReason::NotPermitted:
        return "not_permitted";
    case DropReason::NotConnected:
        return "not_connected";
    case DropReason::QueueFull:
        return "queue_full";
    }
    return "unknown";
}

std::optional<DropReason> MessageFilter::check(const MessageStamp &stamp, TimePoint now)
{
    Sender &sender = m_senders[stamp.sender];
    if (stamp.incarnation < sender.incarnation)
        return DropReason::OldIncarnation;
    if (stamp.incarnation > sender.incarnation)
        sender = Sender{stamp.incarnation, 0, {}};
    if (stamp.sequence <= sender.lastSequence)
        return DropReason::OutOfOrder;
    if (mayHaveWaited(sender, now))
        return DropReason::ReceiverPaused;
    sender.lastSequence = stamp.sequence;
    if (sender.transit.delay(stamp.sentNs, now) > stamp.ttl)
        return DropReason::Expired;
    return std::nullopt;
}

void MessageFilter::receiverPaused(TimePoint now)
{
    m_resumedAt = now;
}

bool MessageFilter::mayHaveWaited(const Sender &sender, TimePoint now) const
{
    return m_resumedAt && now - *m_resumedAt < DistrustAfterPause && !sender.transit.hasBaseline();
}

} // namespace gentianramp
