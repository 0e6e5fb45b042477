#include <gentianramp/http/server_metrics.hpp>

namespace gentianramp {

std::function<void(const UnreadRequest &)> countUnread(MetricsRegistry &metrics,
                                                       const std::string &server)
{
    return [&metrics, server](const UnreadRequest &request) {
        metrics
            .counter("gentianramp_http_unread_total",
                     "Requests that were not read, and connections closed before one",
                     {{"server", server}, {"reason", std::string(toString(request.reason))}})
            .add();
    };
}

} // namespace gentianramp
