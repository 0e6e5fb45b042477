#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <gentianramp/fakes/fake_backend.hpp>
#include <gentianramp/http/client.hpp>
#include <gentianramp/http/sse.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include <criterion/criterion.h>

using namespace gentianramp;
using nlohmann::json;

namespace {

namespace asio = boost::asio;

asio::awaitable<std::optional<Result<HttpResponse>>> callOnce(HttpClient &client, HttpCall call)
{
    co_return co_await client.request(std::move(call));
}

/// A fake backend server and a client of it on one thread.
class Bench
{
public:
    explicit Bench(FakeBackendOptions options)
        : m_backend(m_context.get_executor(), std::move(options))
        , m_port(m_backend.start().value())
        , m_thread([this] { m_context.run(); })
    { }

    ~Bench()
    {
        asio::post(m_context, [this] {
            m_backend.stop();
            m_context.stop();
        });
        m_thread.join();
    }

    Result<HttpResponse> call(const std::string &target, const json &body,
                              const std::string &requestId = "r1")
    {
        HttpCall call;
        call.address = {"127.0.0.1", m_port};
        call.request.method = body.is_null() ? "GET" : "POST";
        call.request.target = target;
        call.request.body = body.is_null() ? "" : body.dump();
        call.request.headers.add("Gentianramp-Request-Id", requestId);
        call.request.headers.add("Gentianramp-Attempt", "1");
        call.request.headers.add("Idempotency-Key", "key-" + requestId);
        return asio::co_spawn(m_context, callOnce(m_client, std::move(call)), asio::use_future)
            .get()
            .value();
    }

    json callJson(const std::string &target, const json &body)
    {
        const auto response = call(target, body);
        return response ? json::parse(response->body) : json();
    }

private:
    asio::io_context m_context{1};
    FakeBackend m_backend;
    HttpClient m_client;
    std::uint16_t m_port;
    std::thread m_thread;
};

FakeBackendOptions fastEngine()
{
    FakeBackendOptions options;
    options.id = BackendId("e1");
    options.model = "m";
    options.engine.prefillTokensPerSecond = 1e6;
    options.engine.decodeTokensPerSecond = 1e5;
    options.engine.streamTokensPerSecond = 1e4;
    return options;
}

FakeBackendOptions plainService()
{
    FakeBackendOptions options;
    options.id = BackendId("s1");
    options.kind = ServiceKind::Plain;
    options.serviceTime = std::chrono::milliseconds(1);
    return options;
}

json completion(std::uint32_t tokens, bool stream)
{
    return {{"model", "m"}, {"prompt", "a b c"}, {"max_tokens", tokens}, {"stream", stream}};
}

} // namespace

Test(FakeBackend, StreamsEveryTokenOnce)
{
    Bench bench(fastEngine());
    const auto response = bench.call("/v1/completions", completion(30, true));
    cr_assert(static_cast<bool>(response));
    SseParser parser;
    parser.feed(response->body);
    for (int offset = 1; offset <= 30; ++offset) {
        const auto event = parser.next();
        cr_assert(event && event->id == std::to_string(offset));
        const std::string text = json::parse(event->data)["choices"][0]["text"];
        cr_assert(text == "t" + std::to_string(offset) + "-r1 ");
    }
    cr_assert(parser.next()->data == "[DONE]");
}

Test(FakeBackend, ResumesAfterTheOffset)
{
    Bench bench(fastEngine());
    json body = completion(5, false);
    body["gentianramp_resume_offset"] = 3;
    const json answer = bench.callJson("/v1/completions", body);
    cr_assert(answer["choices"][0]["text"] == "t4-r1 t5-r1 ");
}

Test(FakeBackend, CountsRunsOfPlainCalls)
{
    Bench bench(plainService());
    cr_assert(bench.callJson("/unlock", json::object())["runs"] == 1);
    cr_assert(bench.callJson("/unlock", json::object())["runs"] == 2);
    const json runs = bench.callJson("/engine/runs", json());
    cr_assert_eq(runs.size(), 2U);
    cr_assert(runs[0]["key"] == "key-r1");
}

Test(FakeBackend, RefusesOldFencingNumbersWhenItChecks)
{
    FakeBackendOptions options = fastEngine();
    options.checksFencing = true;
    Bench bench(options);
    const json newer{{"fencing", 7}, {"order_id", "a"}, {"kind", "drain"}};
    const json older{{"fencing", 6}, {"order_id", "b"}, {"kind", "undrain"}};
    cr_assert_eq(bench.call("/engine/order", newer)->status, 200U);
    cr_assert_eq(bench.call("/engine/order", older)->status, 409U);
    cr_assert_eq(bench.call("/engine/order", newer)->status, 200U);
    cr_assert_eq(bench.callJson("/engine/orders", json()).size(), 1U);
    cr_assert_eq(bench.call("/v1/completions", completion(1, false))->status, 503U);
}

Test(FakeBackend, LosesTheAnswerAfterTheRun)
{
    Bench bench(plainService());
    bench.call("/engine/fault", {{"kind", "lose_answer"}, {"count", 1}});
    const auto lost = bench.call("/charge", json::object());
    cr_assert(lost.error() == Error::ConnectionLost);
    cr_assert_eq(bench.callJson("/engine/runs", json()).size(), 1U);
}

Test(FakeBackend, CutsTheStreamMidway)
{
    Bench bench(fastEngine());
    bench.call("/engine/fault", {{"kind", "crash_mid_stream"}, {"count", 1}});
    cr_assert_not(static_cast<bool>(bench.call("/v1/completions", completion(2000, true))));
    cr_assert(static_cast<bool>(bench.call("/v1/completions", completion(20, true), "r2")));
}
