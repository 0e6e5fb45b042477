#include "bench_service.hpp"

namespace gentianramp {

namespace {

boost::asio::awaitable<void> answer(HttpRequest request, ResponseWriter &writer)
{
    HttpResponse response;
    for (const char *name : {"Gentianramp-Request-Id", "Gentianramp-Attempt"})
        response.headers.add(name, std::string(request.headers.find(name)));
    response.headers.add("Content-Type", "application/json");
    response.body = R"({"phase":"serving","result":"done"})";
    co_await writer.send(std::move(response));
}

HttpServerOptions optionsFor(std::uint16_t port, boost::asio::io_context &context)
{
    HttpServerOptions options;
    options.port = port;
    options.connectionExecutor = [&context] { return context.get_executor(); };
    return options;
}

} // namespace

BenchService::BenchService(std::uint16_t port)
    : m_server(m_context.get_executor(), optionsFor(port, m_context), answer)
{ }

BenchService::~BenchService()
{
    m_server.stop();
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

bool BenchService::start()
{
    if (!m_server.start())
        return false;
    m_thread = std::thread([this] { m_context.run(); });
    return true;
}

} // namespace gentianramp
