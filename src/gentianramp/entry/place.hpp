#pragma once

#include "caller_watch.hpp"

#include <boost/asio/awaitable.hpp>
#include <gentianramp/routing/router.hpp>
#include <variant>

namespace gentianramp {

/// The caller went while its request waited.
struct CallerLeft
{ };

using Placed = std::variant<Placement, Refusal, CallerLeft>;

/// Admits a request and chooses its backend server; waits in the queue when needed.
///
/// @p onQueued is called when the request has to wait.
boost::asio::awaitable<Placed> place(Router &router, RequestAttributes shape, CallerWatch &watch,
                                     std::function<void()> onQueued);

} // namespace gentianramp
