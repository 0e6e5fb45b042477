#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <gentianramp/core/metrics.hpp>
#include <gentianramp/relay/backend_table.hpp>
#include <gentianramp/relay/relay_service.hpp>
#include <map>
#include <random>
#include <set>

namespace gentianramp {

/// Counters of the relay, made once.
struct RelayMetrics
{
    explicit RelayMetrics(MetricsRegistry &registry);

    Counter &requests;
    Counter &served;
    Counter &refused;
    Counter &failed;
    Counter &repeats;
    Counter &resumes;
    Counter &callersGone;
    Distribution &firstEvent;
    Distribution &whole;
};

class RelayedRequest;

/// What all requests of a RelayService share.
struct RelayState : std::enable_shared_from_this<RelayState>
{
    RelayState(boost::asio::any_io_executor executor, RelayOptions options);

    /// Asks a silent engine for its state, at most one question at a time for each.
    void checkHealth(const BackendId &backend, const std::string &service);
    boost::asio::awaitable<void> checkUntilAnswered(BackendId backend, std::string path);
    boost::asio::awaitable<void> freeHandle(HttpAddress address, std::string handle);
    RetryAllowance &allowance(const std::string &service);
    double uniformRandom();

    boost::asio::any_io_executor executor;
    RelayOptions options;
    std::unique_ptr<MetricsRegistry> ownMetrics; ///< When the options name none.
    RelayMetrics metrics;
    HttpClient client;
    BackendTable table;
    std::shared_ptr<const RouteTable> routes;
    bool hasListing = false;
    std::uint32_t instances = 1;
    std::optional<TimePoint> shutdownDeadline;        ///< Of the process, while it leaves.
    std::map<std::string, RetryAllowance> allowances; ///< By service.
    std::set<BackendId> pendingHealthChecks;
    std::set<RelayedRequest *> openRequests; ///< Requests that are being served.
    std::mt19937_64 random;
};

} // namespace gentianramp
