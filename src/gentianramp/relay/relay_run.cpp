#include "relay_run.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <gentianramp/core/log.hpp>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

/// Backend servers stand in the same region: a connection takes some milliseconds, or the server
/// is gone or its queue of connections is full.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
/// After that long without a byte from a backend server it is asked whether it still runs. Well
/// above the pauses of a busy engine (250 ms at most for timely streams).
constexpr Duration SilenceBeforeCheck = std::chrono::milliseconds(450);
constexpr Duration SilenceCheckInterval = std::chrono::milliseconds(200);
/// Sends that found no listener cost nothing; that many are tried.
constexpr std::uint32_t MaxUnreached = 4;
/// Engines that are asked to read a prompt, one after the other; it does not run there.
constexpr std::uint32_t MaxReads = 2;
/// A request with less time left is not worth a send.
constexpr Duration ShortestSend = std::chrono::milliseconds(5);
/// Callers honour up to a third of the time that they have left.
constexpr int RetryShareOfDeadline = 5;
constexpr int RetryShareOfLongWait = 3;
constexpr Duration LongestRetryAfter = std::chrono::milliseconds(800);

/// Another instance can take the request at once.
constexpr Duration LeavingRetryAfter = std::chrono::milliseconds(20);

/// Estimates of waits are off by a factor of two when work of other priorities waits too.
constexpr int HopelessWait = 2;

constexpr unsigned Ok = 200;

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

/// Fields that concern one connection only.
constexpr std::string_view HopByHopNames[] = {"Connection",
                                              "Keep-Alive",
                                              "Proxy-Connection",
                                              "TE",
                                              "Trailer",
                                              "Upgrade",
                                              "Transfer-Encoding",
                                              "Content-Length",
                                              "Proxy-Authenticate",
                                              "Expect",
                                              "Proxy-Authorization"};

bool isHopByHop(std::string_view name)
{
    return std::any_of(std::begin(HopByHopNames), std::end(HopByHopNames),
                       [&](std::string_view hop) { return sameHeaderName(hop, name); });
}

bool namedIn(std::string_view connection, std::string_view name)
{
    while (!connection.empty()) {
        const std::size_t comma = connection.find(',');
        std::string_view token = connection.substr(0, comma);
        connection.remove_prefix(comma == std::string_view::npos ? connection.size() : comma + 1);
        while (token.starts_with(' '))
            token.remove_prefix(1);
        while (token.ends_with(' '))
            token.remove_suffix(1);
        if (sameHeaderName(token, name))
            return true;
    }
    return false;
}

std::optional<std::uint64_t> numberOf(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::string secondsText(Duration value)
{
    const std::int64_t ms = std::max<std::int64_t>(toMilliseconds(value), 1);
    std::string fraction = std::to_string(ms % 1000);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::to_string(ms / 1000) + '.' + fraction;
}

long long ageMs(const std::optional<Duration> &age)
{
    return age ? toMilliseconds(*age) : -1;
}

} // namespace

RelayRun::RelayRun(std::shared_ptr<RelayState> state, HttpRequest request, ResponseWriter &writer)
    : m_state(std::move(state))
    , m_request(std::move(request))
    , m_writer(&writer)
    , m_routes(m_state->routes)
    , m_begunAt(RuntimeClock::now())
    , m_deadlineTimer(m_state->executor)
    , m_silenceTimer(m_state->executor)
    , m_progressAt(m_begunAt)
{ }

RelayRun::~RelayRun()
{
    m_state->open.erase(this);
}

asio::awaitable<void> RelayRun::serve()
{
    const auto self = shared_from_this();
    m_state->metrics.requests.add();
    if (!co_await identify())
        co_return;
    m_writer->setCallerGoneHook([weak = weak_from_this()] {
        if (const auto run = weak.lock())
            run->onCallerGone();
    });
    startDeadline();
    m_state->open.insert(this);
    m_state->allowance(m_service).noteRequest(m_begunAt);
    co_await sendUntilDone();
    freeSource();
    m_ended = true;
    m_deadlineTimer.cancel();
    m_silenceTimer.cancel();
    if (m_callerGone) {
        m_state->metrics.callersGone.add();
        logEnd("caller_gone", 0, "left");
    }
}

// Identify

