#pragma once

#include <functional>
#include <gentianramp/core/metrics.hpp>
#include <gentianramp/http/server.hpp>
#include <string>

namespace gentianramp {

/// A hook for HttpServerOptions::unreadHook that counts the requests by server and reason. The
/// registry has to outlive the server.
std::function<void(const UnreadRequest &)> countUnread(MetricsRegistry &metrics,
                                                       const std::string &server);

} // namespace gentianramp
