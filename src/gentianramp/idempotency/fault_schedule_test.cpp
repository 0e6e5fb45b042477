#include <gentianramp/core/invariant.hpp>
#include <gentianramp/idempotency/key_service_simulation.hpp>
#include <iomanip>
#include <sstream>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

constexpr int ScheduleCount = 300;
constexpr int KeyCount = 40;
constexpr Duration RunLength = 25s;
constexpr Duration MaxRepeatDelay = 3s; // for keys without a time; below the key lifetime

/// Attempts and dispatches of one logical request.
struct KeyHistory
{
    KeyScope scope;
    int sent = 0; ///< Attempts that the caller sent.
    int dispatched = 0;
};

struct Totals
{
    int dispatched = 0;
    int dispatchedTwice = 0;
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

/// One random run: callers repeat requests through any instance while faults are injected.
class FaultSchedule
{
public:
    explicit FaultSchedule(std::uint64_t seed)
        : m_simulation(sevenInstances(), scheduleOptions(), faults(seed), seed)
    { }

    Totals run()
    {
        const TimePoint start = m_simulation.now();
        for (int number = 0; number < KeyCount; ++number)
            m_simulation.at(start + m_simulation.randomDuration(RunLength),
                            [this, number] { startRequest(number); });
        for (int number = 0; number < 14; ++number)
            m_simulation.at(start + m_simulation.randomDuration(RunLength),
                            [this] { injectFault(); });
        if (m_simulation.chance(0.5))
            m_simulation.at(start + m_simulation.randomDuration(RunLength),
                            [this] { moveInstances(); });
        m_simulation.runUntil(start + RunLength + 10s);
        return m_totals;
    }

private:
    static SimulatedNetworkFaults faults(std::uint64_t seed)
    {
        std::mt19937_64 random(seed * 77 + 1);
        std::uniform_real_distribution<double> share(0, 0.25);
        return {.drop = share(random), .duplicate = share(random), .slow = share(random)};
    }

    /// Two pairs of instances exchange their data centres, so that most groups change.
    void moveInstances()
    {
        std::vector<PlacedInstance> moved = m_simulation.instances();
        std::swap(moved[0].dataCentre, moved[3].dataCentre);
        std::swap(moved[1].dataCentre, moved[5].dataCentre);
        m_simulation.changeInstances(moved, 3s);
    }

    InstanceId randomInstance()
    {
        const auto &instances = m_simulation.instances();
        return instances[m_simulation.random()() % instances.size()].instance;
    }

    void injectFault()
    {
        const InstanceId target = randomInstance();
        const auto kind = m_simulation.random()() % 4;
        if (kind < 2) {
            m_simulation.crash(target);
            m_simulation.after(m_simulation.randomDuration(700ms),
                               [this, target] { m_simulation.restart(target); });
        } else if (kind == 2) {
            m_simulation.pause(target, m_simulation.randomDuration(4s));
        } else {
            std::set<InstanceId> partitioned;
            for (const auto &placed : m_simulation.instances()) {
                if (placed.instance.value()[0] == target.value()[0])
                    partitioned.insert(placed.instance);
            }
            m_simulation.partition(std::move(partitioned));
            m_simulation.after(m_simulation.randomDuration(3s),
                               [this] { m_simulation.partition({}); });
        }
    }

    void startRequest(int number)
    {
        const std::string home(1, "abc"[m_simulation.random()() % 3]);
        const bool hasTimeInKey = m_simulation.chance(0.5);
        const std::string name = hasTimeInKey
            ? uuid7(m_simulation.wallMs(), m_simulation.random()())
            : "key-" + std::to_string(number);
        KeyHistory &history = m_keys[number];
        history.scope = {CustomerId("c"), ServiceId("bay"), IdempotencyKey(home + "/" + name)};
        const auto attempts = 1 + m_simulation.random()() % 4;
        // Keys with a time are refused after the lifetime, so their repeats may come later than
        // that.
        const Duration spread = hasTimeInKey ? Duration(12s) : MaxRepeatDelay;
        sendAttempt(number, true);
        for (std::uint64_t repeat = 1; repeat < attempts; ++repeat) {
            const Duration longest = m_simulation.chance(0.5) ? Duration(50ms) : spread;
            m_simulation.after(m_simulation.randomDuration(longest),
                               [this, number] { sendAttempt(number, false); });
        }
    }

