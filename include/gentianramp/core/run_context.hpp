#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

namespace gentianramp {

/// Runs the handlers of @p context until it is stopped. When a handler throws, the exception is
/// logged, @p failed is called, and the other handlers go on.
void runContext(boost::asio::io_context &context, const std::function<void()> &failed);

} // namespace gentianramp
