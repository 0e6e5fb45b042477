#include "load.hpp"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <gentianramp/http/sse.hpp>
#include <nlohmann/json.hpp>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

constexpr Duration CallTimeout = std::chrono::seconds(10);
constexpr Duration WarmUpSpan = std::chrono::milliseconds(200);
constexpr unsigned RateCallers = 64;
constexpr Duration LongestStart = std::chrono::seconds(20);

/// Names requests, so that direct calls look like those of an entry instance.
std::string nextName()
{
    static std::atomic<std::uint64_t> last{0};
    return "load-" + std::to_string(last.fetch_add(1));
}

HttpCall callTo(const LoadTarget &target, std::string path, std::string body)
{
    HttpCall call;
    call.address = target.address;
    call.request.method = "POST";
    call.request.target = std::move(path);
    call.request.body = std::move(body);
    call.request.headers.add("Gentianramp-Request-Id", nextName());
    call.request.headers.add("Gentianramp-Attempt", "1");
    if (!target.bearerKey.empty())
        call.request.headers.add("Authorization", "Bearer " + target.bearerKey);
    call.headTimeout = CallTimeout;
    call.silenceTimeout = CallTimeout;
    return call;
}

asio::awaitable<void> callOnce(HttpClient &client, LoadTarget target, TimePoint due,
                               LoadResult &result)
{
    HttpCall call = callTo(target, "/bay/lookup", "{}");
    const Result<HttpResponse> response = co_await client.request(std::move(call));
    const bool good = response && response->status == 200;
    (good ? result.completed : result.failed) += 1;
    if (good)
        result.latencies.push_back(RuntimeClock::now() - due);
}

asio::awaitable<void> callUntil(HttpClient &client, LoadTarget target, TimePoint end,
                                LoadResult &result)
{
    while (RuntimeClock::now() < end)
        co_await callOnce(client, target, RuntimeClock::now(), result);
}

/// One of several callers that take the calls of a fixed rate in turn.
asio::awaitable<void> callAtRate(HttpClient &client, LoadTarget target, TimePoint firstDue,
                                 Duration interval, TimePoint end, LoadResult &result)
{
    for (TimePoint due = firstDue; due < end; due += interval) {
        if (due > RuntimeClock::now())
            co_await sleepFor(due - RuntimeClock::now());
        co_await callOnce(client, target, due, result);
    }
}

/// One open stream of the load.
struct StreamCount
{
    unsigned started = 0;
    unsigned ended = 0;
};

asio::awaitable<void> readStream(HttpClient &client, HttpCall call, StreamCount &count,
                                 LoadResult &result)
{
    const std::shared_ptr<HttpExchange> exchange = client.exchange(std::move(call));
    const std::error_code error = co_await exchange->open();
    SseParser parser;
    bool started = false;
    bool done = false;
    while (!error && exchange->status() == 200) {
        const Result<std::string_view> piece = co_await exchange->readPiece();
        if (!piece || piece->empty())
            break;
        count.started += started ? 0 : 1;
        started = true;
        parser.feed(*piece);
        while (const auto event = parser.next()) {
            done = done || event->data == "[DONE]";
            result.tokens += event->data == "[DONE]" ? 0 : 1;
        }
    }
    ++count.ended;
    (done ? result.completed : result.failed) += 1;
}

} // namespace

LoadResult runClosedLoop(const LoadTarget &target, unsigned callers, Duration span)
{
    asio::io_context context{1};
    HttpClient client;
    LoadResult result;
    const TimePoint start = RuntimeClock::now();
    for (unsigned caller = 0; caller < callers; ++caller)
        asio::co_spawn(context, callUntil(client, target, start + span, result), asio::detached);
    context.run();
    result.span = RuntimeClock::now() - start;
    return result;
}

LoadResult runAtRate(const LoadTarget &target, double callsPerSecond, Duration span)
{
    asio::io_context context{1};
    HttpClient client;
    LoadResult result;
    const TimePoint start = RuntimeClock::now();
    const auto interval
        = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / callsPerSecond));
    LoadResult warmUp;
    for (unsigned caller = 0; caller < RateCallers; ++caller) {
        const TimePoint due = start + interval * caller;
        const TimePoint measured = start + WarmUpSpan;
        asio::co_spawn(context,
                       callAtRate(client, target, due, interval * RateCallers, measured, warmUp),
                       asio::detached);
        asio::co_spawn(context,
                       callAtRate(client, target, due + WarmUpSpan, interval * RateCallers,
                                  measured + span, result),
                       asio::detached);
    }
    context.run();
    result.span = RuntimeClock::now() - start;
    return result;
}

LoadResult runStreams(const LoadTarget &target, const std::string &model, unsigned streams,
                      unsigned tokens, const std::function<void()> &whileOpen)
{
    asio::io_context context{1};
    HttpClient client;
    LoadResult result;
    StreamCount count;
    const nlohmann::json body{
        {"model", model}, {"prompt", "go"}, {"max_tokens", tokens}, {"stream", true}};
    const TimePoint start = RuntimeClock::now();
    for (unsigned stream = 0; stream < streams; ++stream) {
        HttpCall call = callTo(target, "/v1/completions", body.dump());
        asio::co_spawn(context, readStream(client, std::move(call), count, result), asio::detached);
    }
    while (count.started + count.ended < streams && RuntimeClock::now() < start + LongestStart)
        context.run_one();
    whileOpen();
    context.run();
    result.span = RuntimeClock::now() - start;
    return result;
}

} // namespace gentianramp
