#pragma once

#include "backend_context.hpp"

#include <gentianramp/http/server.hpp>

namespace gentianramp {

/// Runs a call of a plain service and answers it.
boost::asio::awaitable<void> answerPlain(std::shared_ptr<BackendContext> context,
                                         const HttpRequest &request, ResponseWriter &writer);

} // namespace gentianramp
