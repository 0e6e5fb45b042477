// Replays of overload without a network: callers, instances that decide with old reports, and
// servers with a number of slots. Each replay compares the decision of the library with placing
// every request at once in order of arrival.

#include <gentianramp/admission/waiting_requests.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace gentianramp;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t Instances = 75;
constexpr std::size_t Servers = 24;
constexpr std::size_t Slots = 48;
constexpr std::size_t DataCentres = 3;
constexpr std::size_t Customers = 20;
constexpr int TickMs = 5;
constexpr int ReviewMs = 20;
constexpr int ReportMs = 100;
constexpr int ReportAgeMs = 200;
constexpr int ArrivalsEndMs = 26'000;
constexpr int EndMs = 33'000;
/// Requests that arrive in this time are measured.
constexpr int MeasuredFromMs = 8'000;
constexpr int MeasuredToMs = 24'000;
constexpr int BurstFromMs = 10'000;
constexpr int BurstToMs = 22'000;
constexpr int ImpatientReturnMs = 10;
constexpr int ImpatientReturns = 3;
/// Replays over which the shares of impatient and patient callers are averaged.
constexpr std::uint64_t Seeds = 4;

/// Value of a request that is on time, by priority.
constexpr std::array<double, 3> Weights{4, 2, 1};
constexpr double LargeFloor = 0.5;
constexpr double SubjectFloor = 0.25;
constexpr double PrioritySlack = 0.05;
/// Shares of fewer requests are mostly chance.
constexpr std::size_t MinCounted = 30;

struct Kind
{
    std::string name;
    std::uint32_t priority;
    double perSecond;
    double workMs; ///< Most requests; one of ten takes 2 to 4 times as long.
    int targetMs;
    int deadlineMs;
};

/// About 63 in 100 of the capacity.
const std::vector<Kind> UsualKinds{{"urgent", 0, 240, 400, 700, 2000},
                                   {"chat", 1, 540, 600, 1000, 3000},
                                   {"batch", 2, 180, 1000, 2500, 5000},
                                   {"rare", 2, 3, 800, 1500, 3000}};

enum class Policy { AtOnce, Admission };

struct Load
{
    std::string burstKind;     ///< Empty: none.
    std::string burstCustomer; ///< Whose requests come in the burst; empty: all customers'.
    double burstFactor = 1;
    bool isImpatient = false; ///< The callers of the burst return at once, three times.
    std::size_t lostServers = 0;
    std::size_t lostInstances = 0;
    double usualFactor = 1; ///< Of the usual load.
    std::uint64_t seed = 1;
};

struct Call
{
    AdmissionRequest request;
    int arrivedMs = 0;
    bool isImpatient = false;
    int returns = 0;
    int begunMs = -1; ///< When a slot was free for it.
    bool isRefused = false;
    WaitNumber number = 0;
};

struct Server
{
    std::multimap<int, Call *> running; ///< By the time of their end.
    std::deque<Call *> waiting;
    bool isUp = true;
};

struct Instance
{
    WaitingRequests waiting;
    std::map<WaitNumber, Call *> calls;
    std::vector<double> sent; ///< By server, since the report.
    WaitNumber lastNumber = 0;
    bool isUp = true;
};

TimePoint at(int ms)
{
    return TimePoint(std::chrono::seconds(1000) + milliseconds(ms));
}

class Replay
{
public:
    Replay(Policy policy, Load load)
        : m_policy(policy)
        , m_load(std::move(load))
        , m_servers(Servers)
        , m_instances(Instances)
        , m_report(Servers, 0)
        , m_random(m_load.seed)
        , m_callerRandom(m_load.seed + 1)
    {
        for (Instance &instance : m_instances)
            instance.sent.assign(Servers, 0);
    }

    void run()
    {
        for (m_nowMs = 0; m_nowMs < EndMs; m_nowMs += TickMs) {
            if (m_nowMs == BurstFromMs)
                loseParts();
            advanceServers();
            if (m_nowMs % ReportMs == 0)
                report();
            createCalls();
            while (!m_returns.empty() && m_returns.begin()->first <= m_nowMs) {
                Call *call = m_returns.begin()->second;
                m_returns.erase(m_returns.begin());
                arrive(*call);
            }
            if (m_nowMs % ReviewMs == 0)
                review();
        }
    }

    /// Calls @p visit with all measured requests.
    void forEach(const std::function<void(const Call &)> &visit) const
    {
        for (const auto &call : m_calls) {
            if (call->arrivedMs >= MeasuredFromMs && call->arrivedMs < MeasuredToMs)
                visit(*call);
        }
    }

    static bool isServed(const Call &call)
    {
        return call.begunMs >= 0
            && at(call.begunMs) + call.request.firstEventTime <= call.request.deadline;
    }

