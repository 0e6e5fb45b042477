#include <gentianramp/registry/limit_granter.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <random>

#include <criterion/criterion.h>

using namespace gentianramp;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};
constexpr Duration Round = 200ms;

RequestLimit limit(const std::string &server, std::optional<double> perSecond,
                   const std::string &service = "s")
{
    return {.server = BackendId(server),
            .startedAtMs = 1,
            .service = service,
            .perSecond = perSecond,
            .statedAt = Start};
}

InstanceId instanceName(std::size_t number)
{
    return InstanceId("i" + std::to_string(number));
}

/// Requests of instances for one service, all of whose servers name limits. Messages to and from
/// the leader take a while.
class LimitedService
{
public:
    LimitedService(std::vector<double> limits, std::size_t instances, Duration messageTime = 350ms)
        : m_messageTime(messageTime)
        , m_instances(instances)
        , m_arrivals(instances)
        , m_held(instances, std::vector<LimitHolding>(limits.size()))
        , sentAt(limits.size())
    {
        for (std::size_t server = 0; server < limits.size(); ++server)
            m_limits.push_back(limit("server-" + std::to_string(server), limits[server]));
        for (auto &holdings : m_held) {
            for (std::size_t server = 0; server < limits.size(); ++server)
                holdings[server] = {.server = m_limits[server].server, .startedAtMs = 1};
        }
    }

    /// Another leader, which knows nothing of earlier grants.
    void replaceLeader()
    {
        granter = LimitGranter();
        ++term;
    }

    /// Plays requests at @p perSecond for each instance, at twice the rate for two of eight
    /// seconds.
    void play(const std::vector<double> &perSecond, Duration time)
    {
        const TimePoint end = m_now + time;
        for (; m_now < end; m_now += 10ms) {
            if ((m_now - Start) % Round == Duration::zero())
                exchange();
            const double factor = (m_now - Start) % Duration(8s) < 2s ? 2 : 2.0 / 3;
            for (std::size_t instance = 0; instance < m_instances; ++instance) {
                m_arrivals[instance] *= std::exp(-0.01);
                if (std::bernoulli_distribution(perSecond[instance] * factor * 0.01)(m_random))
                    request(instance);
            }
        }
    }

    /// Most requests that one server got in four seconds, as a share of what its limit allows.
    double worstWindow() const
    {
        double worst = 0;
        for (std::size_t server = 0; server < sentAt.size(); ++server) {
            const double allowed = 1.5 * 4 * *m_limits[server].perSecond + 5;
            const std::vector<TimePoint> &times = sentAt[server];
            for (auto first = times.begin(); first != times.end(); ++first) {
                const auto last = std::upper_bound(first, times.end(), *first + 4s);
                worst = std::max(worst, static_cast<double>(last - first) / allowed);
            }
        }
        return worst;
    }

    double served = 0;
    double offered = 0;
    LimitGranter granter;
    std::uint64_t term = 1;

private:
    void exchange()
    {
        std::map<InstanceId, ReportedDemand> reports;
        for (std::size_t instance = 0; instance < m_instances; ++instance) {
            reports[instanceName(instance)]
                = {.perSecond = {{"s", m_arrivals[instance]}}, .holdings = m_held[instance]};
        }
        m_reports.emplace_back(m_now + m_messageTime, std::move(reports));
        std::map<InstanceId, ReportedDemand> received;
        for (; !m_reports.empty() && m_reports.front().first <= m_now; m_reports.pop_front())
            received = std::move(m_reports.front().second);
        if (!received.empty())
            m_lastReceived = std::move(received);
        m_grants.emplace_back(m_now + m_messageTime,
                              granter.grant(m_limits, m_lastReceived, term, m_now));
        for (; !m_grants.empty() && m_grants.front().first <= m_now; m_grants.pop_front()) {
            for (const LimitGrant &grant : m_grants.front().second)
                apply(grant);
        }
    }

    void apply(const LimitGrant &grant)
    {
        for (std::size_t instance = 0; instance < m_instances; ++instance) {
            for (LimitHolding &holding : m_held[instance]) {
                if (instanceName(instance) != grant.instance || holding.server != grant.server
                    || grant.account < holding.account)
                    continue;
                if (grant.account > holding.account)
                    holding.applied = grant.total;
                holding.account = grant.account;
                holding.remaining += std::max(grant.total, holding.applied) - holding.applied;
                holding.applied = std::max(grant.total, holding.applied);
            }
        }
    }

