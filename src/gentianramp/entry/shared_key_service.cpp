#include "shared_key_service.hpp"

#include "one_shot_result.hpp"

namespace gentianramp {

SharedKeyService::SharedKeyService(KeyServiceOptions options, KeySendHook send)
    : m_service(std::move(options), std::move(send), RuntimeClock::now())
{ }

boost::asio::awaitable<ClaimResult> SharedKeyService::claim(ClaimRequest request)
{
    const auto result = std::make_shared<OneShotResult<ClaimResult>>();
    {
        const std::lock_guard lock(m_mutex);
        m_service.claim(std::move(request), RuntimeClock::now(),
                        [result](ClaimResult value) { result->complete(std::move(value)); });
    }
    co_return co_await result->wait();
}

void SharedKeyService::settle(const ClaimTicket &ticket, ClaimOutcome outcome)
{
    const std::lock_guard lock(m_mutex);
    m_service.settle(ticket, std::move(outcome), RuntimeClock::now());
}

void SharedKeyService::onMessage(const InstanceId &sender, std::string_view payload)
{
    const std::lock_guard lock(m_mutex);
    m_service.onMessage(sender, payload, RuntimeClock::now());
}

void SharedKeyService::tick()
{
    const std::lock_guard lock(m_mutex);
    m_service.tick(RuntimeClock::now());
}

KeyServiceStatistics SharedKeyService::statistics()
{
    const std::lock_guard lock(m_mutex);
    return m_service.statistics(RuntimeClock::now());
}

} // namespace gentianramp
