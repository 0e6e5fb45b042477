#pragma once

#include <boost/asio/awaitable.hpp>
#include <gentianramp/idempotency/key_service.hpp>
#include <memory>
#include <mutex>
#include <string_view>

namespace gentianramp {

/// Thread-safe coroutine interface to the KeyService of an entry instance.
class SharedKeyService
{
public:
    SharedKeyService(KeyServiceOptions options, KeySendHook send);

    /// Claims a key; completes by the deadline of @p request at the latest.
    boost::asio::awaitable<ClaimResult> claim(ClaimRequest request);
    /// Records the outcome of a granted claim; call once for each ticket.
    void settle(const ClaimTicket &ticket, ClaimOutcome outcome);
    void onMessage(const InstanceId &sender, std::string_view payload);
    void tick();
    KeyServiceStatistics statistics();

private:
    std::mutex m_mutex;
    KeyService m_service;
};

} // namespace gentianramp
