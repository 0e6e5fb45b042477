#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <gentianramp/config/node_settings.hpp>
#include <gentianramp/entry/entry_service.hpp>
#include <memory>

namespace gentianramp {

/// Keeps an entry instance's fleet table as the holder of the data centre's lease sends it, and
/// tells the holder the demand once a second. Without a holder the last table stays in use.
class FleetLink
{
public:
    /// Make it before EntryService::start(); @p service must outlive it. Timers run on @p executor.
    FleetLink(EntryService &service, const NodeSettings &settings,
              const boost::asio::any_io_executor &executor);
    ~FleetLink();
    FleetLink(const FleetLink &) = delete;
    FleetLink &operator=(const FleetLink &) = delete;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianramp
