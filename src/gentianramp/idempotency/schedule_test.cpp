#include <gentianramp/core/invariant.hpp>
#include <gentianramp/idempotency/test_deployment.hpp>
#include <iomanip>
#include <sstream>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

constexpr int Schedules = 300;
constexpr int Keys = 40;
constexpr Duration RunLength = 25s;
constexpr Duration CallerLifetime = 3s; // Repeats without a time in the key, below the lifetime.

/// What became of one logical request.
struct KeyHistory
{
    KeyScope scope;
    int sent = 0; ///< Attempts that the caller sent.
    int dispatched = 0;
};

struct Totals
{
    int dispatched = 0;
    int doubled = 0;
    int falseNotRun = 0;
    int complete = 0;
    int unanswered = 0;
};

KeyServiceOptions scheduleOptions()
{
    KeyServiceOptions options;
    options.sites = {DataCentreId("a"), DataCentreId("b"), DataCentreId("c")};
    options.lifetime = 8s;
    options.longestWait = 4s;
    options.dispatchWindow = 1s;
    options.clockSkew = 200ms;
    options.settleTimeout = 6s;
    return options;
}

std::vector<PlacedInstance> sevenInstances()
{
    std::vector<PlacedInstance> placed;
    for (const char *name : {"a1", "a2", "a3", "b1", "b2", "c1", "c2"})
        placed.push_back({InstanceId(name), DataCentreId(std::string(1, name[0]))});
    return placed;
}

std::string uuid7(std::int64_t wallMs, std::uint64_t random)
{
    std::ostringstream text;
    text << std::hex << std::setfill('0') << std::setw(8) << (wallMs >> 16) << '-' << std::setw(4)
         << (wallMs & 0xffff) << "-7000-8000-" << std::setw(12) << (random & 0xffffffffffff);
    return text.str();
}

/// One random run: callers that repeat through any instance, under faults.
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : m_deployment(sevenInstances(), scheduleOptions(), faults(seed), seed)
    { }

    Totals run()
    {
        const TimePoint start = m_deployment.now();
        for (int number = 0; number < Keys; ++number)
            m_deployment.at(start + m_deployment.upTo(RunLength),
                            [this, number] { begin(number); });
        for (int number = 0; number < 14; ++number)
            m_deployment.at(start + m_deployment.upTo(RunLength), [this] { disturb(); });
        if (m_deployment.chance(0.5))
            m_deployment.at(start + m_deployment.upTo(RunLength), [this] { moveInstances(); });
        m_deployment.runUntil(start + RunLength + 10s);
        return m_totals;
    }

