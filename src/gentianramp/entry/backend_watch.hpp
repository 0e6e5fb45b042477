#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <gentianramp/core/timeline.hpp>
#include <gentianramp/http/client.hpp>
#include <gentianramp/routing/router.hpp>
#include <map>
#include <memory>
#include <vector>

namespace gentianramp {

/// Polls the load reports, phases and cache events of the backend servers in the local data centre,
/// and the phases of a bounded number in other data centres.
///
/// Used on one executor. While a backend server reports that it takes no new requests, or does not
/// answer, its phase at the router follows that and not the fleet table.
class BackendWatch : public std::enable_shared_from_this<BackendWatch>
{
public:
    BackendWatch(boost::asio::any_io_executor executor, Router &router, HttpClient &client,
                 TimelineWriter &timeline, DataCentreId site);

    /// Starts polling the backend servers of @p fleet and stops polling those of the same data
    /// centre that it does not list.
    void setFleet(const FleetView &fleet);
    /// Reads all phases at once; needed after this process was suspended.
    boost::asio::awaitable<void> refresh();
    /// Applies a phase from another source than polling; true when the phase changed.
    bool updatePhase(const BackendId &backend, BackendPhase phase);
    void stop();

private:
    struct Watched
    {
        BackendView view;
        BackendPhase phase = BackendPhase::Serving;
        unsigned failures = 0;
        std::uint64_t nextCacheEvent = 0;
        bool active = true; ///< False ends the polling coroutine.
    };

    bool isLocal(const BackendView &view) const { return view.site == m_site; }
    bool mayWatch(const BackendView &view) const;
    boost::asio::awaitable<void> watch(std::shared_ptr<Watched> watched);
    boost::asio::awaitable<void> refreshOne(std::shared_ptr<Watched> watched);
    boost::asio::awaitable<bool> readState(Watched &watched);
    boost::asio::awaitable<void> readLoad(const Watched &watched);
    boost::asio::awaitable<void> readCacheEvents(Watched &watched);
    boost::asio::awaitable<Result<std::string>> read(HttpAddress address, std::string target);
    void setPhase(Watched &watched, BackendPhase phase);

    boost::asio::any_io_executor m_executor;
    Router &m_router;
    HttpClient &m_client;
    TimelineWriter &m_timeline;
    DataCentreId m_site;
    bool m_stopped = false;
    std::size_t m_refreshing = 0;
    std::map<BackendId, std::shared_ptr<Watched>> m_watched;
};

} // namespace gentianramp
