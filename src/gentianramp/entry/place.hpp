#pragma once

#include "caller_watch.hpp"

#include <boost/asio/awaitable.hpp>
#include <gentianramp/routing/router.hpp>
#include <variant>

namespace gentianramp {

/// The caller disconnected before its request was answered.
struct CallerLeft
{ };

using PlacementResult = std::variant<Placement, Refusal, CallerLeft>;

/// Admits a request and selects its backend server; waits in the queue when necessary.
///
/// Calls @p onQueued when the request is queued.
boost::asio::awaitable<PlacementResult> place(Router &router, RequestAttributes shape,
                                              CallerWatch &watch, std::function<void()> onQueued);

} // namespace gentianramp
