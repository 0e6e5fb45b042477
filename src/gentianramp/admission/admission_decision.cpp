#include <gentianramp/admission/admission_decision.hpp>

#include <algorithm>

namespace gentianramp {

namespace {

/// While less than this part of the places is taken, the first request is sent and nothing is
/// refused that could be served at an idle server.
constexpr double AlwaysRoomShare = 0.5;
/// Servers have free places below this part: the reports are 0.2 s old, and requests spread over
/// the servers unevenly.
constexpr double FreeShare = 0.9;
/// Expected waits at servers are off by a factor of two when requests of other priorities wait too.
constexpr int ServerWaitUncertainty = 2;
/// Callers honour a time to return up to a third of the time that they have left.
constexpr int ReturnTimeLeftDivisor = 3;
constexpr Duration ShortestReturnTime = std::chrono::milliseconds(20);

Duration scaled(Duration value, double factor)
{
    return std::chrono::duration_cast<Duration>(value * factor);
}

/// Time until the places of this instance have done @p work.
Duration timeFor(Duration work, double ownPlaces)
{
    return ownPlaces > 0 ? scaled(work, 1 / ownPlaces) : work;
}

/// Room comes free after what waits and what was promised to earlier callers. The time is uniform
/// over the second half of that span, so that callers of one moment do not return together.
Duration returnTime(const AdmissionState &state, const AdmissionRequest &request, TimePoint now)
{
    const Duration room = timeFor(state.workAhead + state.promised, state.ownPlaces);
    const Duration longest
        = std::max(request.deadline - now, Duration::zero()) / ReturnTimeLeftDivisor;
    const Duration span = std::clamp(room, std::min(ShortestReturnTime, longest), longest);
    return scaled(span, 0.5 + 0.5 * state.random);
}

} // namespace

std::string_view toString(AdmissionReason reason)
{
    switch (reason) {
    case AdmissionReason::Room:
        return "room";
    case AdmissionReason::ShortWait:
        return "short_wait";
    case AdmissionReason::NoRoom:
        return "no_room";
    case AdmissionReason::OthersFirst:
        return "others_first";
    case AdmissionReason::DeadlineTooNear:
        return "deadline_too_near";
    case AdmissionReason::NoRoomBeforeDeadline:
        break;
    }
    return "no_room_before_deadline";
}

bool canBeOnTime(const AdmissionRequest &request, TimePoint now)
{
    return now + request.firstEventTime <= std::min(request.onTimeUntil, request.deadline);
}

AdmissionDecision decide(const AdmissionState &state, const AdmissionRequest &request,
                         TimePoint now)
{
    using enum AdmissionAction;
    using enum AdmissionReason;
    const TimePoint latestSend = request.deadline - request.firstEventTime;
    if (now > latestSend)
        return {Refuse, DeadlineTooNear, returnTime(state, request, now), {}};
    const bool isFirst = state.workAhead <= Duration::zero();
    const bool hasRoom = state.taken < AlwaysRoomShare * state.places;
    if (hasRoom && isFirst)
        return {Place, Room, {}, {}};
    // A request that returns early takes no place of those that keep their time to return.
    // While requests wait, all instances see the same free places and must not fill them at once.
    const bool isFree = state.waiting == 0 && state.taken < FreeShare * state.places;
    const bool goesFirst = isFirst && (isFree || !state.returnsEarly);
    const TimePoint allowed = canBeOnTime(request, now)
        ? std::min(request.onTimeUntil - request.firstEventTime, latestSend)
        : latestSend;
    if (goesFirst && (isFree || state.mayQueue) && now + state.serverWait <= allowed)
        return {Place, state.serverWait > Duration::zero() ? ShortWait : Room, {}, {}};
    const Duration aheadHere = timeFor(state.workAhead, state.ownPlaces);
    if (!hasRoom
        && now + std::max(aheadHere, state.serverWait / ServerWaitUncertainty) > latestSend)
        return {Refuse, NoRoomBeforeDeadline, returnTime(state, request, now), {}};
    return {Wait, goesFirst ? NoRoom : OthersFirst, {}, latestSend};
}

} // namespace gentianramp