    static bool isOnTime(const Call &call)
    {
        return call.begunMs >= 0
            && at(call.begunMs) + call.request.firstEventTime <= call.request.onTimeUntil;
    }

    double value() const
    {
        double sum = 0;
        forEach([&](const Call &call) {
            sum += isOnTime(call) ? Weights.at(call.request.priority) : 0;
        });
        return sum;
    }

    struct Count
    {
        std::size_t requested = 0;
        std::size_t served = 0;
        double share() const
        {
            return static_cast<double>(served) / std::max<double>(requested, 1);
        }
    };

    Count count(const std::function<bool(const Call &)> &condition) const
    {
        Count result;
        forEach([&](const Call &call) {
            if (!condition(call))
                return;
            ++result.requested;
            result.served += isServed(call) ? 1 : 0;
        });
        return result;
    }

    /// Work that nine tenths of a kind stay below.
    Duration largeLimit(const std::string &kind) const
    {
        std::vector<Duration> works;
        forEach([&](const Call &call) {
            if (call.request.kind == kind)
                works.push_back(call.request.work);
        });
        if (works.empty())
            return {};
        std::sort(works.begin(), works.end());
        return works[works.size() * 9 / 10];
    }

    std::size_t longestServerQueue() const { return m_longestQueue; }
    std::size_t refusedWithRoom() const { return m_refusedWithRoom; }

private:
    static double uniform(std::mt19937_64 &random)
    {
        return std::uniform_real_distribution<double>(0, 1)(random);
    }

    double uniform() { return uniform(m_random); }

    void loseParts()
    {
        for (std::size_t index = 0; index < m_load.lostInstances; ++index) {
            Instance &instance = m_instances[index];
            instance.isUp = false;
            for (const auto &[number, call] : std::exchange(instance.calls, {}))
                m_returns.emplace(m_nowMs + ReviewMs, call);
        }
        for (std::size_t index = 0; index < m_load.lostServers; ++index) {
            Server &server = m_servers[index];
            server.isUp = false;
            // Those that did not begin there have not run, and are sent again.
            for (Call *call : std::exchange(server.waiting, {}))
                m_returns.emplace(m_nowMs + ReviewMs, call);
            server.running.clear();
        }
    }

    void advanceServers()
    {
        for (Server &server : m_servers) {
            server.running.erase(server.running.begin(), server.running.upper_bound(m_nowMs));
            std::erase_if(server.waiting,
                          [&](const Call *call) { return call->request.deadline <= at(m_nowMs); });
            while (server.isUp && server.running.size() < Slots && !server.waiting.empty()) {
                Call *call = server.waiting.front();
                server.waiting.pop_front();
                call->begunMs = m_nowMs;
                server.running.emplace(m_nowMs + toMilliseconds(call->request.work), call);
            }
            m_longestQueue = std::max(m_longestQueue, server.waiting.size());
        }
    }

    /// Instances see the report that was taken ReportAgeMs ago.
    void report()
    {
        std::vector<double> taken;
        taken.reserve(Servers);
        for (const Server &server : m_servers)
            taken.push_back(static_cast<double>(server.running.size() + server.waiting.size()));
        m_reports.push_back(std::move(taken));
        if (m_reports.size() <= ReportAgeMs / ReportMs)
            return;
        m_report = m_reports.front();
        m_reports.pop_front();
        for (Instance &instance : m_instances)
            instance.sent.assign(Servers, 0);
    }

    void createCalls()
    {
        const bool isBurst = m_nowMs >= BurstFromMs && m_nowMs < BurstToMs;
        if (m_nowMs >= ArrivalsEndMs)
            return;
        for (const Kind &kind : UsualKinds) {
            createCalls(kind, kind.perSecond * m_load.usualFactor, false);
            if (isBurst && kind.name == m_load.burstKind)
                createCalls(kind, kind.perSecond * (m_load.burstFactor - 1), true);
        }
    }

