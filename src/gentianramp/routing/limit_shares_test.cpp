#include <deque>
#include <gentianramp/routing/limit_shares.hpp>
#include <random>
#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

constexpr Duration Step = std::chrono::milliseconds(100);
const CustomerId Firm("firm");

struct InFlight
{
    InstanceId sender;
    LimitMessage message;
    TimePoint arrival{};
};

/// Several instances, a lossy network between them, and a manual clock.
class Simulation
{
public:
    Simulation(std::size_t count, double requestsPerSecond, std::uint64_t seed)
        : m_random(seed)
        , m_limit{Firm, requestsPerSecond, 0}
    {
        for (std::size_t i = 0; i < count; ++i)
            m_names.emplace_back("entry-" + std::to_string(i));
        for (std::size_t i = 0; i < count; ++i)
            m_instances.push_back(start(i));
        m_partitioned.resize(count, false);
    }

    TimePoint now() const { return m_now; }
    std::size_t size() const { return m_names.size(); }
    void setPartitioned(std::size_t instance, bool value) { m_partitioned[instance] = value; }
    void restart(std::size_t instance) { m_instances[instance] = start(instance); }
    bool take(std::size_t instance) { return m_instances[instance]->take(Firm, 0, m_now).granted; }

    double sumOfShares() const
    {
        double sum = 0;
        for (const auto &instance : m_instances)
            sum += instance->usableShare(Firm, m_now);
        return sum;
    }
    double share(std::size_t instance) const
    {
        return m_instances[instance]->usableShare(Firm, m_now);
    }

    void step(double loss, int longestDelay)
    {
        m_now += Step;
        deliver(loss, longestDelay);
        for (std::size_t i = 0; i < size(); ++i) {
            if ((m_now.time_since_epoch() / Step + static_cast<long>(i)) % 10 == 0)
                post(i, m_instances[i]->requestShares(m_now), loss, longestDelay);
        }
    }

private:
    std::unique_ptr<LimitShares> start(std::size_t instance)
    {
        auto shares = std::make_unique<LimitShares>(
            LimitSharesOptions{m_names[instance], m_names, m_random()}, m_now);
        shares->configure({m_limit}, m_now);
        return shares;
    }

    std::size_t indexOf(const InstanceId &name) const
    {
        return static_cast<std::size_t>(std::find(m_names.begin(), m_names.end(), name)
                                        - m_names.begin());
    }

    void post(std::size_t sender, const std::vector<LimitMessage> &messages, double loss,
              int longestDelay)
    {
        std::uniform_real_distribution<double> chance(0, 1);
        for (const LimitMessage &message : messages) {
            const bool dropped = m_partitioned[sender] || m_partitioned[indexOf(message.to)];
            if (dropped || chance(m_random) < loss)
                continue;
            m_inFlight.push_back(
                {m_names[sender], message,
                 m_now + Step * (m_random() % static_cast<unsigned>(longestDelay))});
        }
    }

    void deliver(double loss, int longestDelay)
    {
        std::deque<InFlight> waiting;
        std::swap(waiting, m_inFlight);
        for (const InFlight &flight : waiting) {
            if (flight.arrival > m_now) {
                m_inFlight.push_back(flight);
                continue;
            }
            const std::size_t to = indexOf(flight.message.to);
            const auto answer
                = m_instances[to]->handle(flight.sender, flight.message.payload, m_now);
            if (answer)
                post(to, {*answer}, loss, longestDelay);
        }
    }

    std::mt19937_64 m_random;
    CustomerLimit m_limit;
    std::vector<InstanceId> m_names;
    std::vector<std::unique_ptr<LimitShares>> m_instances;
    std::vector<bool> m_partitioned;
    std::deque<InFlight> m_inFlight;
    TimePoint m_now{std::chrono::seconds(100)};
};

/// Whether shares and admitted requests stay within the limit under partitions, restarts, lost and
/// delayed messages.
bool limitHoldsInRandomRun(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const std::size_t count = 2 + random() % 8;
    const double rate = 5 + static_cast<double>(random() % 50);
    Simulation simulation(count, rate, random());
    const TimePoint begin = simulation.now();
    double admitted = 0;
    for (int i = 0; i < 600; ++i) {
        if (random() % 50 == 0)
            simulation.setPartitioned(random() % count, random() % 2 == 0);
        if (random() % 100 == 0)
            simulation.restart(random() % count);
        const std::size_t busy = (static_cast<std::size_t>(i) / 100) % count;
        for (int call = 0; call < 8; ++call)
            admitted += simulation.take(call < 6 ? busy : random() % count) ? 1 : 0;
        simulation.step(0.3, 12);
        if (simulation.sumOfShares() > 1 + 1e-9)
            return false;
        const double elapsed = std::chrono::duration<double>(simulation.now() - begin).count();
        if (admitted > rate * (elapsed + 1) + static_cast<double>(count))
            return false;
    }
    return true;
}

} // namespace