/// Finds the route and what bounds the request; false when it was answered here.
asio::awaitable<bool> RelayRun::identify()
{
    const BackendProtocol &protocol = m_state->options.protocol;
    m_id = std::string(m_request.headers.find(protocol.requestId));
    if (!m_state->listed || !m_routes) {
        co_await answerOwn(503, "no_declaration", std::chrono::milliseconds(300));
        co_return false;
    }
    m_route = m_routes->find(m_request.headers.find("Host"), m_request.path());
    if (!m_route) {
        co_await answerOwn(404, "no_route");
        co_return false;
    }
    if (m_id.empty()) {
        co_await answerOwn(400, "no_request_id");
        co_return false;
    }
    Duration budget = m_route->timeout;
    if (const auto stated = numberOf(m_request.headers.find(protocol.timeBudget)))
        budget = std::min<Duration>(
            budget, std::chrono::milliseconds(std::min<std::uint64_t>(*stated, 3'600'000)));
    m_deadline = m_begunAt + budget;
    if (m_state->end && m_deadline > *m_state->end) {
        m_writer->closeAfterwards();
        co_await answerOwn(503, "leaving", LeavingRetryAfter);
        co_return false;
    }
    m_service = pickService(*m_route, m_state->draw());
    if (m_route->carriesPrompt && protocol.prompt)
        m_prompt = protocol.prompt(m_request.headers);
    if (m_route->kind == RouteKind::Stream)
        m_lastEvent = numberOf(m_request.headers.find(protocol.lastEventId));
    co_return true;
}

/// Answers with a status of this instance's own.
asio::awaitable<void> RelayRun::answerOwn(unsigned status, std::string_view reason,
                                          std::optional<Duration> retryAfter)
{
    HttpResponse response;
    response.status = status;
    if (!m_id.empty())
        response.headers.add(m_state->options.protocol.requestId, m_id);
    if (retryAfter)
        response.headers.add("Retry-After", secondsText(*retryAfter));
    response.headers.add("Content-Type", "text/plain");
    response.body = std::string(reason) + '\n';
    (status == 503 || status == 429 ? m_state->metrics.refused : m_state->metrics.failed).add();
    logEnd(status == 503 ? "request_refused" : "request_failed", status, reason);
    m_ended = true;
    co_await m_writer->send(std::move(response));
}

// Choose and send

asio::awaitable<void> RelayRun::sendUntilDone()
{
    std::uint32_t unreached = 0;
    for (;;) {
        if (m_callerGone)
            co_return;
        if (m_expired || left() < ShortestSend)
            co_return co_await fail();
        const std::optional<RequestPlacement> placement = place();
        if (!placement && m_sends == 0)
            co_return co_await refuse("no_backend");
        if (!placement)
            co_return co_await fail();
        if (m_sends == 0 && m_reads == 0
            && placement->runner.expectedWait > HopelessWait * left()) {
            m_expectedWait = m_placedWait = placement->runner.expectedWait;
            m_state->table.notSent(placement->runner);
            if (placement->reader)
                m_state->table.notSent(*placement->reader);
            co_return co_await refuse("too_late");
        }
        m_placedWait = placement->runner.expectedWait;
        const bool apart = placement->reader.has_value();
        const PlacedRequest &first = apart ? *placement->reader : placement->runner;
        Step step = Step::Done;
        if (apart)
            step = co_await readPrompt(first);
        const bool readFailed = step != Step::Done;
        if (apart && !readFailed && !m_state->table.takesWork(placement->runner.backend)) {
            // It began to leave while the prompt was read.
            m_state->table.notSent(placement->runner);
            continue;
        }
        if (readFailed)
            m_state->table.notSent(placement->runner);
        else
            step = co_await sendOnce(placement->runner);
        if (step == Step::Done || m_callerGone)
            co_return;
        m_tried.push_back(readFailed ? first.backend : placement->runner.backend);
        if (step == Step::Unreached && ++unreached < MaxUnreached)
            continue;
        const bool again = readFailed ? m_reads < MaxReads : mayRepeat(step);
        // A prompt that has to be read once more takes a second call beside the run.
        const bool readsMore = !readFailed && apart && !m_source;
        if (!again || !takeRepeat() || (readsMore && !takeRepeat()))
            co_return co_await fail();
    }
}