    void createCalls(const Kind &kind, double perSecond, bool isOfBurst)
    {
        std::poisson_distribution<int> count(perSecond * TickMs / 1000);
        for (int left = count(m_callerRandom); left > 0; --left) {
            auto call = std::make_unique<Call>();
            const double size = uniform(m_callerRandom) < 0.1 ? 2 + 2 * uniform(m_callerRandom)
                                                              : 0.5 + uniform(m_callerRandom);
            AdmissionRequest &request = call->request;
            request.priority = kind.priority;
            request.kind = kind.name;
            // A few customers are large.
            request.customer = "customer"
                + std::to_string(static_cast<int>(Customers * uniform(m_callerRandom)
                                                  * uniform(m_callerRandom)));
            if (isOfBurst && !m_load.burstCustomer.empty())
                request.customer = m_load.burstCustomer;
            request.identity = m_calls.size() + 1;
            request.work = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double, std::milli>(kind.workMs * size));
            request.firstEventTime = milliseconds(50) + request.work / 10;
            request.onTimeUntil = at(m_nowMs + kind.targetMs);
            request.deadline = at(m_nowMs + kind.deadlineMs);
            call->arrivedMs = m_nowMs;
            call->isImpatient = isOfBurst && m_load.isImpatient;
            m_calls.push_back(std::move(call));
            arrive(*m_calls.back());
        }
    }

    Instance &anyInstance()
    {
        for (;;) {
            Instance &instance = m_instances[static_cast<std::size_t>(uniform() * Instances)];
            if (instance.isUp)
                return instance;
        }
    }

    /// The better one of two servers, by what the instance knows.
    std::size_t chooseServer(const Instance &instance)
    {
        std::array<std::size_t, 2> drawn{};
        for (std::size_t &index : drawn) {
            do
                index = static_cast<std::size_t>(uniform() * Servers);
            while (!m_servers[index].isUp);
        }
        const auto taken
            = [&](std::size_t index) { return m_report[index] + instance.sent[index]; };
        return taken(drawn[0]) <= taken(drawn[1]) ? drawn[0] : drawn[1];
    }

    AdmissionConditions conditions(const Instance &instance, std::size_t server)
    {
        AdmissionConditions result;
        for (std::size_t index = 0; index < Servers; ++index) {
            if (!m_servers[index].isUp)
                continue;
            result.room.places += Slots;
            result.room.taken += m_report[index] + instance.sent[index];
            result.room.endsPerSecond += std::min<double>(Slots, m_report[index]) / MeanWorkS;
        }
        result.instances = static_cast<std::uint32_t>(Instances - lost());
        const double over = m_report[server] + instance.sent[server] + 1 - Slots;
        result.serverWait = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(std::max(over, 0.0) / Slots * MeanWorkS));
        result.random = uniform();
        return result;
    }

    std::size_t lost() const { return m_nowMs >= BurstFromMs ? m_load.lostInstances : 0; }

    void arrive(Call &call)
    {
        if (at(m_nowMs) >= call.request.deadline)
            return;
        Instance &instance = anyInstance();
        const std::size_t server = chooseServer(instance);
        if (m_policy == Policy::AtOnce)
            return send(instance, server, call);
        call.number = ++instance.lastNumber;
        const AdmissionConditions known = conditions(instance, server);
        const AdmissionDecision decision
            = instance.waiting.arrive(call.number, call.request, known, at(m_nowMs));
        if (decision.action == AdmissionAction::Refuse
            && decision.reason != AdmissionReason::DeadlineTooNear && instance.calls.empty()
            && known.room.taken < known.room.places / 2)
            ++m_refusedWithRoom;
        follow(instance, server, call, decision);
    }

    void follow(Instance &instance, std::size_t server, Call &call,
                const AdmissionDecision &decision)
    {
        switch (decision.action) {
        case AdmissionAction::Place:
            instance.calls.erase(call.number);
            return send(instance, server, call);
        case AdmissionAction::Wait:
            instance.calls[call.number] = &call;
            return;
        case AdmissionAction::Refuse:
            instance.calls.erase(call.number);
            return refused(call, decision.returnAfter);
        }
    }

    void refused(Call &call, Duration returnAfter)
    {
        call.isRefused = true;
        const Duration left = call.request.deadline - at(m_nowMs);
        if (call.isImpatient) {
            if (call.returns++ < ImpatientReturns)
                m_returns.emplace(m_nowMs + ImpatientReturnMs, &call);
            return;
        }
        m_returns.emplace(m_nowMs
                              + std::max<int>(static_cast<int>(toMilliseconds(
                                                  std::min<Duration>(returnAfter, left / 3))),
                                              TickMs),
                          &call);
    }

    void send(Instance &instance, std::size_t server, Call &call)
    {
        ++instance.sent[server];
        m_servers[server].waiting.push_back(&call);
    }

    void review()
    {
        for (Instance &instance : m_instances) {
            for (const WaitNumber number : instance.waiting.first(instance.calls.size())) {
                const auto found = instance.calls.find(number);
                if (found == instance.calls.end())
                    continue;
                const std::size_t server = chooseServer(instance);
                Call &call = *found->second;
                follow(instance, server, call,
                       instance.waiting.review(number, conditions(instance, server), at(m_nowMs)));
            }
        }
    }

    static constexpr double MeanWorkS = 0.8;

    Policy m_policy;
    Load m_load;
    std::vector<Server> m_servers;
    std::vector<Instance> m_instances;
    std::vector<double> m_report;
    std::deque<std::vector<double>> m_reports;
    std::vector<std::unique_ptr<Call>> m_calls;
    std::multimap<int, Call *> m_returns;
    std::mt19937_64 m_random;
    std::mt19937_64 m_callerRandom; ///< Both policies get the same requests.
    int m_nowMs = 0;
    std::size_t m_longestQueue = 0;
    std::size_t m_refusedWithRoom = 0;
};

