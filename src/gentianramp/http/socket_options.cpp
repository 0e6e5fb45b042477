#include "socket_options.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace gentianramp {

namespace {

using boost::asio::ip::tcp;
using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

enum class Peek { NoData, HasBytes, Closed };

Peek peek(tcp::socket &socket)
{
    char byte = 0;
    const ssize_t bytesRead = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (bytesRead > 0)
        return Peek::HasBytes;
    if (bytesRead < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
        return Peek::NoData;
    return Peek::Closed;
}

} // namespace

void setSocketOptions(tcp::socket &socket, Duration unacknowledgedTimeout)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(UserTimeout(static_cast<int>(toMilliseconds(unacknowledgedTimeout))),
                      ignored);
}

bool peerClosed(tcp::socket &socket)
{
    return !socket.is_open() || peek(socket) == Peek::Closed;
}

bool isOpenAndIdle(tcp::socket &socket)
{
    return socket.is_open() && peek(socket) == Peek::NoData;
}

} // namespace gentianramp
