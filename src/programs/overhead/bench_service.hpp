#pragma once

#include <boost/asio/io_context.hpp>
#include <gentianramp/http/server.hpp>
#include <thread>

namespace gentianramp {

/// Plain service that answers every call at once, on a thread of its own.
class BenchService
{
public:
    explicit BenchService(std::uint16_t port);
    ~BenchService();
    BenchService(const BenchService &) = delete;
    BenchService &operator=(const BenchService &) = delete;

    /// False when the port cannot be bound.
    bool start();

private:
    boost::asio::io_context m_context{1};
    HttpServer m_server;
    std::thread m_thread;
};

} // namespace gentianramp