void checkFloors(const Replay &replay)
{
    const auto all = replay.count([](const Call &) { return true; });
    std::map<std::string, Replay::Count> kinds;
    for (const Kind &kind : UsualKinds) {
        const Duration limit = replay.largeLimit(kind.name);
        const auto ofKind
            = replay.count([&](const Call &call) { return call.request.kind == kind.name; });
        const auto large = replay.count([&](const Call &call) {
            return call.request.kind == kind.name && call.request.work >= limit;
        });
        kinds[kind.name] = ofKind;
        cr_log_info("  %s: %zu, served %.3f, largest tenth %.3f", kind.name.c_str(),
                    ofKind.requested, ofKind.share(), large.share());
        cr_expect_geq(ofKind.share(), SubjectFloor * all.share(), "kind %s", kind.name.c_str());
        if (ofKind.requested >= 10 * MinCounted)
            cr_expect_geq(large.share(), LargeFloor * ofKind.share(), "largest tenth of %s",
                          kind.name.c_str());
    }
    for (const Kind &urgent : UsualKinds) {
        for (const Kind &other : UsualKinds) {
            if (urgent.priority < other.priority)
                cr_expect_geq(kinds[urgent.name].share(), kinds[other.name].share() - PrioritySlack,
                              "%s and %s", urgent.name.c_str(), other.name.c_str());
        }
    }
    double least = 1;
    for (std::size_t index = 0; index < Customers; ++index) {
        const std::string name = "customer" + std::to_string(index);
        const auto ofCustomer
            = replay.count([&](const Call &call) { return call.request.customer == name; });
        if (ofCustomer.requested < MinCounted)
            continue;
        least = std::min(least, ofCustomer.share());
        cr_expect_geq(ofCustomer.share(), SubjectFloor * all.share(), "%s", name.c_str());
    }
    cr_log_info("  all: %zu, served %.3f, least customer %.3f", all.requested, all.share(), least);
}

/// Checks the floors, and that more value is on time than with placing at once.
void compare(const char *name, const Load &load)
{
    Replay atOnce(Policy::AtOnce, load);
    atOnce.run();
    Replay admission(Policy::Admission, load);
    admission.run();
    cr_log_info("%s: value %.0f at once, %.0f with admission; longest queue %zu and %zu", name,
                atOnce.value(), admission.value(), atOnce.longestServerQueue(),
                admission.longestServerQueue());
    checkFloors(admission);
    cr_expect_gt(admission.value(), atOnce.value());
    cr_expect_eq(admission.refusedWithRoom(), 0);
}

} // namespace

// Guards against a burst of a kind that takes the places of the urgent ones.
Test(admission_replay, burstOfOneKind)
{
    compare("burst of one kind", {.burstKind = "batch", .burstFactor = 6});
}

// Guards against one customer's burst that leaves nothing to the others.
Test(admission_replay, burstOfOneCustomer)
{
    compare("burst of one customer",
            {.burstKind = "chat", .burstCustomer = "customer3", .burstFactor = 3});
}

// Guards against callers that gain a larger share by returning at once.
Test(admission_replay, impatientRetries)
{
    const Load load{.burstKind = "chat", .burstFactor = 3, .isImpatient = true};
    compare("impatient retries", load);
    const auto inBurst = [](const Call &call) {
        return call.request.kind == "chat" && call.arrivedMs >= BurstFromMs
            && call.arrivedMs < BurstToMs;
    };
    double impatient = 0;
    double patient = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        Load seeded = load;
        seeded.seed = seed;
        Replay replay(Policy::Admission, seeded);
        replay.run();
        const auto shareOf = [&](bool isImpatient) {
            return replay
                .count([&](const Call &call) {
                    return inBurst(call) && call.isImpatient == isImpatient;
                })
                .share();
        };
        cr_log_info("  seed %d: impatient %.4f, patient %.4f", static_cast<int>(seed),
                    shareOf(true), shareOf(false));
        impatient += shareOf(true) / Seeds;
        patient += shareOf(false) / Seeds;
    }
    cr_expect_leq(impatient, patient);
}

// Guards against queues at the remaining servers in which all requests become late.
Test(admission_replay, halfOfTheServersGone)
{
    compare("half of the servers gone", {.lostServers = Servers / 2});
}

// Guards against the loss of what waited in a data centre, and an overload of the others.
Test(admission_replay, oneDataCentreGone)
{
    compare("one data centre gone",
            {.lostServers = Servers / DataCentres,
             .lostInstances = Instances / DataCentres,
             .usualFactor = 1.25});
}