private:
    static TestNetworkFaults faults(std::uint64_t seed)
    {
        std::mt19937_64 random(seed * 77 + 1);
        std::uniform_real_distribution<double> share(0, 0.25);
        return {.drop = share(random), .duplicate = share(random), .slow = share(random)};
    }

    /// Two instances change their data centre, so that most groups change.
    void moveInstances()
    {
        std::vector<PlacedInstance> moved = m_deployment.instances();
        std::swap(moved[0].dataCentre, moved[3].dataCentre);
        std::swap(moved[1].dataCentre, moved[5].dataCentre);
        m_deployment.changeInstances(moved, 3s);
    }

    InstanceId anyInstance()
    {
        const auto &instances = m_deployment.instances();
        return instances[m_deployment.random()() % instances.size()].instance;
    }

    void disturb()
    {
        const InstanceId victim = anyInstance();
        const auto kind = m_deployment.random()() % 4;
        if (kind < 2) {
            m_deployment.crash(victim);
            m_deployment.after(m_deployment.upTo(700ms),
                               [this, victim] { m_deployment.restart(victim); });
        } else if (kind == 2) {
            m_deployment.pause(victim, m_deployment.upTo(4s));
        } else {
            std::set<InstanceId> cut;
            for (const auto &placed : m_deployment.instances()) {
                if (placed.instance.value()[0] == victim.value()[0])
                    cut.insert(placed.instance);
            }
            m_deployment.cutOff(std::move(cut));
            m_deployment.after(m_deployment.upTo(3s), [this] { m_deployment.cutOff({}); });
        }
    }

    void begin(int number)
    {
        const std::string home(1, "abc"[m_deployment.random()() % 3]);
        const bool timed = m_deployment.chance(0.5);
        const std::string name = timed ? uuid7(m_deployment.wallMs(), m_deployment.random()())
                                       : "key-" + std::to_string(number);
        KeyHistory &history = m_keys[number];
        history.scope = {CustomerId("c"), ServiceId("bay"), IdempotencyKey(home + "/" + name)};
        const auto attempts = 1 + m_deployment.random()() % 4;
        const Duration spread = timed ? Duration(12s) : CallerLifetime;
        attempt(number, true);
        for (std::uint64_t repeat = 1; repeat < attempts; ++repeat) {
            const Duration longest = m_deployment.chance(0.5) ? Duration(50ms) : spread;
            m_deployment.after(m_deployment.upTo(longest),
                               [this, number] { attempt(number, false); });
        }
    }

    void attempt(int number, bool first)
    {
        const InstanceId instance = anyInstance();
        if (m_deployment.service(instance) == nullptr)
            return;
        const std::uint64_t life = m_deployment.life(instance);
        KeyHistory &history = m_keys.at(number);
        ++history.sent;
        ClaimRequest request{.scope = history.scope,
                             .fingerprint = "body",
                             .firstAttempt = first,
                             .wallMs = m_deployment.wallMs(),
                             .deadline = m_deployment.now() + 3s};
        m_deployment.onInstance(instance, life, [=, this] {
            ++m_totals.unanswered;
            m_deployment.service(instance)->claim(
                request, m_deployment.now(),
                [=, this](const ClaimResult &result) { answer(number, instance, life, result); });
        });
    }

    void answer(int number, const InstanceId &instance, std::uint64_t life,
                const ClaimResult &result)
    {
        --m_totals.unanswered;
        if (result.status == ClaimStatus::Granted) {
            const Duration delay = m_deployment.chance(0.8) ? Duration(1ms) : Duration(2s);
            m_deployment.after(m_deployment.upTo(delay), [=, this] {
                m_deployment.onInstance(instance, life,
                                        [=, this] { dispatch(number, instance, life, result); });
            });
            return;
        }
        // A caller that repeated meanwhile gave up the attempt that it called its first.
        const bool givenUp
            = result.status == ClaimStatus::Unavailable && m_keys.at(number).sent > 1;
        if (result.verdict == Verdict::NotRun && !givenUp)
            tellNotRun(number);
        if (result.status == ClaimStatus::AlreadyComplete) {
            ++m_totals.complete;
            cr_expect_eq(m_keys.at(number).dispatched, 1);
        }
    }

    void tellNotRun(int number)
    {
        if (m_keys.at(number).dispatched > 0)
            ++m_totals.falseNotRun;
    }

    void dispatch(int number, const InstanceId &instance, std::uint64_t life,
                  const ClaimResult &result)
    {
        if (!result.ticket.mayDispatch(m_deployment.now()) || m_deployment.chance(0.2)) {
            tellNotRun(number);
            settle(instance, result, {.state = ClaimState::Released});
            return;
        }
        ++m_totals.dispatched;
        if (++m_keys.at(number).dispatched > 1)
            ++m_totals.doubled;
        const ClaimState state
            = m_deployment.chance(0.8) ? ClaimState::Complete : ClaimState::MayHaveRun;
        m_deployment.after(m_deployment.upTo(1s), [=, this] {
            m_deployment.onInstance(instance, life, [=, this] {
                settle(instance, result, {.state = state, .answer = {.status = 200}});
            });
        });
    }

    void settle(const InstanceId &instance, const ClaimResult &result, const ClaimOutcome &outcome)
    {
        m_deployment.service(instance)->settle(result.ticket, outcome, m_deployment.now());
    }

    TestDeployment m_deployment;
    std::map<int, KeyHistory> m_keys;
    Totals m_totals;
};

} // namespace

Test(KeySchedules, EachKeyIsDispatchedAtMostOnce)
{
    Totals sum;
    for (std::uint64_t seed = 1; seed <= Schedules; ++seed) {
        const Totals totals = Schedule(seed).run();
        cr_expect_eq(totals.doubled, 0, "seed %lu", static_cast<unsigned long>(seed));
        cr_expect_eq(totals.falseNotRun, 0, "seed %lu", static_cast<unsigned long>(seed));
        sum.dispatched += totals.dispatched;
        sum.complete += totals.complete;
    }
    cr_log_info("dispatched %d of %d, repeats answered %d", sum.dispatched, Schedules * Keys,
                sum.complete);
    cr_expect_gt(sum.dispatched, Schedules * Keys / 2);
    cr_expect_gt(sum.complete, Schedules * Keys / 20);
    cr_expect_eq(brokenInvariantCount(), 0U);
}
