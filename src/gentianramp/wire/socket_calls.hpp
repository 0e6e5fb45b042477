#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>
#include <zmq.hpp>

namespace gentianramp {

// Calls of ZeroMQ that a signal does not end: one that fails with EINTR is made again.

void bindSocket(zmq::socket_t &socket, const std::string &endpoint);

void connectSocket(zmq::socket_t &socket, const std::string &endpoint);

/// Sends one frame; false if the socket accepts none at present.
bool sendFrame(zmq::socket_t &socket, std::string_view frame, zmq::send_flags flags);

/// The frames of the next message; empty if none has arrived.
std::vector<zmq::message_t> receiveFrames(zmq::socket_t &socket);

/// Waits for one of @p items; returns early when a signal arrives.
void waitForItems(std::vector<zmq::pollitem_t> &items, std::chrono::milliseconds timeout);

} // namespace gentianramp
