#include "duty_service.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cmath>
#include <gentianramp/core/log.hpp>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

constexpr Duration StepInterval = std::chrono::milliseconds(50);
/// A leader that lost its majority may still consider itself the leader for an election timeout,
/// and its last call may be in transit until it times out.
constexpr Duration OrderMargin = std::chrono::milliseconds(1200);
/// Part of the platform's rate limit that is used: the rest is for calls of a former holder.
constexpr double UsedCallShare = 0.5;
/// A holder that has not reached the platform for this time passes its duties on.
constexpr Duration UnreachedTime = std::chrono::seconds(3);
constexpr Duration PassOnInterval = std::chrono::seconds(10);
constexpr Duration SizingInterval = std::chrono::milliseconds(250);
/// Nothing is ordered by an older list.
constexpr Duration MaxListAge = std::chrono::seconds(3);
/// Processes without recent reports are dropped after this time.
constexpr Duration ProcessRetention = std::chrono::minutes(5);

std::string_view nameOf(DutyCall::Kind kind)
{
    return kind == DutyCall::Kind::ReportUsage ? "report_usage" : "order_servers";
}

std::string_view kindOf(const ServerOrder &order)
{
    return order.spot ? "spot" : "on_demand";
}

std::string_view nameOf(DutyAnswer answer)
{
    switch (answer) {
    case DutyAnswer::Done:
        return "done";
    case DutyAnswer::Unavailable:
        return "unavailable";
    case DutyAnswer::Rejected:
        return "rejected";
    case DutyAnswer::Unanswered:
        break;
    }
    return "unanswered";
}

} // namespace

DutyService::DutyService(asio::any_io_executor executor, RegistryOptions options,
                         DutyServiceHooks hooks)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_authority(m_options.successorOrderDelay + OrderMargin)
    , m_runner({.callsPerSecond = UsedCallShare * m_options.dutyCallsPerSecond})
    , m_startedAtMs(wallClockMs())
{
    if (m_options.usage)
        m_reporter.emplace(*m_options.usage);
    if (!m_options.metrics)
        return;
    MetricsRegistry &metrics = *m_options.metrics;
    m_calls = &metrics.counter("gentianramp_registry_duty_calls_total",
                               "Calls that one process at a time may make");
    m_failedCalls = &metrics.counter("gentianramp_registry_duty_calls_failed_total",
                                     "Of these, calls without a usable answer");
    m_decidedWindows = &metrics.counter("gentianramp_registry_usage_windows_total",
                                        "Usage windows decided while this process led");
}

void DutyService::noteLeadership(bool leads, Term term, TimePoint now)
{
    m_runner.clear();
    m_hasTakenOver = false;
    if (leads)
        m_authority.gain(term.value(), now);
    else
        m_authority.lose();
}

std::optional<Duration> DutyService::platformAge(TimePoint now) const
{
    return m_platformReachedAt ? std::optional(Duration(now - *m_platformReachedAt)) : std::nullopt;
}

asio::awaitable<void> DutyService::run()
{
    const auto self = shared_from_this();
    while (!m_stopping) {
        observe(RuntimeClock::now());
        if (mayAct(RuntimeClock::now()) && !m_hasTakenOver)
            co_await takeOver();
        act(RuntimeClock::now());
        co_await sleepFor(StepInterval);
    }
}

void DutyService::observe(TimePoint now)
{
    m_usage.expire(now - ProcessRetention);
    DeclarationLedger *ledger = m_hooks.ledger();
    if (ledger && ledger->committedUsage())
        m_usage.dropDecided(ledger->committedUsage()->decided);
    if (ledger && m_options.callDuty && m_options.encodeOrder && now >= m_nextSizingAt) {
        m_nextSizingAt = now + SizingInterval;
        sizeFleet(*ledger, mayAct(now) && m_hasTakenOver, now);
    }
}

bool DutyService::mayAct(TimePoint now) const
{
    const DeclarationLedger *ledger = m_hooks.ledger();
    return m_options.callDuty && ledger && ledger->leads() && m_authority.mayAct(now);
}

