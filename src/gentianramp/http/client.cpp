#include "client_exchange.hpp"

namespace gentianramp {

namespace asio = boost::asio;

struct HttpClient::State
{
    explicit State(HttpClientOptions options)
        : options(options)
        , pool(std::make_shared<ConnectionPool>(options))
    { }

    HttpClientOptions options;
    std::shared_ptr<ConnectionPool> pool;
};

HttpClient::HttpClient(HttpClientOptions options)
    : m_state(std::make_shared<State>(options))
{ }

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpExchange> HttpClient::exchange(HttpCall call)
{
    return std::make_shared<ClientExchange>(std::move(call), m_state->options, m_state->pool);
}

asio::awaitable<Result<HttpResponse>> HttpClient::request(HttpCall call)
{
    if (call.totalTimeout == Duration::max())
        call.totalTimeout = call.connectTimeout + call.headTimeout + call.silenceTimeout;
    const std::shared_ptr<HttpExchange> exchange = this->exchange(std::move(call));
    const std::error_code error = co_await exchange->open();
    if (error)
        co_return Result<HttpResponse>(error);
    Result<std::string> body = co_await exchange->readAll();
    if (!body)
        co_return Result<HttpResponse>(body.error(), body.message());
    HttpResponse response;
    response.status = exchange->status();
    response.headers = exchange->headers();
    response.body = std::move(body).value();
    co_return Result<HttpResponse>(std::move(response));
}

void HttpClient::closeIdle()
{
    m_state->pool->closeOlderThan(RuntimeClock::now() - m_state->options.maxIdleAge);
}

} // namespace gentianramp
