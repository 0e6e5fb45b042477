#include <gentianramp/admission/waiting_requests.hpp>

#include <algorithm>

namespace gentianramp {

namespace {

/// Under overload, short requests first serve more callers; deadlines alone first serve those that
/// are nearly lost.
constexpr double WorkWeight = 1;
/// Callers that have not returned this long after their time have given up.
constexpr Duration PromiseLifetime = std::chrono::milliseconds(300);
constexpr Duration PromiseCheckInterval = std::chrono::milliseconds(100);

// Classes of the order; the priority and whether it returns early come in between.
constexpr std::uint32_t FirstClass = 1;
constexpr std::uint32_t LateClass = 1U << 16;
constexpr std::uint32_t MaxPriority = 1U << 12;

double secondsOf(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

WaitingRequests::WaitingRequests(std::size_t limit, double savedAllowance)
    : m_queue(limit, QueueOrder::Strict)
    , m_allowance(savedAllowance)
{ }

bool WaitingRequests::returnsEarly(const AdmissionRequest &request, TimePoint now) const
{
    const auto found = m_promises.find(request.identity);
    return found != m_promises.end() && now < found->second.returnsAt;
}

WaitKey WaitingRequests::keyOf(WaitNumber number, const AdmissionRequest &request,
                               TimePoint now) const
{
    const bool isTimely = canBeOnTime(request, now);
    const bool isEarly = returnsEarly(request, now);
    const TimePoint until = (isTimely ? request.onTimeUntil : request.deadline)
        + std::chrono::duration_cast<Duration>(WorkWeight * request.work);
    if (isTimely && !isEarly && m_shares.isOwed(request, now))
        return {0, until, number};
    const std::uint32_t priority = 2 * std::min(request.priority, MaxPriority) + (isEarly ? 1 : 0);
    return {(isTimely ? FirstClass : LateClass) + priority, until, number};
}

AdmissionState WaitingRequests::stateFor(const WaitKey &key, const AdmissionRequest &request,
                                         const AdmissionConditions &conditions, TimePoint now) const
{
    AdmissionState state;
    state.places = conditions.room.places;
    state.taken = conditions.room.taken;
    state.ownPlaces = state.places / std::max(conditions.instances, 1U);
    state.waiting = m_queue.size();
    state.workAhead = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(m_queue.engineSecondsBefore(key)));
    state.serverWait = conditions.serverWait;
    state.mayQueue = conditions.mayPlace && m_allowance.mayTake();
    state.returnsEarly = returnsEarly(request, now);
    state.promised = m_promisedWork;
    state.random = conditions.random;
    return state;
}

AdmissionDecision WaitingRequests::arrive(WaitNumber number, const AdmissionRequest &request,
                                          const AdmissionConditions &conditions, TimePoint now)
{
    m_shares.noteRequested(request, now);
    return decideOn(number, request, conditions, now);
}

AdmissionDecision WaitingRequests::review(WaitNumber number, const AdmissionConditions &conditions,
                                          TimePoint now)
{
    const std::optional<Waiting> waiting = m_queue.take(number);
    if (!waiting) // More urgent requests filled the queue.
        return {AdmissionAction::Refuse, AdmissionReason::NoRoomBeforeDeadline, {}, {}};
    return decideOn(number, waiting->request, conditions, now);
}

AdmissionDecision WaitingRequests::decideOn(WaitNumber number, const AdmissionRequest &request,
                                            AdmissionConditions conditions, TimePoint now)
{
    if (conditions.mayPlace)
        m_room = conditions.room;
    else
        conditions.room = m_room;
    expirePromises(now);
    m_allowance.update(conditions.room, conditions.instances, now);
    const WaitKey key = keyOf(number, request, now);
    AdmissionDecision decision = decide(stateFor(key, request, conditions, now), request, now);
    switch (decision.action) {
    case AdmissionAction::Place:
        m_allowance.take();
        m_shares.noteServed(request, now);
        if (const auto promise = m_promises.find(request.identity); promise != m_promises.end())
            erasePromise(promise);
        break;
    case AdmissionAction::Wait: {
        const auto shed = m_queue.push({key, request, secondsOf(request.work)});
        if (shed && shed->key == key)
            decision = {AdmissionAction::Refuse, AdmissionReason::NoRoomBeforeDeadline, {}, {}};
        break;
    }
    case AdmissionAction::Refuse:
        notePromise(request, decision.returnAfter, now);
        break;
    }
    return decision;
}

AdmissionDecision WaitingRequests::preview(const AdmissionRequest &request,
                                           const AdmissionConditions &conditions,
                                           TimePoint now) const
{
    return decide(stateFor(keyOf(~WaitNumber{0}, request, now), request, conditions, now), request,
                  now);
}

bool WaitingRequests::isAmongFirst(WaitNumber number, std::size_t count) const
{
    const std::vector<WaitNumber> numbers = first(count);
    return std::find(numbers.begin(), numbers.end(), number) != numbers.end();
}

void WaitingRequests::drop(WaitNumber number)
{
    m_queue.take(number);
}

void WaitingRequests::notePromise(const AdmissionRequest &request, Duration returnAfter,
                                  TimePoint now)
{
    const auto [promise, isNew] = m_promises.try_emplace(request.identity);
    // A caller that returns early keeps its first time to return.
    if (!isNew && now < promise->second.returnsAt)
        return;
    if (!isNew)
        m_promisedWork -= promise->second.work;
    promise->second = {now + returnAfter, request.work};
    m_promisedWork += request.work;
}

void WaitingRequests::erasePromise(std::map<std::uint64_t, Promise>::iterator promise)
{
    m_promisedWork -= promise->second.work;
    m_promises.erase(promise);
}

void WaitingRequests::expirePromises(TimePoint now)
{
    if (now - m_promisesExpiredAt < PromiseCheckInterval)
        return;
    m_promisesExpiredAt = now;
    for (auto promise = m_promises.begin(); promise != m_promises.end();) {
        const auto current = promise++;
        if (now - current->second.returnsAt > PromiseLifetime)
            erasePromise(current);
    }
}

} // namespace gentianramp