std::optional<RequestPlacement> RelayRun::place()
{
    PlacementRequest request;
    request.service = m_service;
    request.prompt = m_prompt ? &*m_prompt : nullptr;
    request.repeatable = m_route->repeatable();
    request.promptRead = m_source.has_value();
    request.excluded = m_tried;
    std::optional<RequestPlacement> placed = m_state->table.choose(request, RuntimeClock::now());
    if (!placed && !m_tried.empty()) {
        // One that failed before is better than none.
        request.excluded = {};
        placed = m_state->table.choose(request, RuntimeClock::now());
    }
    return placed;
}

/// True when another send is allowed after @p step.
bool RelayRun::mayRepeat(Step step) const
{
    if (m_sends >= m_route->attempts)
        return false;
    return step == Step::NotRun || m_route->repeatable();
}

bool RelayRun::takeRepeat()
{
    const bool granted
        = m_state->allowance(m_service).take(m_state->instances, RuntimeClock::now());
    if (granted)
        m_state->metrics.repeats.add();
    else
        logInfo("repeat_not_allowed", {{"request", m_id}, {"service", m_service}});
    return granted;
}

HttpCall RelayRun::makeCall(const PlacedRequest &placed) const
{
    const BackendProtocol &protocol = m_state->options.protocol;
    HttpCall call;
    call.address = placed.address;
    call.request.method = m_request.method;
    call.request.target = m_request.target;
    call.request.body = m_request.body;
    const std::string_view connection = m_request.headers.find("Connection");
    for (const HttpHeader &field : m_request.headers.fields()) {
        const bool own
            = std::any_of(protocol.own.begin(), protocol.own.end(), [&](const std::string &name) {
                  return sameHeaderName(name, field.name);
              });
        if (!own && !isHopByHop(field.name) && !namedIn(connection, field.name))
            call.request.headers.add(field.name, field.value);
    }
    call.request.headers.set(protocol.timeBudget, std::to_string(toMilliseconds(left())));
    call.request.headers.set(protocol.target, placed.backend.value());
    if (m_prompt)
        call.request.headers.set(protocol.priority,
                                 std::to_string(std::min<std::uint32_t>(m_route->priority, 9)));
    if (m_route->kind == RouteKind::Stream && m_lastEvent)
        call.request.headers.set(protocol.lastEventId, std::to_string(*m_lastEvent));
    if (placed.fetchFrom)
        call.request.headers.set(protocol.fetchFrom,
                                 placed.fetchFrom->host + ':'
                                     + std::to_string(placed.fetchFrom->port));
    if (m_source)
        call.request.headers.set(protocol.takeFrom,
                                 m_source->address.host + ':'
                                     + std::to_string(m_source->address.port) + '/'
                                     + m_source->handle);
    call.echo = {protocol.requestId, m_id};
    call.connectTimeout = std::min<Duration>(ConnectTimeout, left());
    call.headTimeout = left() + std::chrono::seconds(1);
    call.silenceTimeout = call.headTimeout;
    // A pooled connection may be half dead, and what may not run twice can't be sent again.
    call.freshConnection = !m_route->repeatable();
    return call;
}

asio::awaitable<RelayRun::Step> RelayRun::sendOnce(const PlacedRequest &placed)
{
    Send send;
    send.placed = placed;
    send.exchange = m_state->client.exchange(makeCall(placed));
    send.sentAt = RuntimeClock::now();
    m_exchange = send.exchange;
    m_backend = placed.backend;
    ++m_sends;
    m_state->table.sent(placed, m_prompt ? &*m_prompt : nullptr, send.sentAt);
    noteProgress();
    watchSilence();
    const std::error_code error = co_await send.exchange->open();
    m_silenceTimer.cancel();
    Step step = Step::MayHaveRun;
    if (!error) {
        step = co_await relay(send);
    } else if (!send.exchange->bytesWritten()) {
        step = Step::Unreached;
        --m_sends;
    }
    if (step != Step::Done && step != Step::MayHaveRun)
        send.exchange->cancel();
    if (step == Step::MayHaveRun) {
        send.exchange->cancel();
        m_verdict = Verdict::MayHaveRun;
    }
    m_exchange.reset();
    settle(send, step);
    const bool misdirected = step == Step::NotRun
        && send.exchange->status() == m_state->options.protocol.wrongTargetStatus;
    if (misdirected)
        m_state->table.noteMisdirected(placed.backend, RuntimeClock::now());
    if (step == Step::NotRun && !misdirected && m_source)
        m_state->table.noteHandOverFailed(m_source->reader, placed.backend, RuntimeClock::now());
    if (step != Step::Unreached && !misdirected)
        m_source.reset(); // Taken, or gone with the failed send.
    if (step != Step::Done && !m_callerGone)
        logSendFailed(placed, "send_failed", step, error, send.exchange->status(), send.sentAt);
    co_return step;
}

