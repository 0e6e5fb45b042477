#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/registry/request_limit.hpp>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gentianramp {

/// The limit that instances keep to when a backend server names @p perSecond: not so low that no
/// answer would show a higher one, and finite.
double usableLimit(double perSecond);

/// Requests to a limited backend server that an instance has been granted.
struct LimitGrant
{
    BackendId server;
    std::int64_t startedAtMs = 0; ///< Tells the incarnation of the server.
    InstanceId instance;
    std::uint64_t account = 0; ///< Counts the total; a larger number replaces a smaller one.
    std::uint32_t total = 0;   ///< Requests granted since the account was opened.
    bool operator==(const LimitGrant &) const = default;
};

/// Limits of backend servers, and what was granted. Performs no I/O.
struct LimitTable
{
    std::uint64_t term = 0; ///< Of the leader that granted it.
    TimePoint grantedAt{};
    std::vector<RequestLimit> limits; ///< Also those that ended lately.
    std::vector<LimitGrant> grants;   ///< Those that the instances have not confirmed.
    bool operator==(const LimitTable &) const = default;
};

/// What an instance may still send to a limited backend server.
struct LimitHolding
{
    BackendId server;
    std::int64_t startedAtMs = 0;
    std::uint64_t account = 0; ///< Of the last grant received; 0: none.
    std::uint32_t applied = 0; ///< Total of that grant.
    double remaining = 0;      ///< Requests granted and not sent yet.
    bool operator==(const LimitHolding &) const = default;
};

/// Requests per second that arrive at an instance, by service.
using ServiceDemand = std::map<std::string, double>;

/// What an instance reports to be granted requests.
struct ReportedDemand
{
    ServiceDemand perSecond;
    std::vector<LimitHolding> holdings;
    TimePoint reportedAt{};
    bool operator==(const ReportedDemand &) const = default;
};

/// Grants of one server so far.
struct LimitSummary
{
    BackendId server;
    std::uint64_t granted = 0; ///< Requests since the limit was named.
    double held = 0;           ///< Requests granted and not known to be sent, as of the last call.
    std::size_t instances = 0; ///< That need requests.
    bool operator==(const LimitSummary &) const = default;
};

/// Grants the requests that limited backend servers take to the instances at which requests arrive.
///
/// Each server's limit fills a budget of requests. Each is granted to the instance that holds least
/// of what it needs until more grants can reach it. What instances hold unsent is bounded, so that
/// the requests sent within any four seconds stay below one and a half times the limit, whoever
/// sends them. Performs no I/O.
class LimitGranter
{
public:
    /// Grants what the limits allow since the last call, and returns all grants that the instances
    /// have not confirmed. @p term numbers the leader's time in office.
    std::vector<LimitGrant> grant(const std::vector<RequestLimit> &limits,
                                  const std::map<InstanceId, ReportedDemand> &demands,
                                  std::uint64_t term, TimePoint now);
    /// What was granted of each limit so far.
    std::vector<LimitSummary> summaries() const;

private:
    using ServerKey = std::pair<BackendId, std::int64_t>;
    struct Account
    {
        std::uint64_t number = 0;
        std::uint32_t total = 0;
    };
    struct Server
    {
        double budget = 0;
        double held = 0;
        std::uint64_t granted = 0;
        std::map<InstanceId, Account> accounts;
    };
    /// A server in one round of grants.
    struct ServerState
    {
        Server *server = nullptr;
        double mayHold = 0;             ///< Requests that instances may hold in addition.
        std::set<InstanceId> confirmed; ///< Instances that know their account.
    };
    /// An instance, and what it needs beyond what it holds at all servers of a service.
    struct Candidate
    {
        double need = 0;
        const InstanceId *instance = nullptr;

        bool operator<(const Candidate &other) const { return need < other.need; }
    };

    std::uint64_t openAccount(std::uint64_t term);
    ServerState readServer(const RequestLimit &limit, std::size_t index, std::size_t serverCount,
                           const std::map<InstanceId, ReportedDemand> &demands,
                           std::map<InstanceId, double> &needs, std::uint64_t term);
    static bool grantOne(ServerState &server, std::priority_queue<Candidate> &candidates,
                         std::map<InstanceId, double> &needs);
    void grantService(const std::string &service, const std::vector<const RequestLimit *> &limits,
                      const std::map<InstanceId, ReportedDemand> &demands, std::uint64_t term,
                      Duration sinceLast);

    std::map<ServerKey, Server> m_servers;
    std::uint64_t m_accounts = 0;
    TimePoint m_grantedAt{};
};

} // namespace gentianramp
