#include "../http/raw_server.hpp"

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

asio::awaitable<void> run(BackendExchange &exchange, std::optional<StartOutcome> &result)
{
    result = co_await exchange.start();
}

/// A server with one fixed answer, and a client that calls it.
class ClientFixture
{
public:
    explicit ClientFixture(HttpResponse answer)
        : m_answer(std::move(answer))
        , m_server(m_context.get_executor(), {},
                   [this](const HttpRequest &, ResponseWriter &writer) {
                       ++m_calls;
                       return answerWith(writer, m_answer);
                   })
        , m_port(m_server.start().value())
    { }

    /// Starts attempt 7 of request "r".
    StartOutcome start(std::function<bool()> mayStart = {})
    {
        BackendCall call;
        call.address = {"127.0.0.1", m_port};
        call.target = "/work";
        call.request = RequestId("r");
        call.attempt = Attempt(7);
        call.mayStart = std::move(mayStart);
        m_exchange.emplace(m_client, std::move(call));
        std::optional<StartOutcome> result;
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

    asio::io_context m_context;
    HttpResponse m_answer;
    int m_calls = 0;
    HttpServer m_server;
    HttpClient m_client;
    std::uint16_t m_port;
    std::optional<BackendExchange> m_exchange;
};

HttpResponse answerFor(const std::string &request, const std::string &attempt,
                       unsigned status = 200)
{
    return {status, {{"Gentianramp-Request-Id", request}, {"Gentianramp-Attempt", attempt}}, "{}"};
}

HttpResponse refusal(unsigned status)
{
    return {status, {{"Gentianramp-Verdict", "NotRun"}}, "{}"};
}

} // namespace

Test(BackendClient, AcceptsTheAnswerToItsAttempt)
{
    ClientFixture fixture(answerFor("r", "7"));
    cr_assert(fixture.start() == StartOutcome::Answering);
    cr_assert(fixture.exchange().mayHaveRun());
}

Test(BackendClient, DropsAnswersToOtherRequestsOrAttempts)
{
    for (const HttpResponse &answer :
         {answerFor("other", "7"), answerFor("r", "6"), HttpResponse{}}) {
        ClientFixture fixture(answer);
        cr_assert(fixture.start() == StartOutcome::Mismatched);
        cr_assert(fixture.exchange().mayHaveRun());
    }
}

Test(BackendClient, IgnoresNotRunInAnswersToOtherRequests)
{
    ClientFixture own(refusal(503));
    cr_assert(own.start() == StartOutcome::Refused);
    cr_assert_not(own.exchange().mayHaveRun());
    HttpResponse mismatched = answerFor("other", "7", 503);
    mismatched.headers.add("Gentianramp-Verdict", "NotRun");
    ClientFixture other(mismatched);
    cr_assert(other.start() == StartOutcome::Mismatched);
    cr_assert(other.exchange().mayHaveRun());
}

Test(BackendClient, ParsesThePhaseOfARefusal)
{
    HttpResponse leaving = refusal(503);
    leaving.headers.add("Gentianramp-Backend-Phase", "leaving");
    ClientFixture fixture(leaving);
    cr_assert(fixture.start() == StartOutcome::Refused);
    cr_assert(fixture.exchange().statedPhase() == BackendPhase::Leaving);
}

Test(BackendClient, SendsNothingWhenMayStartReturnsFalse)
{
    ClientFixture fixture(answerFor("r", "7"));
    cr_assert(fixture.start([] { return false; }) == StartOutcome::NotSent);
    cr_assert_not(fixture.exchange().mayHaveRun());
    cr_assert_eq(fixture.calls(), 0);
}

Test(BackendClient, ABrokenAnswerIsNoAnswer)
{
    const std::string fields = "Gentianramp-Request-Id: r\r\nGentianramp-Attempt: 7\r\n";
    for (const std::string &head :
         {"HTTP/1.1 000 Unknown\r\n" + fields, "HTTP/1.1 600 Unknown\r\n" + fields,
          "HTTP/1.1 200 OK\r\nX Y: v\r\n" + fields,
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" + fields,
          "HTTP/1.1 000 Unknown\r\n\r\nHTTP/1.1 200 OK\r\n" + fields}) {
        asio::io_context context;
        RawServer server(context, [&](const std::string &) {
            return RawAnswer{.bytes = head + "\r\n{}", .end = AnswerEnd::Finish};
        });
        HttpClient client;
        BackendCall call;
        call.address = {"127.0.0.1", server.port()};
        call.request = RequestId("r");
        call.attempt = Attempt(7);
        BackendExchange exchange(client, std::move(call));
        std::optional<StartOutcome> outcome;
        asio::co_spawn(context, run(exchange, outcome), asio::detached);
        while (!outcome)
            context.run_one();
        cr_assert(*outcome == StartOutcome::Broken, "%s after: %s",
                  std::string(toString(*outcome)).c_str(), head.c_str());
        cr_assert(exchange.mayHaveRun());
    }
}
