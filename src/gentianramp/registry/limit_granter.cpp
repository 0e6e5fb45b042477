#include <gentianramp/registry/limit_granter.hpp>

#include <algorithm>
#include <cmath>
#include <queue>

namespace gentianramp {

namespace {

/// A server that names a lower limit is still sent one request in this time: its answer shows
/// whether the limit has changed.
constexpr Duration LongestRequestInterval = std::chrono::seconds(4);
constexpr double LargestLimit = 1e6;
/// What instances may hold unsent of a server's limit: seconds of the limit, and requests.
constexpr double HeldSeconds = 1.5;
constexpr double HeldRequests = 3;
/// Budget of a server that is not granted at once, in seconds of the limit; at least one request.
constexpr double BudgetSeconds = 0.3;
/// Time in which a grant follows a report. An instance needs the requests that arrive meanwhile,
/// and one more.
constexpr Duration GrantTime = std::chrono::seconds(1);
constexpr double SpareRequests = 1;
/// What the needs of all instances leave is held for bursts: so many times as much.
constexpr double BurstFactor = 3;
/// An idle leader's first grant covers this time at most.
constexpr Duration LongestInterval = std::chrono::seconds(1);
constexpr unsigned AccountBits = 32;
/// Bounds what is sent where many servers of a service name limits.
constexpr std::size_t MaxAccountsOfInstance = 16;

double secondsOf(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

const LimitHolding *holdingOf(const ReportedDemand &demand, const RequestLimit &limit)
{
    const auto found = std::find_if(
        demand.holdings.begin(), demand.holdings.end(), [&](const LimitHolding &holding) {
            return holding.server == limit.server && holding.startedAtMs == limit.startedAtMs;
        });
    return found == demand.holdings.end() ? nullptr : &*found;
}

} // namespace

double usableLimit(double perSecond)
{
    return std::clamp(perSecond, 1 / secondsOf(LongestRequestInterval), LargestLimit);
}

std::uint64_t LimitGranter::openAccount(std::uint64_t term)
{
    return (term << AccountBits) + ++m_accounts;
}

std::vector<LimitGrant> LimitGranter::grant(const std::vector<RequestLimit> &limits,
                                            const std::map<InstanceId, ReportedDemand> &demands,
                                            std::uint64_t term, TimePoint now)
{
    const Duration sinceLast = std::min<Duration>(now - m_grantedAt, LongestInterval);
    m_grantedAt = now;
    std::map<std::string, std::vector<const RequestLimit *>> services;
    std::map<ServerKey, Server> kept;
    for (const RequestLimit &limit : limits) {
        if (!limit.perSecond)
            continue;
        services[limit.service].push_back(&limit);
        const ServerKey key(limit.server, limit.startedAtMs);
        kept[key] = std::move(m_servers[key]);
        std::erase_if(kept[key].accounts,
                      [&](const auto &entry) { return !demands.contains(entry.first); });
    }
    m_servers = std::move(kept);
    for (const auto &[service, limitsOfService] : services)
        grantService(service, limitsOfService, demands, term, sinceLast);
    std::vector<LimitGrant> grants;
    for (const auto &[key, server] : m_servers) {
        for (const auto &[instance, account] : server.accounts) {
            const std::vector<LimitHolding> &holdings = demands.at(instance).holdings;
            const bool isConfirmed
                = std::any_of(holdings.begin(), holdings.end(), [&](const LimitHolding &holding) {
                      return holding.server == key.first && holding.startedAtMs == key.second
                          && holding.account == account.number && holding.applied == account.total;
                  });
            if (!isConfirmed)
                grants.push_back({key.first, key.second, instance, account.number, account.total});
        }
    }
    return grants;
}

/// Reads what the instances hold at one server, and opens accounts for those that need requests.
LimitGranter::ServerState
LimitGranter::readServer(const RequestLimit &limit, std::size_t index, std::size_t serverCount,
                         const std::map<InstanceId, ReportedDemand> &demands,
                         std::map<InstanceId, double> &needs, std::uint64_t term)
{
    Server &server = m_servers[{limit.server, limit.startedAtMs}];
    ServerState state{.server = &server, .mayHold = 0, .confirmed = {}};
    double held = 0;
    for (const auto &[instance, demand] : demands) {
        const LimitHolding *holding = holdingOf(demand, limit);
        auto account = server.accounts.find(instance);
        const bool isConfirmed = holding && account != server.accounts.end()
            && holding->account == account->second.number;
        double holds = holding ? std::max(holding->remaining, 0.0) : 0;
        if (account != server.accounts.end()) {
            const std::uint32_t total = account->second.total;
            holds += total - (isConfirmed ? std::min(holding->applied, total) : 0);
        }
        held += holds;
        const auto need = needs.find(instance);
        if (need == needs.end())
            continue;
        need->second -= holds;
        const std::size_t first = std::hash<std::string>{}(instance.value()) % serverCount;
        const bool mayHaveAccount
            = (index + serverCount - first) % serverCount < MaxAccountsOfInstance;
        if (account == server.accounts.end() && mayHaveAccount)
            server.accounts[instance].number = openAccount(term);
        // A grant of an account that the instance does not know yet would be lost.
        if (isConfirmed)
            state.confirmed.insert(instance);
    }
    server.held = held;
    state.mayHold = usableLimit(*limit.perSecond) * HeldSeconds + HeldRequests - held;
    return state;
}

std::vector<LimitSummary> LimitGranter::summaries() const
{
    std::vector<LimitSummary> summaries;
    summaries.reserve(m_servers.size());
    for (const auto &[key, server] : m_servers)
        summaries.push_back({key.first, server.granted, server.held, server.accounts.size()});
    return summaries;
}

void LimitGranter::grantService(const std::string &service,
                                const std::vector<const RequestLimit *> &limits,
                                const std::map<InstanceId, ReportedDemand> &demands,
                                std::uint64_t term, Duration sinceLast)
{
    std::map<InstanceId, double> needs;
    for (const auto &[instance, demand] : demands) {
        const auto found = demand.perSecond.find(service);
        if (found != demand.perSecond.end() && found->second > 0)
            needs[instance] = found->second * secondsOf(GrantTime) + SpareRequests;
    }
    std::vector<ServerState> servers;
    servers.reserve(limits.size());
    for (std::size_t index = 0; index < limits.size(); ++index) {
        const RequestLimit &limit = *limits[index];
        servers.push_back(readServer(limit, index, limits.size(), demands, needs, term));
        const double perSecond = usableLimit(*limit.perSecond);
        double &budget = servers.back().server->budget;
        budget = std::min(budget + perSecond * secondsOf(sinceLast),
                          std::max(perSecond * BudgetSeconds, 1.0));
    }
    for (const bool forBursts : {false, true}) {
        std::priority_queue<Candidate> candidates;
        for (auto &[instance, need] : needs) {
            if (forBursts)
                need += (BurstFactor - 1) * demands.at(instance).perSecond.at(service)
                    * secondsOf(GrantTime);
            if (need > 0)
                candidates.push({need, &instance});
        }
        for (bool hasGranted = true; hasGranted;) {
            hasGranted = false;
            for (ServerState &server : servers)
                hasGranted = grantOne(server, candidates, needs) || hasGranted;
        }
    }
}

/// Grants one request of a server to the instance in greatest need; false if there is none or the
/// server's budget is used up.
bool LimitGranter::grantOne(ServerState &server, std::priority_queue<Candidate> &candidates,
                            std::map<InstanceId, double> &needs)
{
    std::vector<Candidate> kept;
    bool hasGranted = false;
    while (!hasGranted && server.server->budget >= 1 && server.mayHold >= 1
           && !candidates.empty()) {
        Candidate candidate = candidates.top();
        candidates.pop();
        if (server.confirmed.contains(*candidate.instance)) {
            ++server.server->accounts[*candidate.instance].total;
            ++server.server->granted;
            server.server->budget -= 1;
            server.mayHold -= 1;
            needs.at(*candidate.instance) -= 1;
            candidate.need -= 1;
            hasGranted = true;
        }
        if (candidate.need > 0)
            kept.push_back(candidate);
    }
    for (const Candidate &candidate : kept)
        candidates.push(candidate);
    return hasGranted;
}

} // namespace gentianramp
