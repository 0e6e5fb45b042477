#pragma once

#include "request_run.hpp"

#include <gentianramp/http/server.hpp>

namespace gentianramp {

/// How a request ended; input of the settle filter.
struct RelayEnd
{
    Verdict verdict = Verdict::MayHaveRun;
    std::string how;          ///< For the time line.
    std::optional<Exit> exit; ///< Still to be told to the caller.
    bool callerGone = false;
};

/// End for a request that brought no answer.
RelayEnd endWith(Exit exit);
RelayEnd endForGoneCaller(const RequestRun &run);

/// Gets the whole answer and passes it on once its length is checked.
boost::asio::awaitable<RelayEnd> relayWhole(RequestRun &run, ResponseWriter &writer);

/// Passes the rest of @p answer on, as relayWhole() does; used when an engine answers a request
/// for a stream with something else.
boost::asio::awaitable<RelayEnd> finishWhole(RequestRun &run, OpenAnswer answer,
                                             ResponseWriter &writer);

/// Passes a stream on token by token; goes on at another engine when one fails.
boost::asio::awaitable<RelayEnd> relayStream(RequestRun &run, ResponseWriter &writer);

} // namespace gentianramp
