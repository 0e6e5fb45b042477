#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <gentianramp/core/clock.hpp>

namespace gentianramp {

/// Sets TCP_NODELAY and SO_KEEPALIVE, and closes connections whose peer acknowledges no sent data
/// for
/// @p unacknowledgedTimeout (TCP_USER_TIMEOUT).
void setSocketOptions(boost::asio::ip::tcp::socket &socket, Duration unacknowledgedTimeout);

/// True when the peer is known to have closed or reset the connection.
bool peerClosed(boost::asio::ip::tcp::socket &socket);

/// True when the connection is open and holds no unread bytes.
bool isOpenAndIdle(boost::asio::ip::tcp::socket &socket);

} // namespace gentianramp