asio::awaitable<RelayRun::Step> RelayRun::readPrompt(const PlacedRequest &reader)
{
    const BackendProtocol &protocol = m_state->options.protocol;
    HttpCall call = makeCall(reader);
    call.freshConnection = false; // Reading may be repeated; it runs nothing.
    call.request.headers.set(protocol.prefillOnly, protocol.prefillValue);
    Send send;
    send.placed = reader;
    send.exchange = m_state->client.exchange(std::move(call));
    send.sentAt = RuntimeClock::now();
    m_exchange = send.exchange;
    m_backend = m_reader = reader.backend;
    ++m_reads;
    m_state->table.sent(reader, &*m_prompt, send.sentAt);
    noteProgress();
    watchSilence();
    std::error_code error = co_await send.exchange->open();
    Step step = Step::NotRun;
    if (!error) {
        noteLoad(send);
        const Result<std::string> body = co_await send.exchange->readAll();
        error = body.error();
        const std::string handle
            = body && send.exchange->status() == Ok ? protocol.handle(*body) : std::string();
        if (!handle.empty()) {
            m_source = Source{reader.backend, reader.address, handle};
            step = Step::Done;
        }
    } else if (!send.exchange->bytesWritten()) {
        step = Step::Unreached;
    }
    m_silenceTimer.cancel();
    if (!error && send.exchange->status() == protocol.wrongTargetStatus)
        m_state->table.noteMisdirected(reader.backend, RuntimeClock::now());
    send.answered = step == Step::Done;
    if (step != Step::Done)
        send.exchange->cancel();
    m_exchange.reset();
    settle(send, error && step == Step::NotRun ? Step::MayHaveRun : step);
    if (step == Step::Done && over()) {
        freeSource();
        co_return Step::NotRun;
    }
    if (step != Step::Done && !m_callerGone)
        logSendFailed(reader, "read_failed", step, error, send.exchange->status(), send.sentAt);
    co_return step;
}

/// Lets the engine forget a prompt that nobody will take.
void RelayRun::freeSource()
{
    if (!m_source)
        return;
    asio::co_spawn(m_state->executor, m_state->freeHandle(m_source->address, m_source->handle),
                   asio::detached);
    m_source.reset();
}

void RelayRun::logSendFailed(const PlacedRequest &placed, std::string_view what, Step step,
                             const std::error_code &error, unsigned status, TimePoint sentAt) const
{
    std::string_view how = "may_have_run";
    if (step == Step::NotRun)
        how = "not_run";
    else if (step == Step::Unreached)
        how = "unreached";
    logWarning(what,
               {{"request", m_id},
                {"backend", placed.backend.value()},
                {"step", how},
                {"error", error ? error.message() : "answer"},
                {"status", status},
                {"expected_ms", toMilliseconds(placed.expectedWait)},
                {"after_ms", toMilliseconds(RuntimeClock::now() - sentAt)},
                {"expired", m_expired ? 1 : 0}});
}

void RelayRun::settle(Send &send, Step step)
{
    const TimePoint now = RuntimeClock::now();
    SendOutcome outcome = SendOutcome::Served;
    if (m_callerGone || (m_expired && step != Step::Done))
        outcome = SendOutcome::Abandoned;
    else if (step == Step::NotRun)
        outcome = SendOutcome::Rejected;
    else if (step != Step::Done)
        outcome = SendOutcome::Failed;
    m_state->table.ended(send.placed, send.answered, outcome, now);
    if (step == Step::Unreached)
        m_state->verify(send.placed.backend, m_service);
}

// Relay

asio::awaitable<RelayRun::Step> RelayRun::relay(Send &send)
{
    const BackendProtocol &protocol = m_state->options.protocol;
    HttpExchange &exchange = *send.exchange;
    noteProgress();
    noteLoad(send);
    if (exchange.status() == protocol.wrongTargetStatus
        || exchange.headers().contains(protocol.notRun))
        co_return Step::NotRun;
    const bool signedAnswer = exchange.headers().contains(protocol.signature);
    if (isSuccess(exchange.status()) && !signedAnswer)
        co_return Step::MayHaveRun;
    if (m_route->kind == RouteKind::Stream && exchange.status() == Ok && isEventStream(exchange))
        co_return co_await relayStream(send);
    co_return co_await relayWhole(send);
}

