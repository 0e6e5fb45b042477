#include "message_filter.hpp"

namespace gentianramp {

namespace {

constexpr Duration PostPauseDropPeriod = std::chrono::milliseconds(200);

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
    case DropReason::Failed:
        return "failed";
    }
    return "unknown";
}

std::optional<DropReason> MessageFilter::check(const MessageHeader &header, TimePoint now)
{
    Sender &sender = m_senders[header.sender];
    if (header.incarnation < sender.incarnation)
        return DropReason::OldIncarnation;
    if (header.incarnation > sender.incarnation)
        sender = Sender{header.incarnation, 0, {}};
    if (header.sequence <= sender.lastSequence)
        return DropReason::OutOfOrder;
    if (mayBeDelayed(sender, now))
        return DropReason::ReceiverPaused;
    sender.lastSequence = header.sequence;
    if (sender.transit.delay(header.sentNs, now) > header.ttl)
        return DropReason::Expired;
    return std::nullopt;
}

void MessageFilter::receiverPaused(TimePoint now)
{
    m_resumedAt = now;
}

bool MessageFilter::mayBeDelayed(const Sender &sender, TimePoint now) const
{
    return m_resumedAt && now - *m_resumedAt < PostPauseDropPeriod && !sender.transit.hasBaseline();
}

} // namespace gentianramp
