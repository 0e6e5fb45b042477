#pragma once

#include <compare>
#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <string>
#include <string_view>

namespace gentianramp {

/// What the decision needs to know of a request.
struct AdmissionRequest
{
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::string kind;           ///< The route.
    std::string customer;       ///< Empty: none.
    std::uint64_t identity = 0; ///< Of its content: a request that is sent anew has the same one.
    Duration work{};            ///< Time for which it is expected to take a place.
    Duration firstEventTime{};  ///< From the send to the first event at a server with free places.
    TimePoint onTimeUntil{};    ///< Its first event is on time until then.
    TimePoint deadline{};       ///< Its caller leaves then.
    bool operator==(const AdmissionRequest &) const = default;
};

/// What an instance knows of the servers that may take a request, and of what waits for them.
struct AdmissionState
{
    double places = 0;         ///< Requests that the servers run at a time.
    double taken = 0;          ///< Requests that run or wait there.
    double ownPlaces = 0;      ///< This instance's part of the places.
    std::size_t waiting = 0;   ///< Requests that wait at this instance.
    Duration workAhead{};      ///< Sum of the work of those that go before the request.
    Duration serverWait{};     ///< Expected wait in the queue of the server that would get it.
    bool mayQueue = false;     ///< The allowance of this instance is not used up.
    bool returnsEarly = false; ///< It was refused before, and the time to return has not come.
    Duration promised{};       ///< Work of callers that were told to return and have not.
    double random = 0.5;       ///< Uniformly distributed in [0, 1); spreads the times to return.
    bool operator==(const AdmissionState &) const = default;
};

enum class AdmissionAction { Place, Wait, Refuse };

enum class AdmissionReason {
    Room,                ///< There are free places and nothing waits.
    ShortWait,           ///< The server's queue is short enough for the request to be on time.
    NoRoom,              ///< It waits until a place is free.
    OthersFirst,         ///< It waits behind requests that go before it.
    DeadlineTooNear,     ///< It could not be served at an idle server either.
    NoRoomBeforeDeadline ///< Those that go before it take the places until its deadline.
};

std::string_view toString(AdmissionReason reason);

struct AdmissionDecision
{
    AdmissionAction action = AdmissionAction::Place;
    AdmissionReason reason = AdmissionReason::Room;
    Duration returnAfter{}; ///< Of a refusal: time after which the caller may return.
    TimePoint waitUntil{};  ///< Of a wait: latest time at which it has to be sent.
    bool operator==(const AdmissionDecision &) const = default;
};

/// True when the first event can still be on time if the request is sent at @p now.
bool canBeOnTime(const AdmissionRequest &request, TimePoint now);

/// Decides whether a request is sent now, waits at the instance, or is refused.
AdmissionDecision decide(const AdmissionState &state, const AdmissionRequest &request,
                         TimePoint now);

} // namespace gentianramp