/// Notes the load that an answer states.
void RelayRun::noteLoad(const Send &send)
{
    const BackendProtocol &protocol = m_state->options.protocol;
    const HttpHeaders &headers = send.exchange->headers();
    m_state->table.noteHeard(send.placed.backend, RuntimeClock::now());
    if (!protocol.parseLoad || !headers.contains(protocol.load))
        return;
    if (const auto load = protocol.parseLoad(headers.find(protocol.load)))
        m_state->table.noteLoad(send.placed.backend, *load, RuntimeClock::now());
}

bool RelayRun::isEventStream(const HttpExchange &exchange) const
{
    return exchange.headers().find("Content-Type").starts_with("text/event-stream");
}

asio::awaitable<RelayRun::Step> RelayRun::relayWhole(Send &send)
{
    Result<std::string> body = co_await send.exchange->readAll();
    if (!body)
        co_return Step::MayHaveRun;
    noteAnswered(send);
    HttpResponse response = callerHead(*send.exchange);
    response.body = std::move(body).value();
    const bool failure = response.status >= 500;
    if (m_writer->started())
        co_return Step::MayHaveRun; // A stream can't go on with another kind of answer.
    if (failure && m_route->repeatable() && m_sends < m_route->attempts && !over()) {
        m_workerFailure = std::move(response);
        co_return Step::MayHaveRun;
    }
    m_state->metrics.served.add();
    m_verdict = Verdict::Complete;
    logEnd("request_answered", response.status, "whole");
    co_await m_writer->send(std::move(response));
    co_return Step::Done;
}

asio::awaitable<RelayRun::Step> RelayRun::relayStream(Send &send)
{
    EventAssembler events(m_lastEvent);
    HttpExchange &exchange = *send.exchange;
    for (;;) {
        watchSilence();
        const Result<std::string_view> piece = co_await exchange.readPiece();
        m_silenceTimer.cancel();
        if (!piece || events.overflowed())
            co_return Step::MayHaveRun;
        if (piece->empty())
            break;
        noteProgress();
        m_state->table.noteHeard(send.placed.backend, m_progressAt);
        const std::string whole = events.feed(*piece);
        m_lastEvent = events.lastId();
        if (!whole.empty() && !co_await deliver(send, whole))
            co_return Step::Done;
    }
    if (events.hasPartial())
        co_return Step::MayHaveRun;
    if (!m_writer->started() && !co_await deliver(send, {}))
        co_return Step::Done;
    m_state->metrics.served.add();
    m_verdict = Verdict::Complete;
    logEnd("request_answered", Ok, "stream");
    co_await m_writer->finishStream();
    co_return Step::Done;
}

/// Sends whole events to the caller; false when that is no longer possible.
asio::awaitable<bool> RelayRun::deliver(Send &send, std::string_view events)
{
    std::error_code error;
    noteAnswered(send);
    if (!m_writer->started()) {
        m_state->metrics.firstEvent.record(
            std::chrono::duration<double>(RuntimeClock::now() - m_begunAt).count());
        error = co_await m_writer->startStream(callerHead(*send.exchange));
    }
    if (!error)
        error = co_await m_writer->writePiece(events);
    if (!error)
        co_return true;
    m_callerGone = true;
    send.exchange->cancel();
    co_return false;
}

void RelayRun::noteAnswered(Send &send)
{
    if (send.answered)
        return;
    send.answered = true;
    const TimePoint now = RuntimeClock::now();
    if (!m_firstEventAt)
        m_firstEventAt = now;
    m_state->table.answered(send.placed, now);
}

HttpResponse RelayRun::callerHead(const HttpExchange &exchange) const
{
    HttpResponse head;
    head.status = exchange.status();
    const std::string_view connection = exchange.headers().find("Connection");
    for (const HttpHeader &field : exchange.headers().fields()) {
        if (!isHopByHop(field.name) && !namedIn(connection, field.name))
            head.headers.add(field.name, field.value);
    }
    return head;
}

// Settle

