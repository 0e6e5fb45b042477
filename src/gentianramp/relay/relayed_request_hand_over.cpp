#include "relayed_request.hpp"

#include "forwarded_headers.hpp"

#include <algorithm>
#include <gentianramp/core/log.hpp>
#include <gentianramp/relay/retry_after.hpp>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

/// Instances that reach servers and refuse a request before it is refused to the caller.
constexpr std::uint32_t MaxRefusals = 2;
/// Instances that refuse a request because they decide by another declaration.
constexpr std::uint32_t MaxDeclarationRefusals = 4;
/// Instances are in the same region.
constexpr Duration HelperConnectTimeout = std::chrono::milliseconds(250);
} // namespace

bool RelayedRequest::mayHandOver() const
{
    return m_source == RequestSource::Caller && m_sendCount < maxAttempts()
        && m_state->table.halfSilent() && (m_verdict == Verdict::NotRun || m_route->repeatable());
}

asio::awaitable<RelayedRequest::HandOverEnd> RelayedRequest::followDeclarationInForce()
{
    if (adoptDeclarationInForce() || !mayDecideAnew())
        co_return HandOverEnd::NotTaken;
    dropDecision();
    bool isRouted = co_await resolveRoute();
    if (isRouted)
        startDeadline();
    if (isRouted && m_lastEventId)
        isRouted = co_await resolveOrigin();
    co_return isRouted ? HandOverEnd::DecidedAnew : HandOverEnd::Answered;
}

asio::awaitable<RelayedRequest::HandOverEnd> RelayedRequest::handOver()
{
    releasePrefilledPrompt();
    // The request may have arrived before the declaration in force.
    HandOverEnd end = co_await followDeclarationInForce();
    if (end != HandOverEnd::NotTaken)
        co_return end;
    if ((m_prefillCount > 0 || m_sendCount > 0) && !takeFurtherSends())
        co_return HandOverEnd::NotTaken;
    const std::vector<RelayHelper> helpers
        = m_state->options.peers.helpers(m_service, m_state->random());
    std::uint32_t refusals = 0;
    std::uint32_t declarationRefusals = 0;
    for (auto helper = helpers.begin(); helper != helpers.end();) {
        if (m_expired || timeLeft() < MinTimeLeftForSend || refusals >= MaxRefusals
            || declarationRefusals >= MaxDeclarationRefusals)
            break;
        const HandOverResult result = co_await handOverTo(*helper);
        if (result.attempt == AttemptResult::Done || m_callerGone)
            co_return HandOverEnd::Answered;
        if (result.otherDeclaration) {
            ++declarationRefusals;
            m_state->metrics.handOversOtherDeclaration.add();
            const bool isBehind = isNewerDeclaration(*result.otherDeclaration, declarationNumber());
            if (isBehind)
                co_await m_state->declarations.catchUp(helper->instance, *result.otherDeclaration);
            end = co_await followDeclarationInForce();
            if (end != HandOverEnd::NotTaken)
                co_return end;
            // A request that keeps an older declaration is refused by those that have a newer one.
            if (m_routes != m_state->routes)
                break;
            const bool mayTakeNow = isBehind && *result.otherDeclaration == declarationNumber();
            helper += mayTakeNow ? 0 : 1;
            continue;
        }
        ++helper;
        m_state->metrics.handOversFailed.add();
        if (result.attempt == AttemptResult::MayHaveRun
            && (!mayRepeat(result.attempt) || !takeRepeat())) {
            co_await fail();
            co_return HandOverEnd::Answered;
        }
        refusals += result.attempt == AttemptResult::NotRun && !result.lacksServers ? 1 : 0;
        if (result.attempt == AttemptResult::NotRun && result.wasSent && !takeFurtherSends())
            break;
    }
    co_return HandOverEnd::NotTaken;
}

bool RelayedRequest::takeFurtherSends()
{
    return takeRepeats(m_prompt ? 2 : 1);
}

HttpCall RelayedRequest::makeHandOverCall(const RelayHelper &helper) const
{
    const BackendProtocol &protocol = m_state->options.protocol;
    HttpCall call;
    call.address = helper.address;
    call.request.method = m_request->method;
    call.request.target = m_request->target;
    call.sharedBody = std::shared_ptr<const std::string>(m_request, &m_request->body);
    const std::string_view connection = m_request->headers.find("Connection");
    for (const HttpHeader &field : m_request->headers.fields()) {
        if (!isInstanceHeader(field.name) && !isHopByHop(field.name)
            && !listedInConnection(connection, field.name))
            call.request.headers.add(field.name, field.value);
    }
    if (m_routes->requiresKeys()) {
        call.request.headers.remove(protocol.authorization);
        call.request.headers.set(instance_headers::Customer, m_customer);
    }
    call.request.headers.set(protocol.timeBudget, std::to_string(toMilliseconds(timeLeft())));
    // An instance of an earlier build may have a declaration by which the request may run again.
    const bool onlyOnce
        = !m_route->repeatable() && !m_state->statesDeclaration.contains(helper.instance);
    call.request.headers.set(instance_headers::Attempts,
                             std::to_string(onlyOnce ? 1 : maxAttempts() - m_sendCount));
    call.request.headers.set(instance_headers::Declaration, std::to_string(declarationNumber()));
    call.request.headers.set(instance_headers::Instance, m_state->options.instance.value());
    if (m_route->kind == RouteKind::Stream && m_lastEventId)
        call.request.headers.set(protocol.lastEventId, std::to_string(*m_lastEventId));
    if (m_writer->started() && m_resumes.empty())
        call.request.headers.set(protocol.resumes, m_id);
    call.echoedHeader = {protocol.requestId, m_id};
    call.connectTimeout = std::min<Duration>(HelperConnectTimeout, timeLeft());
    call.headTimeout = timeLeft() + std::chrono::seconds(1);
    call.silenceTimeout = call.headTimeout;
    call.freshConnection = !m_route->repeatable() || wasSentTo(helper.address);
    return call;
}

