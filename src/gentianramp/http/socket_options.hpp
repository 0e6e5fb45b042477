#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <gentianramp/core/clock.hpp>

namespace gentianramp {

/// Sends small pieces at once and gives up on a peer that acknowledges nothing for @p silence.
void tuneSocket(boost::asio::ip::tcp::socket &socket, Duration silence);

/// True when the peer closed or broke the connection, as far as this side knows.
bool peerClosed(boost::asio::ip::tcp::socket &socket);

/// True when the connection is open and holds no unread bytes.
bool quietAndOpen(boost::asio::ip::tcp::socket &socket);

} // namespace gentianramp
