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

/// Reads the load reports, phases and cache events of the backend servers of the own data centre,
/// and the phases of a bounded number of those elsewhere.
///
/// Used on one executor. A backend server that takes no new work is marked at the router for as
/// long as that lasts, whatever the fleet table says.
class BackendWatch : public std::enable_shared_from_this<BackendWatch>
{
public:
    BackendWatch(boost::asio::any_io_executor executor, Router &router, HttpClient &client,
                 TimelineWriter &timeline, DataCentreId site);

    /// Starts and stops watching so that of its data centre just the backend servers of @p fleet
    /// are watched.
    void setFleet(const FleetView &fleet);
    /// Reads all phases at once, as is needed after this process stood still.
    boost::asio::awaitable<void> refresh();
    /// Takes a phase that another source told; true when it is news.
    bool notePhase(const BackendId &backend, BackendPhase phase);
    void stop();

private:
    struct Watched
    {
        BackendView view;
        BackendPhase phase = BackendPhase::Serving;
        unsigned failures = 0;
        std::uint64_t nextCacheEvent = 0;
        bool wanted = true;
    };

    bool isLocal(const BackendView &view) const { return view.site == m_site; }
    bool hasRoomFor(const BackendView &view) const;
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
