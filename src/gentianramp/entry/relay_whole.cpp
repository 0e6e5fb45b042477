#include "header_names.hpp"
#include "relay.hpp"

#include <nlohmann/json.hpp>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

constexpr unsigned ServerErrorBegin = 500;

/// True when the end of the body can be told from a lost connection.
bool hasCheckedLength(const HttpExchange &exchange)
{
    return exchange.headers().contains("Content-Length")
        || exchange.headers().contains("Transfer-Encoding");
}

/// True when the engine failed and another one may do better.
bool isEngineFailure(const RequestRun &run, const HttpExchange &exchange)
{
    return run.caller().ask && exchange.status() >= ServerErrorBegin;
}

std::uint32_t completionTokens(const RequestRun &run, const std::string &body)
{
    if (!run.caller().ask)
        return 0;
    const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("usage") || !answer["usage"].is_object())
        return run.caller().ask->maxTokens;
    const nlohmann::json &tokens = answer["usage"].value("completion_tokens", nlohmann::json());
    return tokens.is_number_unsigned() ? tokens.get<std::uint32_t>() : 0;
}

HttpResponse answerFor(const RequestRun &run, const HttpExchange &exchange, std::string body,
                       Verdict verdict)
{
    HttpResponse response;
    response.status = exchange.status();
    const std::string_view type = exchange.headers().find("Content-Type");
    if (!type.empty())
        response.headers.add("Content-Type", std::string(type));
    response.headers.add(header::Verdict, std::string(toString(verdict)));
    response.headers.add(header::RequestId, run.caller().id.value());
    response.body = std::move(body);
    return response;
}

asio::awaitable<RelayEnd> deliver(RequestRun &run, OpenAnswer &answer, std::string body,
                                  ResponseWriter &writer)
{
    HttpExchange &exchange = answer.exchange->answer();
    const bool ran = answer.exchange->mayHaveRun();
    if (run.claim() && !ran)
        run.claim()->noteNotRun();
    if (run.claim() && ran)
        run.claim()->complete(
            {exchange.status(), std::string(exchange.headers().find("Content-Type")), body, false});
    const Verdict verdict = ran ? Verdict::Complete : run.verdict();
    run.succeed(answer, completionTokens(run, body));
    run.tools().telemetry->firstByte(run.caller().id, answer.attempt, answer.placement.backend.id,
                                     run.sinceArrival());
    HttpResponse response = answerFor(run, exchange, std::move(body), verdict);
    const std::error_code error = co_await writer.send(std::move(response));
    RelayEnd end;
    end.verdict = verdict;
    end.how = error ? "undelivered" : "whole";
    end.callerGone = static_cast<bool>(error);
    co_return end;
}

AttemptFailure failureOf(const std::error_code &error)
{
    if (error == Error::TimedOut)
        return AttemptFailure::Silent;
    return error == Error::Cancelled ? AttemptFailure::CallerGone : AttemptFailure::Broken;
}

} // namespace

RelayEnd endWith(Exit exit)
{
    RelayEnd end;
    end.verdict = exit.verdict;
    end.how = exit.reason;
    end.exit = std::move(exit);
    return end;
}

RelayEnd endForGoneCaller(const RequestRun &run)
{
    RelayEnd end;
    end.verdict = run.verdict();
    end.how = "caller_gone";
    end.callerGone = true;
    return end;
}

asio::awaitable<RelayEnd> finishWhole(RequestRun &run, OpenAnswer answer, ResponseWriter &writer)
{
    HttpExchange &exchange = answer.exchange->answer();
    AttemptFailure failure = AttemptFailure::Broken;
    if (hasCheckedLength(exchange) && !isEngineFailure(run, exchange)) {
        Result<std::string> body = co_await exchange.readAll();
        if (body)
            co_return co_await deliver(run, answer, std::move(body).value(), writer);
        failure = failureOf(body.error());
    }
    run.fail(answer, failure, "answer_cut");
    if (failure == AttemptFailure::CallerGone)
        co_return endForGoneCaller(run);
    co_return endWith(run.failedExit(failure));
}

asio::awaitable<RelayEnd> relayWhole(RequestRun &run, ResponseWriter &writer)
{
    while (true) {
        Opened opened = co_await run.open(0);
        if (Exit *exit = std::get_if<Exit>(&opened))
            co_return endWith(std::move(*exit));
        if (std::holds_alternative<CallerLeft>(opened))
            co_return endForGoneCaller(run);
        RelayEnd end = co_await finishWhole(run, std::move(std::get<OpenAnswer>(opened)), writer);
        const bool final = !end.exit || !run.mayRepeat() || run.deadlinePassed();
        if (final)
            co_return end;
    }
}

} // namespace gentianramp