    void request(std::size_t instance)
    {
        ++offered;
        m_arrivals[instance] += 1;
        for (std::size_t server = 0; server < m_limits.size(); ++server) {
            if (m_held[instance][server].remaining < 1)
                continue;
            m_held[instance][server].remaining -= 1;
            sentAt[server].push_back(m_now);
            ++served;
            return;
        }
    }

    Duration m_messageTime;
    std::size_t m_instances;
    std::vector<RequestLimit> m_limits;
    std::vector<double> m_arrivals; ///< Per second, averaged over about a second.
    std::vector<std::vector<LimitHolding>> m_held;
    std::deque<std::pair<TimePoint, std::map<InstanceId, ReportedDemand>>> m_reports;
    std::deque<std::pair<TimePoint, std::vector<LimitGrant>>> m_grants;
    std::map<InstanceId, ReportedDemand> m_lastReceived;
    TimePoint m_now = Start;
    std::mt19937 m_random{1};

public:
    std::vector<std::vector<TimePoint>> sentAt;
};

} // namespace

Test(limit_granter, noServerGetsMoreThanItsLimitHoweverManySend)
{
    for (const double perSecond : {0.3, 1.0, 4.6, 30.0}) {
        for (const std::size_t instances : {1, 7, 60}) {
            LimitedService service({perSecond, perSecond}, instances);
            service.play(std::vector<double>(instances, 20 + 4 * perSecond), 30s);
            cr_assert_leq(service.worstWindow(), 1, "%f %zu", perSecond, instances);
            // Where there is more to do than the servers take, they get what they take.
            const double got = static_cast<double>(service.sentAt[0].size()) / 30;
            cr_assert_geq(got, 0.7 * perSecond, "%f %zu", perSecond, instances);
        }
    }
}

Test(limit_granter, limitsAboveTheRequestsLetAlmostAllPass)
{
    LimitedService service({18, 18, 18}, 7);
    service.play(std::vector<double>(7, 3.9), 4s); // Until the first grants.
    service.served = service.offered = 0;
    service.play(std::vector<double>(7, 3.9), 60s);
    cr_assert_geq(service.served, 0.95 * service.offered, "%f of %f", service.served,
                  service.offered);
}

Test(limit_granter, grantsFollowTheRequests)
{
    LimitedService service({9, 9, 9}, 7);
    std::vector<double> uneven(7, 2.0);
    uneven[0] = 12;
    service.play(uneven, 20s);
    service.served = service.offered = 0;
    std::reverse(uneven.begin(), uneven.end());
    service.play(uneven, 20s);
    cr_assert_geq(service.served, 0.7 * service.offered);
}

Test(limit_granter, aNewLeaderGrantsNoMoreThanTheLimit)
{
    LimitedService service({4.6, 4.6}, 7);
    for (int leader = 0; leader < 10; ++leader) {
        service.play(std::vector<double>(7, 5), 3s);
        service.replaceLeader();
    }
    cr_assert_leq(service.worstWindow(), 1);
    cr_assert_geq(service.served, 0.3 * 30 * 9.2);
}

Test(limit_granter, nothingIsGrantedWithoutRequestsOrWithoutALimit)
{
    LimitGranter granter;
    cr_assert(granter.grant({limit("a", 2)}, {}, 1, Start).empty());
    const std::map<InstanceId, ReportedDemand> demands{
        {InstanceId("i"), {.perSecond = {{"s", 5}}}}};
    cr_assert(granter.grant({limit("a", std::nullopt)}, demands, 1, Start).empty());
    cr_assert(granter.grant({limit("a", 2, "other")}, demands, 1, Start).empty());
}

Test(limit_granter, aHugeLimitIsUsable)
{
    LimitedService service({std::numeric_limits<double>::infinity()}, 3);
    service.play({4, 4, 4}, 4s);
    service.served = service.offered = 0;
    service.play({4, 4, 4}, 10s);
    cr_assert_eq(service.served, service.offered);
}
