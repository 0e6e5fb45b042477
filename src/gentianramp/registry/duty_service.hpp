#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <gentianramp/core/metrics.hpp>
#include <gentianramp/registry/declaration_ledger.hpp>
#include <gentianramp/registry/duty_runner.hpp>
#include <gentianramp/registry/registry_node.hpp>
#include <gentianramp/usage/true_time.hpp>
#include <memory>

namespace gentianramp {

/// What a DutyService needs of its registry process.
struct DutyServiceHooks
{
    /// The open ledger; null if there is none.
    std::function<DeclarationLedger *()> ledger;
    /// True once a majority has confirmed that this process leads.
    std::function<boost::asio::awaitable<bool>()> confirmLeadership;
    std::function<BackendListing()> listing; ///< The newest, with reported stages.
    std::function<LoadReports()> loads;
    /// Another process that may lead has reached the platform lately.
    std::function<bool(TimePoint now)> platformIsReachedElsewhere;
};

/// Makes the calls that one registry process at a time may make, while this one leads: decides
/// usage reports, stores them in the ledger, and sends them. Used on one thread.
class DutyService : public std::enable_shared_from_this<DutyService>
{
public:
    DutyService(boost::asio::any_io_executor executor, RegistryOptions options,
                DutyServiceHooks hooks);

    /// Runs until stop().
    boost::asio::awaitable<void> run();
    void stop() { m_stopping = true; }

    void noteLeadership(bool leads, Term term, TimePoint now);
    /// The platform answered a call of this process.
    void notePlatformReached(TimePoint now) { m_platformReachedAt = now; }
    /// Time since the platform answered; empty: never.
    std::optional<Duration> platformAge(TimePoint now) const;
    /// True time in Unix milliseconds.
    std::int64_t trueMs(TimePoint now) const { return m_clocks.trueMs(wallClockMs(), now); }

    /// See FleetSizer::isReleasing().
    bool isReleasing(const std::string &service, const BackendListing &listing,
                     TimePoint now) const;
    ClockMedian &clocks() { return m_clocks; }
    UsageAggregate &usage() { return m_usage; }
    const DutyAuthority &authority() const { return m_authority; }

private:
    /// Keeps what the duties need up to date, whether or not this process leads.
    void observe(TimePoint now);
    bool mayAct(TimePoint now) const;
    /// Continues the duties of the former leader. Takes until a majority has confirmed this one.
    boost::asio::awaitable<void> takeOver();
    void startFromRecord(const DeclarationLedger &ledger, TimePoint now);
    void act(TimePoint now);
    void sizeFleet(DeclarationLedger &ledger, bool mayOrder, TimePoint now);
    void updateDeclaration(const RawDeclaration &stored);
    void decideUsage(DeclarationLedger &ledger, TimePoint now);
    void addUndelivered(const std::vector<UsageReport> &reports, TimePoint now);
    boost::asio::awaitable<void> makeCall(DutyCall call, std::uint64_t token);
    void passOnIfUnreached(DeclarationLedger &ledger, TimePoint now);

    boost::asio::any_io_executor m_executor;
    RegistryOptions m_options;
    DutyServiceHooks m_hooks;
    ClockMedian m_clocks;
    UsageAggregate m_usage;
    DutyAuthority m_authority;
    DutyRunner m_runner;
    std::optional<UsageReporter> m_reporter;
    FleetSizer m_sizer;
    std::map<std::pair<std::string, std::string>, ServerOrder> m_serverOrders; ///< Sent last.
    Declaration m_declaration; ///< In force, if it could be parsed.
    TimePoint m_nextSizingAt{};
    std::int64_t m_startedAtMs;  ///< True time as of the start of this process.
    bool m_hasTakenOver = false; ///< The reporter knows the ledger's record.
    bool m_isDeciding = false;
    bool m_stopping = false;
    std::optional<TimePoint> m_platformReachedAt;
    TimePoint m_nextPassOnAt{};
    Counter *m_calls = nullptr;
    Counter *m_failedCalls = nullptr;
    Counter *m_decidedWindows = nullptr;
};

} // namespace gentianramp
