#pragma once

#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/registry/limit_granter.hpp>
#include <gentianramp/registry/request_limit.hpp>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace gentianramp {

/// What entry processes observed of limits of backend servers.
struct LimitReports
{
    std::vector<RequestLimit> limits;
    std::map<InstanceId, ReportedDemand> demands;
    bool operator==(const LimitReports &) const = default;
};

/// One registry process's part in limits of backend servers: collects what entry processes report,
/// grants what they allow while it leads, and passes the leader's table on. Performs no I/O.
class LimitExchange
{
public:
    /// Adds what entry processes observed. The newest statement on each server and the newest
    /// demand of each process count.
    void merge(const LimitReports &reports, TimePoint now);
    /// Sets the table of the leader, unless it is older than the one held.
    void publish(LimitTable table);
    /// Grants what the limits allow as the leader of @p term.
    const LimitTable &grant(std::uint64_t term, TimePoint now);
    /// Grants as the leader.
    std::vector<LimitSummary> summaries() const { return m_granter.summaries(); }

    /// What the leader has to know. Demands come without limits from entry processes that know them
    /// from the leader's table alone.
    LimitReports reports(TimePoint now) const;
    /// The part of the newest table that concerns one entry process; empty if there is none that
    /// matters.
    std::optional<LimitTable> tableFor(const InstanceId &entry, TimePoint now) const;
    /// The limit that the server named last; empty: none.
    std::optional<double> limitOf(const BackendId &server) const;

private:
    using Incarnation = std::pair<BackendId, std::int64_t>;

    void expire(TimePoint now);

    std::map<Incarnation, RequestLimit> m_limits;
    std::map<InstanceId, ReportedDemand> m_demands;
    LimitGranter m_granter;
    LimitTable m_table;
};

} // namespace gentianramp
