#include "socket_calls.hpp"

#include <cerrno>

namespace gentianramp {

namespace {

template <typename Call>
auto repeatIfInterrupted(const Call &call)
{
    for (;;) {
        try {
            return call();
        } catch (const zmq::error_t &error) {
            if (error.num() != EINTR)
                throw;
        }
    }
}

} // namespace

void bindSocket(zmq::socket_t &socket, const std::string &endpoint)
{
    repeatIfInterrupted([&] { socket.bind(endpoint); });
}

void connectSocket(zmq::socket_t &socket, const std::string &endpoint)
{
    repeatIfInterrupted([&] { socket.connect(endpoint); });
}

bool sendFrame(zmq::socket_t &socket, std::string_view frame, zmq::send_flags flags)
{
    return repeatIfInterrupted([&] { return socket.send(zmq::buffer(frame), flags).has_value(); });
}

std::vector<zmq::message_t> receiveFrames(zmq::socket_t &socket)
{
    std::vector<zmq::message_t> frames;
    do {
        zmq::message_t frame;
        if (!repeatIfInterrupted(
                [&] { return socket.recv(frame, zmq::recv_flags::dontwait).has_value(); }))
            return {};
        frames.push_back(std::move(frame));
    } while (frames.back().more());
    return frames;
}

void waitForItems(std::vector<zmq::pollitem_t> &items, std::chrono::milliseconds timeout)
{
    try {
        zmq::poll(items, timeout);
    } catch (const zmq::error_t &error) {
        if (error.num() != EINTR)
            throw;
    }
}

} // namespace gentianramp
