#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/routing/fleet_view.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace gentianramp {

/// Time to live that messages about the fleet should be sent with.
constexpr Duration FleetMessageTtl = std::chrono::seconds(2);

/// Writes the fleet table of a data centre for its entry instances, as changes where possible.
class FleetSender
{
public:
    explicit FleetSender(DataCentreId dataCentre);

    /// Message that brings receivers from the last table to @p view; without a change it only
    /// confirms the table. A new @p fencing number starts with a whole table.
    std::string update(const FleetView &view, FencingNumber fencing);
    /// Message with the whole table, for a receiver that asked; empty when there is none.
    std::string wholeTable() const;
    /// Whether @p payload asks for the whole table.
    static bool isRequest(std::string_view payload);

private:
    DataCentreId m_dataCentre;
    FencingNumber m_fencing;
    std::uint64_t m_sequence = 0;
    std::map<BackendId, BackendView> m_backends;
};

/// Keeps the newest fleet table of one data centre.
class FleetReceiver
{
public:
    explicit FleetReceiver(DataCentreId dataCentre);

    /// What to do after a message.
    struct Outcome
    {
        std::optional<FleetView> view; ///< The table changed to this.
        std::string request;           ///< To send back to the sender; empty when none is due.
    };

    /// Takes a message of PayloadKind::Fleet. Tables of earlier holders and tables that were
    /// overtaken change nothing.
    Outcome onMessage(std::string_view payload, TimePoint now);
    /// Number of the holder whose table is kept; 0 when none is.
    FencingNumber fencing() const { return m_fencing; }
    /// Last time that the holder sent or confirmed the table that is kept.
    TimePoint confirmedAt() const { return m_confirmedAt; }
    FleetView view() const;

private:
    DataCentreId m_dataCentre;
    FencingNumber m_fencing;
    std::uint64_t m_sequence = 0;
    std::map<BackendId, BackendView> m_backends;
    TimePoint m_nextRequest;
    TimePoint m_confirmedAt;
};

} // namespace gentianramp