asio::awaitable<void> DutyService::takeOver()
{
    const std::uint64_t token = m_authority.token();
    // Only a confirmed leader has applied all that its predecessors committed.
    const bool confirmed = co_await m_hooks.confirmLeadership();
    const TimePoint now = RuntimeClock::now();
    if (confirmed && mayAct(now) && m_authority.token() == token)
        startFromRecord(*m_hooks.ledger(), now);
}

void DutyService::startFromRecord(const DeclarationLedger &ledger, TimePoint now)
{
    m_hasTakenOver = true;
    m_sizer.takeOver();
    m_serverOrders.clear();
    if (m_reporter) {
        const std::optional<UsageRecord> &record = ledger.committedUsage();
        m_reporter->lead(record, trueMs(now),
                         m_options.firstStart ? std::optional(m_startedAtMs) : std::nullopt);
        if (record)
            addUndelivered(record->undelivered, now);
    }
    logInfo("duties_taken_over",
            {{"term", m_authority.token()}, {"waiting_calls", m_runner.waiting()}});
}

void DutyService::act(TimePoint now)
{
    if (!m_hasTakenOver || !mayAct(now))
        return;
    DeclarationLedger &ledger = *m_hooks.ledger();
    if (m_reporter)
        decideUsage(ledger, now);
    passOnIfUnreached(ledger, now);
    while (std::optional<DutyCall> call = m_runner.take(now))
        asio::co_spawn(m_executor, makeCall(std::move(*call), m_authority.token()), asio::detached);
}

bool DutyService::isReleasing(const std::string &service, const BackendListing &listing,
                              TimePoint now) const
{
    const bool isScaled = m_options.encodeOrder
        && std::any_of(m_declaration.services.begin(), m_declaration.services.end(),
                       [&](const DeclaredService &declared) {
                           return declared.name == service && declared.scaling;
                       });
    return isScaled && m_sizer.isReleasing(service, listing, now);
}

/// Parses a declaration when it comes into force.
void DutyService::updateDeclaration(const RawDeclaration &stored)
{
    if (stored.number == m_declaration.number)
        return;
    Result<Declaration> declaration = m_options.parseDeclaration(stored);
    if (declaration)
        m_declaration = std::move(declaration).value();
    m_declaration.number = stored.number;
}

void DutyService::sizeFleet(DeclarationLedger &ledger, bool mayOrder, TimePoint now)
{
    updateDeclaration(ledger.committed());
    const bool isScaled
        = std::any_of(m_declaration.services.begin(), m_declaration.services.end(),
                      [](const DeclaredService &service) { return service.scaling.has_value(); });
    if (!isScaled)
        return;
    const BackendListing listing = m_hooks.listing();
    if (listing.digest == 0 || now - listing.takenAt > MaxListAge)
        return;
    m_sizer.observe(listing, m_hooks.loads(), now);
    if (!mayOrder)
        return;
    for (const ServerOrder &order : m_sizer.decide(m_declaration, listing, now)) {
        const std::string subject = order.service + '/' + order.dataCentre.value();
        const std::string variant(kindOf(order));
        m_serverOrders[{subject, variant}] = order;
        m_runner.add({.kind = DutyCall::Kind::OrderServers,
                      .subject = subject,
                      .variant = variant,
                      .body = m_options.encodeOrder(order)},
                     now);
        const std::optional<EngineDemand> required = m_sizer.requiredEngines(order.service, now);
        logInfo("servers_ordered",
                {{"service", order.service},
                 {"data_centre", order.dataCentre.value()},
                 {"kind", kindOf(order)},
                 {"servers", order.servers},
                 {"required_prefill_milli", required ? std::llround(1000 * required->prefill) : -1},
                 {"required_decode_milli", required ? std::llround(1000 * required->decode) : -1},
                 {"list_age_ms", toMilliseconds(now - listing.takenAt)},
                 {"term", m_authority.token()}});
    }
}

