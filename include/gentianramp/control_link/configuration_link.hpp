#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <gentianramp/config/node_settings.hpp>
#include <gentianramp/entry/entry_service.hpp>
#include <memory>

namespace gentianramp {

/// Puts the configurations in force that the ledger accepted, as the control processes of the data
/// centre spread them. Without control processes the last one stays in force.
class ConfigurationLink
{
public:
    /// Make it before EntryService::start(); @p service must outlive it. Timers run on @p executor.
    ConfigurationLink(EntryService &service, const NodeSettings &settings,
                      const boost::asio::any_io_executor &executor);
    ~ConfigurationLink();
    ConfigurationLink(const ConfigurationLink &) = delete;
    ConfigurationLink &operator=(const ConfigurationLink &) = delete;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianramp
