#include "meter.hpp"
#include "slopes.hpp"

#include <algorithm>
#include <gentianramp/routing/limit_shares.hpp>

namespace gentianramp {

namespace {

constexpr Duration LimitInterval = std::chrono::seconds(1);
constexpr std::size_t LimitInstances = 410;
constexpr std::size_t LimitCustomers = 240;
constexpr int LimitRounds = 10;
constexpr double CustomerRequestsPerSecond = 100;
constexpr double CustomerTokensPerSecond = 100000;
constexpr double LimitLoad = 0.9;       // of each customer's limit
constexpr std::size_t DataCentres = 12; // a customer's traffic enters in one of them

/// Instances that exchange limits, and what they sent.
class LimitBench
{
public:
    LimitBench(std::size_t instances, std::size_t customers, std::uint64_t seed)
    {
        for (std::size_t number = 0; number < instances; ++number)
            m_names.emplace_back("entry-" + std::to_string(number));
        for (std::size_t number = 0; number < customers; ++number)
            m_limits.push_back({CustomerId("customer-" + std::to_string(number)),
                                CustomerRequestsPerSecond, CustomerTokensPerSecond});
        for (const InstanceId &name : m_names) {
            m_shares.push_back(std::make_unique<LimitShares>(
                LimitSharesOptions{.self = name, .instances = m_names, .seed = seed}, m_now));
            m_shares.back()->configure(m_limits, m_now);
        }
    }

    /// Bytes that each instance sends in a second.
    double run()
    {
        for (int round = 0; round < LimitRounds; ++round, m_now += LimitInterval) {
            takeOneSecond();
            for (std::size_t from = 0; from < m_names.size(); ++from)
                requestShares(from);
        }
        return static_cast<double>(m_bytes) / LimitRounds / static_cast<double>(m_names.size());
    }

private:
    void takeOneSecond()
    {
        const std::size_t spread = std::max<std::size_t>(1, m_names.size() / DataCentres);
        const double perInstance
            = CustomerRequestsPerSecond * LimitLoad / static_cast<double>(spread);
        for (std::size_t number = 0; number < m_limits.size(); ++number) {
            const std::size_t first = number % DataCentres * spread;
            for (std::size_t index = first; index < first + spread; ++index) {
                for (double request = 0; request < perInstance; ++request)
                    m_shares[index % m_names.size()]->take(m_limits[number].customer, 500, m_now);
            }
        }
    }

    void requestShares(std::size_t from)
    {
        for (const LimitMessage &message : m_shares[from]->requestShares(m_now)) {
            m_bytes += message.payload.size();
            const auto to = static_cast<std::size_t>(
                std::find(m_names.begin(), m_names.end(), message.to) - m_names.begin());
            const auto answer = m_shares[to]->handle(m_names[from], message.payload, m_now);
            if (!answer)
                continue;
            m_bytes += answer->payload.size();
            m_shares[from]->handle(m_names[to], answer->payload, m_now);
        }
    }

    TimePoint m_now{std::chrono::hours(1)};
    std::vector<InstanceId> m_names;
    std::vector<CustomerLimit> m_limits;
    std::vector<std::unique_ptr<LimitShares>> m_shares;
    std::uint64_t m_bytes = 0;
};

} // namespace

void measureLimits(std::uint64_t seed)
{
    std::vector<SlopePoint> byInstances;
    for (const std::size_t instances : {48, 96, 192, 410})
        byInstances.push_back(
            {static_cast<double>(instances), LimitBench(instances, LimitCustomers, seed).run()});
    printSlope("slopes.limit_bytes_by_instances", "bytes/s", byInstances);
    std::vector<SlopePoint> byCustomers;
    std::vector<SlopePoint> memory;
    for (const std::size_t customers : {30, 60, 120, 240}) {
        const auto size = static_cast<double>(customers);
        const std::uint64_t before = heapBytes();
        LimitBench bench(LimitInstances, customers, seed);
        byCustomers.push_back({size, bench.run()});
        memory.push_back({size, static_cast<double>(heapBytes() - before) / LimitInstances});
    }
    printSlope("slopes.limit_bytes_by_customers", "bytes/s", byCustomers);
    printSlope("slopes.limit_memory_by_customers", "bytes", memory);
}

} // namespace gentianramp
