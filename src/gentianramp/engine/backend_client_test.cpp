#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gentianramp/engine/backend_client.hpp>
#include <gentianramp/http/server.hpp>
#include <optional>

#include <criterion/criterion.h>

using namespace gentianramp;
namespace asio = boost::asio;

namespace {

/// A server that gives one prepared answer, and a client that calls it.
class Bench
{
public:
    explicit Bench(HttpResponse answer)
        : m_answer(std::move(answer))
        , m_server(m_context.get_executor(), {},
                   [this](const HttpRequest &, ResponseWriter &writer) {
                       ++m_calls;
                       return answerWith(writer, m_answer);
                   })
        , m_port(m_server.start().value())
    { }

    /// Starts attempt 7 of request "r".
    CallStart start(std::function<bool()> mayStart = {})
    {
        BackendCall call;
        call.address = {"127.0.0.1", m_port};
        call.target = "/work";
        call.request = RequestId("r");
        call.attempt = Attempt(7);
        call.mayStart = std::move(mayStart);
        m_exchange.emplace(m_client, std::move(call));
        std::optional<CallStart> result;
        asio::co_spawn(m_context, run(*m_exchange, result), asio::detached);
        while (!result)
            m_context.run_one();
        return *result;
    }

    const BackendExchange &exchange() const { return *m_exchange; }
    int calls() const { return m_calls; }

private:
    static asio::awaitable<void> answerWith(ResponseWriter &writer, HttpResponse answer)
    {
        co_await writer.send(std::move(answer));
    }

    static asio::awaitable<void> run(BackendExchange &exchange, std::optional<CallStart> &result)
    {
        result = co_await exchange.start();
    }

    asio::io_context m_context;
    HttpResponse m_answer;
    int m_calls = 0;
    HttpServer m_server;
    HttpClient m_client;
    std::uint16_t m_port;
    std::optional<BackendExchange> m_exchange;
};

HttpResponse answerTo(const std::string &request, const std::string &attempt, unsigned status = 200)
{
    return {status, {{"Gentianramp-Request-Id", request}, {"Gentianramp-Attempt", attempt}}, "{}"};
}

HttpResponse refusal(unsigned status)
{
    return {status, {{"Gentianramp-Verdict", "NotRun"}}, "{}"};
}

} // namespace

Test(BackendClient, TakesItsOwnAnswer)
{
    Bench bench(answerTo("r", "7"));
    cr_assert(bench.start() == CallStart::Answering);
    cr_assert(bench.exchange().mayHaveRun());
}

Test(BackendClient, DropsAnswersThatBelongElsewhere)
{
    for (const HttpResponse &answer :
         {answerTo("other", "7"), answerTo("r", "6"), HttpResponse{}}) {
        Bench bench(answer);
        cr_assert(bench.start() == CallStart::Crossed);
        cr_assert(bench.exchange().mayHaveRun());
    }
}

Test(BackendClient, BelievesNotRunOnlyOfItsOwnAttempt)
{
    Bench own(refusal(503));
    cr_assert(own.start() == CallStart::Refused);
    cr_assert_not(own.exchange().mayHaveRun());
    HttpResponse crossed = answerTo("other", "7", 503);
    crossed.headers.add("Gentianramp-Verdict", "NotRun");
    Bench other(crossed);
    cr_assert(other.start() == CallStart::Crossed);
    cr_assert(other.exchange().mayHaveRun());
}

Test(BackendClient, ReadsTheStatedPhase)
{
    HttpResponse leaving = refusal(503);
    leaving.headers.add("Gentianramp-Backend-Phase", "leaving");
    Bench bench(leaving);
    cr_assert(bench.start() == CallStart::Refused);
    cr_assert(bench.exchange().statedPhase() == BackendPhase::Leaving);
}

Test(BackendClient, SendsNothingWhenTheStartIsRefused)
{
    Bench bench(answerTo("r", "7"));
    cr_assert(bench.start([] { return false; }) == CallStart::NotSent);
    cr_assert_not(bench.exchange().mayHaveRun());
    cr_assert_eq(bench.calls(), 0);
}