void DutyService::decideUsage(DeclarationLedger &ledger, TimePoint now)
{
    if (m_isDeciding)
        return;
    const std::optional<std::uint64_t> window = m_reporter->due(m_usage, trueMs(now), now);
    if (!window)
        return;
    const UsageCounts counts = m_usage.totals(*window);
    UsageReport report{*window, m_options.encodeUsage(*window, counts)};
    m_isDeciding = true;
    const auto done = [weak = weak_from_this(), report, customers = counts.size(),
                       token = m_authority.token()](bool recorded) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->m_isDeciding = false;
        logInfo("usage_window_decided",
                {{"window", report.window},
                 {"customers", customers},
                 {"term", token},
                 {"recorded", recorded ? "yes" : "unknown"}});
        if (!recorded || self->m_authority.token() != token)
            return;
        if (self->m_decidedWindows)
            self->m_decidedWindows->add();
        self->m_reporter->noteDecided(report.window);
        self->addUndelivered({report}, RuntimeClock::now());
    };
    ledger.recordUsage(m_reporter->next(ledger.committedUsage(), std::move(report)), done, now);
}

void DutyService::addUndelivered(const std::vector<UsageReport> &reports, TimePoint now)
{
    for (const UsageReport &report : reports)
        m_runner.add({.kind = DutyCall::Kind::ReportUsage,
                      .subject = {},
                      .variant = std::to_string(report.window),
                      .body = report.body},
                     now);
}

asio::awaitable<void> DutyService::makeCall(DutyCall call, std::uint64_t token)
{
    const auto self = shared_from_this();
    DutyAnswer answer = DutyAnswer::Unanswered;
    // Confirmed directly before each call: a process that was suspended wakes believing it leads.
    const DutyPermit permit(token, RuntimeClock::now());
    const bool confirmed = co_await m_hooks.confirmLeadership();
    const auto mayStart
        = [self, permit] { return permit.isValid(self->m_authority, RuntimeClock::now()); };
    if (confirmed && mayStart()) {
        const TimePoint sentAt = RuntimeClock::now();
        if (m_calls)
            m_calls->add();
        answer = co_await m_options.callDuty(call, token, mayStart);
        const TimePoint now = RuntimeClock::now();
        if (answer != DutyAnswer::Unanswered)
            notePlatformReached(now);
        else if (m_failedCalls)
            m_failedCalls->add();
        logInfo("duty_call",
                {{"duty", nameOf(call.kind)},
                 {"subject", call.subject},
                 {"variant", call.variant},
                 {"token", token},
                 {"answer", nameOf(answer)},
                 {"after_ms", toMilliseconds(now - sentAt)}});
    }
    if (m_authority.token() != token)
        co_return;
    if (m_reporter && call.kind == DutyCall::Kind::ReportUsage
        && (answer == DutyAnswer::Done || answer == DutyAnswer::Rejected))
        m_reporter->noteDelivered(std::stoull(call.variant));
    const auto order = m_serverOrders.find({call.subject, call.variant});
    if (answer == DutyAnswer::Unavailable && order != m_serverOrders.end())
        m_sizer.noteUnavailable(order->second, RuntimeClock::now());
    if (answer == DutyAnswer::Done && order != m_serverOrders.end())
        m_sizer.noteAccepted(order->second);
    m_runner.finish(call, answer, RuntimeClock::now());
}

/// Lets another process lead when this one can't reach the platform.
void DutyService::passOnIfUnreached(DeclarationLedger &ledger, TimePoint now)
{
    const std::optional<Duration> age = platformAge(now);
    if ((age && *age <= UnreachedTime) || now < m_nextPassOnAt
        || !m_hooks.platformIsReachedElsewhere(now))
        return;
    m_nextPassOnAt = now + PassOnInterval;
    logWarning("duties_passed_on",
               {{"platform_age_ms", age ? toMilliseconds(*age) : -1},
                {"waiting_calls", m_runner.waiting()}});
    ledger.transferLeadership(now);
}

} // namespace gentianramp