    void sendAttempt(int number, bool first)
    {
        const InstanceId instance = randomInstance();
        if (m_simulation.service(instance) == nullptr)
            return;
        const std::uint64_t incarnation = m_simulation.incarnation(instance);
        KeyHistory &history = m_keys.at(number);
        ++history.sent;
        ClaimRequest request{.scope = history.scope,
                             .fingerprint = "body",
                             .firstAttempt = first,
                             .wallMs = m_simulation.wallMs(),
                             .deadline = m_simulation.now() + 3s};
        m_simulation.onInstance(instance, incarnation, [=, this] {
            ++m_totals.unanswered;
            m_simulation.service(instance)->claim(
                request, m_simulation.now(), [=, this](const ClaimResult &result) {
                    handleResult(number, instance, incarnation, result);
                });
        });
    }

    void handleResult(int number, const InstanceId &instance, std::uint64_t incarnation,
                      const ClaimResult &result)
    {
        --m_totals.unanswered;
        if (result.status == ClaimStatus::Granted) {
            const Duration delay = m_simulation.chance(0.8) ? Duration(1ms) : Duration(2s);
            m_simulation.after(m_simulation.randomDuration(delay), [=, this] {
                m_simulation.onInstance(instance, incarnation, [=, this] {
                    dispatch(number, instance, incarnation, result);
                });
            });
            return;
        }
        // A caller that has sent a repeat no longer waits for its first attempt. The NotRun of that
        // attempt says nothing about the repeat, which may have been dispatched.
        const bool abandoned
            = result.status == ClaimStatus::Unavailable && m_keys.at(number).sent > 1;
        if (result.verdict == Verdict::NotRun && !abandoned)
            recordNotRun(number);
        if (result.status == ClaimStatus::AlreadyComplete) {
            ++m_totals.complete;
            cr_expect_eq(m_keys.at(number).dispatched, 1);
        }
    }

    void recordNotRun(int number)
    {
        if (m_keys.at(number).dispatched > 0)
            ++m_totals.falseNotRun;
    }

    void dispatch(int number, const InstanceId &instance, std::uint64_t incarnation,
                  const ClaimResult &result)
    {
        if (!result.ticket.mayDispatch(m_simulation.now()) || m_simulation.chance(0.2)) {
            recordNotRun(number);
            settle(instance, result, {.state = ClaimState::Released});
            return;
        }
        ++m_totals.dispatched;
        if (++m_keys.at(number).dispatched > 1)
            ++m_totals.dispatchedTwice;
        const ClaimState state
            = m_simulation.chance(0.8) ? ClaimState::Complete : ClaimState::MayHaveRun;
        m_simulation.after(m_simulation.randomDuration(1s), [=, this] {
            m_simulation.onInstance(instance, incarnation, [=, this] {
                settle(instance, result, {.state = state, .answer = {.status = 200}});
            });
        });
    }

    void settle(const InstanceId &instance, const ClaimResult &result, const ClaimOutcome &outcome)
    {
        m_simulation.service(instance)->settle(result.ticket, outcome, m_simulation.now());
    }

    KeyServiceSimulation m_simulation;
    std::map<int, KeyHistory> m_keys;
    Totals m_totals;
};

} // namespace

Test(KeySchedules, EachKeyIsDispatchedAtMostOnce)
{
    Totals sum;
    for (std::uint64_t seed = 1; seed <= ScheduleCount; ++seed) {
        const Totals totals = FaultSchedule(seed).run();
        cr_expect_eq(totals.dispatchedTwice, 0, "seed %lu", static_cast<unsigned long>(seed));
        cr_expect_eq(totals.falseNotRun, 0, "seed %lu", static_cast<unsigned long>(seed));
        sum.dispatched += totals.dispatched;
        sum.complete += totals.complete;
    }
    cr_log_info("dispatched %d of %d, repeats answered %d", sum.dispatched,
                ScheduleCount * KeyCount, sum.complete);
    // Lower limits, so that the faults leave enough dispatches and answered repeats to check.
    cr_expect_gt(sum.dispatched, ScheduleCount * KeyCount / 2);
    cr_expect_gt(sum.complete, ScheduleCount * KeyCount / 20);
    cr_expect_eq(brokenInvariantCount(), 0U);
}