RelayedRequest::AttemptResult RelayedRequest::noteHelperHead(Attempt &attempt)
{
    const HttpHeaders &headers = attempt.exchange->headers();
    if (headers.contains(instance_headers::Backend)) {
        m_backend = BackendId(std::string(headers.find(instance_headers::Backend)));
        m_service = headers.find(instance_headers::Service);
        m_softwareVersion = attempt.target.softwareVersion
            = headers.find(instance_headers::Version);
        m_state->notePassedOn(m_backend, attempt.exchange->status(), headers);
    }
    const std::string_view verdict = headers.find(instance_headers::Verdict);
    if (verdict == gentianramp::toString(Verdict::NotRun)) {
        const Result<Duration> wait = parseRetryAfter(headers.find("Retry-After"));
        if (wait)
            m_helperRetryAfter = *wait;
        return AttemptResult::NotRun;
    }
    return verdict == gentianramp::toString(Verdict::Complete) ? AttemptResult::Done
                                                               : AttemptResult::MayHaveRun;
}

/// Notes by which declaration the other instance decides; returns its number if the instance
/// refused because of that.
std::optional<std::uint64_t> RelayedRequest::noteHelperDeclaration(const RelayHelper &helper,
                                                                   const HttpHeaders &headers,
                                                                   AttemptResult result)
{
    m_otherDeclaration = parseNumber(headers.find(instance_headers::Declaration));
    if (!m_otherDeclaration) {
        m_state->statesDeclaration.erase(helper.instance);
        return std::nullopt;
    }
    m_state->statesDeclaration.insert(helper.instance);
    const bool refused
        = result == AttemptResult::NotRun && *m_otherDeclaration != declarationNumber();
    return refused ? m_otherDeclaration : std::nullopt;
}

asio::awaitable<RelayedRequest::HandOverResult>
RelayedRequest::handOverTo(const RelayHelper &helper)
{
    Attempt attempt;
    attempt.byHelper = true;
    attempt.exchange = m_state->client.exchange(makeHandOverCall(helper));
    m_sentTo.push_back(helper.address);
    attempt.sentAt = RuntimeClock::now();
    m_exchange = attempt.exchange;
    m_helper = helper.instance;
    m_state->metrics.handedOver.add();
    const std::error_code error = co_await attempt.exchange->open();
    attempt.error = error;
    HandOverResult result;
    if (!error) {
        const HttpHeaders &headers = attempt.exchange->headers();
        result.attempt = noteHelperHead(attempt);
        result.lacksServers = headers.contains(instance_headers::LacksServers);
        result.wasSent = headers.contains(instance_headers::WasSent);
        result.otherDeclaration = noteHelperDeclaration(helper, headers, result.attempt);
    } else if (!attempt.exchange->anyBytesWritten()) {
        result.attempt = AttemptResult::Unreached;
    }
    if (error)
        m_state->statesDeclaration.erase(helper.instance);
    if (result.attempt == AttemptResult::Done)
        result.attempt = co_await relayAnswer(attempt);
    if (result.attempt != AttemptResult::Done)
        attempt.exchange->cancel();
    if (result.attempt == AttemptResult::MayHaveRun) {
        m_verdict = Verdict::MayHaveRun;
        ++m_sendCount;
    }
    m_exchange.reset();
    if (error && !isOver())
        m_state->options.peers.noteHelperFailed(helper.instance, {});
    else if (result.lacksServers)
        m_state->options.peers.noteHelperFailed(helper.instance, m_service);
    if (result.attempt != AttemptResult::Done && !m_callerGone)
        logWarning("hand_over_failed",
                   {{"request", m_id},
                    {"instance", helper.instance.value()},
                    {"step", toString(result.attempt)},
                    {"error", error ? error.message() : "answer"},
                    {"status", error ? 0 : attempt.exchange->status()},
                    {"lacks_servers", result.lacksServers ? 1 : 0},
                    {"declaration", declarationNumber()},
                    {"other_declaration", m_otherDeclaration.value_or(0)},
                    {"after_ms", toMilliseconds(RuntimeClock::now() - attempt.sentAt)}});
    co_return result;
}

void RelayedRequest::addHandOverHeaders(HttpResponse &head, Verdict verdict) const
{
    if (m_source != RequestSource::Instance)
        return;
    head.headers.set(instance_headers::Verdict, std::string(gentianramp::toString(verdict)));
    if (m_routes)
        head.headers.set(instance_headers::Declaration, std::to_string(declarationNumber()));
    if (m_lacksServers)
        head.headers.set(instance_headers::LacksServers, "1");
    if (m_prefillCount > 0 || !m_tried.empty())
        head.headers.set(instance_headers::WasSent, "1");
    if (verdict != Verdict::Complete)
        return;
    head.headers.set(instance_headers::Backend, m_backend.value());
    head.headers.set(instance_headers::Service, m_service);
    head.headers.set(instance_headers::Version, m_origin ? m_origin->version : m_softwareVersion);
}

} // namespace gentianramp
