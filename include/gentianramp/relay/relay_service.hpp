#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <gentianramp/core/metrics.hpp>
#include <gentianramp/declaration/route_table.hpp>
#include <gentianramp/http/client.hpp>
#include <gentianramp/http/server.hpp>
#include <gentianramp/registry/backend_listing.hpp>
#include <gentianramp/relay/backend_protocol.hpp>
#include <gentianramp/relay/retry_allowance.hpp>
#include <memory>

namespace gentianramp {

/// Options of a RelayService.
struct RelayOptions
{
    DataCentreId dataCentre;
    BackendProtocol protocol;
    RetryBounds retries;
    std::uint64_t seed = 1;
    MetricsRegistry *metrics = nullptr;
    /// Age of the declaration in force, for log lines; empty: never confirmed.
    std::function<std::optional<Duration>()> declarationAge = [] { return std::nullopt; };
    std::function<std::optional<Duration>()> listingAge = [] { return std::nullopt; };
};

struct RelayState;

/// The path of a request by declared routes: identify, choose, send, relay, settle. Repeats what
/// may be repeated, goes on with streams that broke, and says truly whether a request ran.
/// Used on one thread.
class RelayService
{
public:
    RelayService(boost::asio::any_io_executor executor, RelayOptions options);
    ~RelayService();
    RelayService(const RelayService &) = delete;
    RelayService &operator=(const RelayService &) = delete;

    /// Puts a declaration in force unless its number is lower than the present one.
    void publish(Declaration declaration);
    void publish(const BackendListing &listing);
    void publish(const LoadReports &loads);
    void setInstances(std::uint32_t instances);
    /// Number of the declaration in force; 0: none.
    std::uint64_t declarationNumber() const;
    /// The process ends at @p end: requests that may not be over by then are refused.
    void setShutdownDeadline(TimePoint deadline);
    /// The process ends now: requests that are still open get their final answers.
    void expireAll();
    /// A declaration and a list are there.
    bool hasRoutingData() const;

    /// Answers callers' requests.
    HttpHandler handler();

private:
    std::shared_ptr<RelayState> m_state;
};

} // namespace gentianramp