Test(LimitShares, SharesNeverExceedTheLimitDespiteLostMessages)
{
    const bool held = rc::check("limit holds over all instances",
                                [](std::uint64_t seed) { RC_ASSERT(limitHoldsInRandomRun(seed)); });
    cr_assert(held);
}

Test(LimitShares, LimitHoldsWhereAGrantToAFormerIncarnationArrivesLate)
{
    for (const std::uint64_t seed : {13228962737728433685ULL, 36806281556927ULL})
        cr_assert(limitHoldsInRandomRun(seed), "seed %lu", static_cast<unsigned long>(seed));
}

Test(LimitShares, RestartedInstanceIgnoresGrantsToItsFormerIncarnation)
{
    const std::vector<InstanceId> instances{InstanceId("a"), InstanceId("b")};
    const auto start = [&instances](std::size_t self, TimePoint now) {
        auto shares
            = std::make_unique<LimitShares>(LimitSharesOptions{instances[self], instances}, now);
        shares->configure({{Firm, 10, 0}}, now);
        return shares;
    };
    const auto ask = [](LimitShares &shares, TimePoint now) {
        for (int i = 0; i < 100; ++i)
            shares.take(Firm, 0, now);
        return shares.requestShares(now).at(0).payload;
    };
    const TimePoint begin{std::chrono::seconds(100)};
    const auto lender = start(0, begin);
    const auto former = start(1, begin);
    const TimePoint askedAt = begin + std::chrono::seconds(5);
    const auto grant = lender->handle(instances[1], ask(*former, askedAt), askedAt);
    cr_assert(grant);

    const TimePoint restartedAt = askedAt + std::chrono::milliseconds(100);
    const auto restarted = start(1, restartedAt);
    const TimePoint later = restartedAt + std::chrono::seconds(1);
    ask(*restarted, later);
    const double before = restarted->usableShare(Firm, later);
    restarted->handle(instances[0], grant->payload, later);
    cr_assert_float_eq(restarted->usableShare(Firm, later), before, 1e-9);

    former->handle(instances[0], grant->payload, later);
    cr_assert_gt(former->usableShare(Firm, later), 0.5);
}

Test(LimitShares, BusyInstanceBorrowsMostOfTheLimit)
{
    Simulation simulation(9, 90, 7);
    for (int i = 0; i < 200; ++i) {
        for (int call = 0; call < 9; ++call)
            simulation.take(0);
        simulation.step(0, 1);
    }
    cr_assert_gt(simulation.share(0), 0.5);
}

Test(LimitShares, PartitionedInstanceFallsBackToItsOwnShare)
{
    Simulation simulation(4, 40, 7);
    for (int i = 0; i < 100; ++i) {
        for (int call = 0; call < 4; ++call)
            simulation.take(0);
        simulation.step(0, 1);
    }
    simulation.setPartitioned(0, true);
    for (int i = 0; i < 50; ++i) {
        simulation.take(0);
        simulation.step(0, 1);
    }
    cr_assert_float_eq(simulation.share(0), 0.25, 1e-9);
    cr_assert(simulation.take(0));
}

Test(LimitShares, UnlimitedCustomerIsAlwaysGranted)
{
    LimitShares shares({InstanceId("a"), {InstanceId("a")}}, TimePoint{});
    shares.configure({{Firm, 0, 0}}, TimePoint{});
    cr_assert(shares.take(Firm, 1e9, TimePoint{}).granted);
    cr_assert(shares.take(CustomerId("other"), 1e9, TimePoint{}).granted);
}

Test(LimitShares, TokenLimitRefusesUntilSettlementRefunds)
{
    const TimePoint begin{std::chrono::seconds(10)};
    LimitShares shares({InstanceId("a"), {InstanceId("a")}}, TimePoint{});
    shares.configure({{Firm, 0, 100}}, TimePoint{});
    cr_assert(shares.take(Firm, 300, begin).granted);
    const LimitResult refused = shares.take(Firm, 1, begin);
    cr_assert_not(refused.granted);
    cr_assert_geq(refused.retryAfter.count(),
                  std::chrono::nanoseconds(std::chrono::seconds(1)).count());
    shares.settle(Firm, -290);
    cr_assert(shares.take(Firm, 1, begin).granted);
}

Test(LimitShares, MalformedMessagesChangeNothing)
{
    LimitShares shares({InstanceId("a"), {InstanceId("a"), InstanceId("b")}}, TimePoint{});
    shares.configure({{Firm, 10, 0}}, TimePoint{});
    const TimePoint now{std::chrono::seconds(30)};
    std::mt19937_64 random(3);
    for (int i = 0; i < 2000; ++i) {
        std::string bytes(random() % 40, '\0');
        for (char &byte : bytes)
            byte = static_cast<char>(random());
        shares.handle(InstanceId("b"), bytes, now);
        cr_assert_leq(shares.usableShare(Firm, now), 0.5);
    }
}
