#include "meter.hpp"
#include "slopes.hpp"

#include <deque>
#include <gentianramp/idempotency/key_service.hpp>
#include <iostream>

namespace gentianramp {

namespace {

constexpr std::size_t Members = 3;

/// Three instances that keep all keys and hand each other's messages on at once.
class KeyBench
{
public:
    explicit KeyBench(std::uint64_t seed)
    {
        KeyServiceOptions options;
        options.sites = {DataCentreId("site")};
        options.noPriorClaims = true;
        options.seed = seed;
        options.incarnation = Incarnation(1);
        for (std::size_t number = 0; number < Members; ++number)
            options.instances.push_back({instance(number), DataCentreId("site")});
        for (std::size_t number = 0; number < Members; ++number) {
            options.self = instance(number);
            m_services.push_back(std::make_unique<KeyService>(
                options,
                [this, number](const InstanceId &to, std::string payload) {
                    m_queue.push_back({instance(number), to, std::move(payload)});
                },
                m_now));
        }
    }

    /// Claims and settles one new key; false when the claim was not granted.
    bool runOne()
    {
        ClaimRequest request;
        request.scope = {CustomerId("customer"), ServiceId("service"),
                         IdempotencyKey("key-" + std::to_string(++m_keys))};
        request.fingerprint = std::string(32, 'f');
        request.deadline = m_now + std::chrono::seconds(5);
        bool granted = false;
        ClaimTicket ticket;
        m_services[0]->claim(request, m_now, [&](const ClaimResult &result) {
            granted = result.status == ClaimStatus::Granted;
            ticket = result.ticket;
        });
        deliverAll();
        if (!granted)
            return false;
        const ClaimOutcome outcome{ClaimState::Complete,
                                   {200, "application/json", std::string(200, 'b'), false}};
        m_services[0]->settle(ticket, outcome, m_now);
        deliverAll();
        return true;
    }

    std::uint64_t messages() const { return m_messages; }
    std::uint64_t bytes() const { return m_bytes; }

private:
    struct Message
    {
        InstanceId from;
        InstanceId to;
        std::string payload;
    };

    static InstanceId instance(std::size_t number)
    {
        return InstanceId("entry-" + std::to_string(number));
    }

    void deliverAll()
    {
        while (!m_queue.empty()) {
            const Message message = std::move(m_queue.front());
            m_queue.pop_front();
            ++m_messages;
            m_bytes += message.payload.size();
            for (std::size_t number = 0; number < Members; ++number) {
                if (instance(number) == message.to)
                    m_services[number]->onMessage(message.from, message.payload, m_now);
            }
        }
    }

    TimePoint m_now{std::chrono::hours(1)};
    std::vector<std::unique_ptr<KeyService>> m_services;
    std::deque<Message> m_queue;
    std::uint64_t m_keys = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
};

} // namespace

void measureKeys(std::uint64_t seed)
{
    std::vector<SlopePoint> memory;
    std::vector<SlopePoint> cpu;
    std::vector<SlopePoint> messages;
    std::vector<SlopePoint> bytes;
    for (const int keys : {2000, 4000, 8000, 16000}) {
        const std::uint64_t before = heapBytes();
        KeyBench bench(seed);
        int granted = 0;
        const double perClaim = cpuMicroseconds(keys, [&] { granted += bench.runOne() ? 1 : 0; });
        if (granted != keys)
            std::cerr << "only " << granted << " of " << keys << " claims were granted\n";
        const double size = keys;
        cpu.push_back({size, perClaim});
        memory.push_back({size, static_cast<double>(heapBytes() - before) / Members});
        messages.push_back({size, static_cast<double>(bench.messages()) / size});
        bytes.push_back({size, static_cast<double>(bench.bytes()) / size});
    }
    printSlope("slopes.claim_cpu_all_members", "us", cpu);
    printSlope("slopes.key_memory", "bytes", memory);
    printSlope("slopes.claim_messages", "messages", messages);
    printSlope("slopes.claim_bytes", "bytes", bytes);
}

} // namespace gentianramp
