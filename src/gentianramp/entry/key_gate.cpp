#include "key_gate.hpp"

#include "one_shot.hpp"

namespace gentianramp {

KeyGate::KeyGate(KeyServiceOptions options, KeySendHook send)
    : m_service(std::move(options), std::move(send), RuntimeClock::now())
{ }

boost::asio::awaitable<ClaimResult> KeyGate::claim(ClaimRequest request)
{
    const auto result = std::make_shared<OneShot<ClaimResult>>();
    {
        const std::lock_guard lock(m_mutex);
        m_service.claim(std::move(request), RuntimeClock::now(),
                        [result](ClaimResult value) { result->complete(std::move(value)); });
    }
    co_return co_await result->wait();
}

void KeyGate::settle(const ClaimTicket &ticket, ClaimOutcome outcome)
{
    const std::lock_guard lock(m_mutex);
    m_service.settle(ticket, std::move(outcome), RuntimeClock::now());
}

void KeyGate::onMessage(const InstanceId &sender, std::string_view payload)
{
    const std::lock_guard lock(m_mutex);
    m_service.onMessage(sender, payload, RuntimeClock::now());
}

void KeyGate::tick()
{
    const std::lock_guard lock(m_mutex);
    m_service.tick(RuntimeClock::now());
}

KeyServiceStatistics KeyGate::statistics()
{
    const std::lock_guard lock(m_mutex);
    return m_service.statistics(RuntimeClock::now());
}

} // namespace gentianramp
