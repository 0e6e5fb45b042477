#pragma once

#include <boost/asio/awaitable.hpp>
#include <gentianramp/idempotency/key_service.hpp>
#include <memory>
#include <mutex>
#include <string_view>

namespace gentianramp {

/// Gives the threads of an entry instance access to its KeyService.
class KeyGate
{
public:
    KeyGate(KeyServiceOptions options, KeySendHook send);

    /// Claims a key; ends at the deadline of @p request at the latest.
    boost::asio::awaitable<ClaimResult> claim(ClaimRequest request);
    /// Tells how a granted attempt ended; once for each ticket.
    void settle(const ClaimTicket &ticket, ClaimOutcome outcome);
    void onMessage(const InstanceId &sender, std::string_view payload);
    void tick();
    KeyServiceStatistics statistics();

private:
    std::mutex m_mutex;
    KeyService m_service;
};

} // namespace gentianramp
