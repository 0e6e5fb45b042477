#include "header_names.hpp"
#include "relay.hpp"

#include <gentianramp/core/log.hpp>
#include <gentianramp/http/whole_answer.hpp>
#include <nlohmann/json.hpp>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

constexpr unsigned ServerErrorBegin = 500;
constexpr std::size_t MaxAnswerBytes = 64UL * 1024 * 1024;

/// True when a complete body can be told from one cut off by a lost connection.
bool isBodyDelimited(const HttpExchange &exchange)
{
    return exchange.headers().contains("Content-Length")
        || exchange.headers().contains("Transfer-Encoding");
}

/// True when an engine failed; another engine may answer.
bool isEngineFailure(const RequestAttempts &attempts, const HttpExchange &exchange)
{
    return attempts.caller().completion && exchange.status() >= ServerErrorBegin;
}

std::uint32_t completionTokens(const RequestAttempts &attempts, const std::string &body)
{
    if (!attempts.caller().completion)
        return 0;
    const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("usage") || !answer["usage"].is_object())
        return attempts.caller().completion->maxTokens;
    const nlohmann::json &tokens = answer["usage"].value("completion_tokens", nlohmann::json());
    return tokens.is_number_unsigned() ? tokens.get<std::uint32_t>() : 0;
}

HttpResponse answerFor(const RequestAttempts &attempts, const HttpExchange &exchange,
                       std::string body, Verdict verdict)
{
    HttpResponse response;
    response.status = exchange.status();
    const std::string_view type = exchange.headers().find("Content-Type");
    if (!type.empty())
        response.headers.add("Content-Type", std::string(type));
    response.headers.add(header::Verdict, std::string(toString(verdict)));
    response.headers.add(header::RequestId, attempts.caller().id.value());
    response.body = std::move(body);
    return response;
}

asio::awaitable<PipelineOutcome> deliver(RequestAttempts &attempts, StartedAnswer &answer,
                                         std::string body, ResponseWriter &writer)
{
    HttpExchange &exchange = answer.exchange->answer();
    const bool ran = answer.exchange->mayHaveRun();
    if (attempts.claim() && !ran)
        attempts.claim()->recordNotRun();
    if (attempts.claim() && ran)
        attempts.claim()->complete(
            {exchange.status(), std::string(exchange.headers().find("Content-Type")), body, false});
    const Verdict verdict = ran ? Verdict::Complete : attempts.verdict();
    attempts.succeed(answer, completionTokens(attempts, body));
    attempts.context().telemetry->firstByte(attempts.caller().id, answer.attempt,
                                            answer.placement.backend.id, attempts.sinceArrival());
    HttpResponse response = answerFor(attempts, exchange, std::move(body), verdict);
    const std::error_code error = co_await writer.send(std::move(response));
    PipelineOutcome outcome;
    outcome.verdict = verdict;
    outcome.label = error ? "undelivered" : "whole";
    outcome.callerGone = static_cast<bool>(error);
    co_return outcome;
}

AttemptFailure failureOf(const std::error_code &error)
{
    if (error == Error::TimedOut)
        return AttemptFailure::Silent;
    return error == Error::Cancelled ? AttemptFailure::CallerGone : AttemptFailure::Broken;
}

void noteAnswerWaits(const RequestAttempts &attempts)
{
    attempts.context().telemetry->answerRoomWaits.add();
    logWarning("answer_waits",
               {{"request", attempts.caller().id.value()},
                {"reason", "no_memory"},
                {"held_bytes", attempts.context().memory->heldBytes()}});
}

} // namespace

PipelineOutcome errorOutcome(RequestError error)
{
    PipelineOutcome outcome;
    outcome.verdict = error.verdict;
    outcome.label = error.reason;
    outcome.error = std::move(error);
    return outcome;
}

PipelineOutcome callerGoneOutcome(const RequestAttempts &attempts)
{
    PipelineOutcome outcome;
    outcome.verdict = attempts.verdict();
    outcome.label = "caller_gone";
    outcome.callerGone = true;
    return outcome;
}

asio::awaitable<PipelineOutcome> finishBuffered(RequestAttempts &attempts, StartedAnswer answer,
                                                ResponseWriter &writer)
{
    HttpExchange &exchange = answer.exchange->answer();
    AttemptFailure failure = AttemptFailure::Broken;
    if (isBodyDelimited(exchange) && !isEngineFailure(attempts, exchange)) {
        WholeAnswerOptions options;
        options.memory = attempts.context().memory;
        options.maxBytes = MaxAnswerBytes;
        options.isOver
            = [&attempts] { return attempts.watch().gone() || attempts.deadlinePassed(); };
        options.waitsHook = [&attempts] { noteAnswerWaits(attempts); };
        Result<WholeAnswer> result = co_await readWholeAnswer(exchange, std::move(options));
        if (result) {
            WholeAnswer whole = std::move(result).value();
            co_return co_await deliver(attempts, answer, std::move(whole.body), writer);
        }
        failure = failureOf(result.error());
    }
    attempts.fail(answer, failure, "answer_cut");
    if (failure == AttemptFailure::CallerGone)
        co_return callerGoneOutcome(attempts);
    co_return errorOutcome(attempts.backendError(failure));
}

asio::awaitable<PipelineOutcome> relayBuffered(RequestAttempts &attempts, ResponseWriter &writer)
{
    while (true) {
        OpenResult opened = co_await attempts.open(0);
        if (RequestError *error = std::get_if<RequestError>(&opened))
            co_return errorOutcome(std::move(*error));
        if (std::holds_alternative<CallerLeft>(opened))
            co_return callerGoneOutcome(attempts);
        PipelineOutcome outcome
            = co_await finishBuffered(attempts, std::move(std::get<StartedAnswer>(opened)), writer);
        const bool final = !outcome.error || !attempts.mayRepeat() || attempts.deadlinePassed();
        if (final)
            co_return outcome;
    }
}

} // namespace gentianramp
