#include <gentianramp/registry/limit_exchange.hpp>

#include <algorithm>

namespace gentianramp {

namespace {

/// That a server names no limit any more is passed on for this time.
constexpr Duration EndedRetention = std::chrono::seconds(10);
/// A limit that no answer confirms for this time is dropped.
constexpr Duration LimitRetention = std::chrono::seconds(30);
/// Demand of an entry process that is not heard for this time no longer counts.
constexpr Duration DemandRetention = std::chrono::seconds(3);
/// Entry processes decide by themselves after this time.
constexpr Duration TableRetention = std::chrono::seconds(2);

} // namespace

void LimitExchange::expire(TimePoint now)
{
    std::erase_if(m_limits, [&](const auto &entry) {
        const RequestLimit &limit = entry.second;
        return now - limit.statedAt > (limit.perSecond ? LimitRetention : EndedRetention);
    });
    std::erase_if(m_demands, [&](const auto &entry) {
        return now - entry.second.reportedAt > DemandRetention;
    });
}

void LimitExchange::merge(const LimitReports &reports, TimePoint now)
{
    for (const RequestLimit &limit : reports.limits) {
        RequestLimit &known
            = m_limits.try_emplace({limit.server, limit.startedAtMs}, limit).first->second;
        if (limit.statedAt > known.statedAt)
            known = limit;
    }
    for (const auto &[instance, demand] : reports.demands) {
        ReportedDemand &known = m_demands.try_emplace(instance, demand).first->second;
        if (demand.reportedAt > known.reportedAt)
            known = demand;
    }
    expire(now);
}

void LimitExchange::publish(LimitTable table)
{
    if (std::pair(table.term, table.grantedAt) > std::pair(m_table.term, m_table.grantedAt))
        m_table = std::move(table);
}

const LimitTable &LimitExchange::grant(std::uint64_t term, TimePoint now)
{
    expire(now);
    m_table = {.term = term, .grantedAt = now, .limits = {}, .grants = {}};
    for (const auto &[incarnation, limit] : m_limits)
        m_table.limits.push_back(limit);
    m_table.grants = m_granter.grant(m_table.limits, m_demands, term, now);
    return m_table;
}

LimitReports LimitExchange::reports(TimePoint now) const
{
    LimitReports reports;
    for (const auto &[incarnation, limit] : m_limits)
        reports.limits.push_back(limit);
    for (const auto &[instance, demand] : m_demands) {
        if (now - demand.reportedAt <= DemandRetention)
            reports.demands.emplace(instance, demand);
    }
    return reports;
}

std::optional<LimitTable> LimitExchange::tableFor(const InstanceId &entry, TimePoint now) const
{
    if (m_table.limits.empty() || now - m_table.grantedAt > TableRetention)
        return std::nullopt;
    LimitTable table{.term = m_table.term,
                     .grantedAt = m_table.grantedAt,
                     .limits = m_table.limits,
                     .grants = {}};
    std::copy_if(m_table.grants.begin(), m_table.grants.end(), std::back_inserter(table.grants),
                 [&](const LimitGrant &grant) { return grant.instance == entry; });
    return table;
}

std::optional<double> LimitExchange::limitOf(const BackendId &server) const
{
    std::optional<RequestLimit> newest;
    for (const auto &[incarnation, limit] : m_limits) {
        if (incarnation.first == server && (!newest || limit.statedAt > newest->statedAt))
            newest = limit;
    }
    return newest ? newest->perSecond : std::nullopt;
}

} // namespace gentianramp