/// Ends a request that is given up: truly refused when it did not run.
asio::awaitable<void> RelayRun::fail()
{
    if (m_callerGone)
        co_return;
    if (m_writer->started()) {
        // The connection is cut without the end of the stream, so that the caller sees it broken.
        m_state->metrics.failed.add();
        logEnd("stream_broken", Ok, m_expired ? "deadline" : "backend_failed");
        co_return;
    }
    if (m_workerFailure) {
        m_state->metrics.served.add();
        logEnd("request_answered", m_workerFailure->status, "backend_failure");
        co_await m_writer->send(std::move(*m_workerFailure));
        co_return;
    }
    if (m_verdict == Verdict::NotRun)
        co_return co_await refuse(m_expired ? "deadline" : "backends_full");
    if (m_expired || left() < ShortestSend)
        co_return co_await answerOwn(504, "deadline");
    co_await answerOwn(502, "backend_failed");
}

asio::awaitable<void> RelayRun::refuse(std::string_view reason)
{
    co_await answerOwn(503, reason, retryAfter());
}

/// Spreads callers that come back over a part of the time that they have left.
Duration RelayRun::retryAfter() const
{
    Duration longest = std::min<Duration>(left() / RetryShareOfDeadline, LongestRetryAfter);
    // Work that was known to wait longer has to drain first.
    if (m_expectedWait > Duration::zero())
        longest = std::min<Duration>(left() / RetryShareOfLongWait, m_expectedWait);
    const double part = 0.5 + 0.5 * m_state->draw();
    return std::chrono::duration_cast<Duration>(longest * part);
}

void RelayRun::logEnd(std::string_view event, unsigned status, std::string_view reason)
{
    const TimePoint now = RuntimeClock::now();
    const Duration took = now - m_begunAt;
    if (m_verdict == Verdict::Complete)
        m_state->metrics.whole.record(std::chrono::duration<double>(took).count());
    logInfo(event,
            {{"request", m_id},
             {"route", m_route ? std::string_view(m_route->name) : std::string_view()},
             {"service", m_service},
             {"backend", m_backend.value()},
             {"status", status},
             {"reason", reason},
             {"verdict", toString(m_verdict)},
             {"reads", m_reads},
             {"reader", m_reader.value()},
             {"sends", m_sends},
             {"first_ms", m_firstEventAt ? toMilliseconds(*m_firstEventAt - m_begunAt) : -1},
             {"total_ms", toMilliseconds(took)},
             {"left_ms", m_route ? toMilliseconds(left()) : -1},
             {"declaration", m_routes ? m_routes->declaration().number : 0},
             {"declaration_age_ms", ageMs(m_state->options.declarationAge())},
             {"expected_ms", toMilliseconds(m_placedWait)},
             {"list_age_ms", ageMs(m_state->options.listingAge())}});
}

// Time and the caller

Duration RelayRun::left() const
{
    return std::max<Duration>(m_deadline - RuntimeClock::now(), Duration::zero());
}

void RelayRun::startDeadline()
{
    m_deadlineTimer.expires_at(m_deadline);
    m_deadlineTimer.async_wait(
        [weak = weak_from_this()](const boost::system::error_code &cancelled) {
            const auto run = weak.lock();
            if (!cancelled && run)
                run->expire();
        });
}

void RelayRun::expire()
{
    if (m_ended)
        return;
    m_expired = true;
    if (m_exchange)
        m_exchange->cancel();
}

void RelayRun::onCallerGone()
{
    if (m_ended)
        return;
    m_callerGone = true;
    if (m_exchange)
        m_exchange->cancel();
}

/// Has a backend server checked that sends nothing; when it turns out not to run, what may be
/// repeated is sent elsewhere.
void RelayRun::watchSilence()
{
    m_silenceTimer.expires_after(SilenceCheckInterval);
    m_silenceTimer.async_wait(
        [weak = weak_from_this()](const boost::system::error_code &cancelled) {
            const auto run = weak.lock();
            if (cancelled || !run || run->m_ended || !run->m_exchange)
                return;
            const TimePoint now = RuntimeClock::now();
            const auto silence = run->m_state->table.silenceOf(run->m_backend, now);
            const bool quiet = now - run->m_progressAt >= SilenceBeforeCheck
                && (!silence || *silence >= SilenceBeforeCheck);
            if (quiet) {
                if (run->m_state->table.isSilent(run->m_backend) && run->m_route->repeatable()
                    && run->m_sends < run->m_route->attempts)
                    return run->m_exchange->cancel();
                run->m_state->verify(run->m_backend, run->m_service);
            }
            run->watchSilence();
        });
}

} // namespace gentianramp
